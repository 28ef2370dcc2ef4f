// Package gatehttp serves callers over HTTP: completions in the shape that
// model clients speak, calls to plain services by path, entry points, health,
// status and counters. It runs on the HTTP transport of kratos.
package gatehttp

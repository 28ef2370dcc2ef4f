// Package gatehttp implements the HTTP API for callers: completions in the
// request and response format that model clients use, calls to plain services by
// path, entry points, health, status and counters. It uses the HTTP transport of
// kratos.
package gatehttp

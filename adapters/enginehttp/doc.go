// Package enginehttp implements the HTTP protocol between entry hosts and model
// engines. Calls use JSON. A decode is a stream of server-sent events whose event
// IDs are frame numbers, so that the Last-Event-ID header resumes it (WHATWG HTML,
// section 9.2).
//
// Client implements ports.Engine for the entry hosts. Handler serves any
// ports.Engine over HTTP; the stand-in engines use it.
package enginehttp

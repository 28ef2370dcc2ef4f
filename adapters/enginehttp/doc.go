// Package enginehttp speaks to model engines over HTTP. Calls are JSON; a decode
// is a stream of server-sent events whose event identifiers are frame numbers,
// so that Last-Event-ID resumes it (WHATWG HTML, section 9.2).
//
// Client implements ports.Engine for the entry hosts. Handler serves any
// ports.Engine, which the stand-ins use.
package enginehttp

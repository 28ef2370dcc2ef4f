// Package demo runs a whole deployment in one process on loopback: stand-ins of
// the platform, the engines and the plain services, several entry hosts, and a
// small mixed load. One decode engine is killed and one host is stopped
// gracefully midway. Every figure of the report is counted by the callers and
// the stand-ins.
package demo

package strictyaml

import (
	"fmt"
	"strings"
)

// Error is a fault in a YAML file. Its text is one line:
// "FILE:LINE: key PATH: what is wrong; remedy".
type Error struct {
	File string
	// Line starts at 1; 0 means that the fault has no line, as when the file
	// cannot be read.
	Line int
	// Key is the path of the faulty key, such as "listen.callers.address" or
	// "pools[1].upstreams[0].zone". It is empty for faults of the whole file.
	Key     string
	Problem string
	Remedy  string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Key != "" {
		fmt.Fprintf(&b, "key %s: ", e.Key)
	}
	fmt.Fprintf(&b, "%s; %s", e.Problem, e.Remedy)
	return oneLine(b.String())
}

// oneLine joins the lines of a text that came from a library.
func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}

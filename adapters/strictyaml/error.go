package strictyaml

import (
	"fmt"
	"strings"
)

// Error is an error in a YAML file. Its text is one line of the form
// "FILE:LINE: key PATH: PROBLEM; REMEDY".
type Error struct {
	File string
	// Line is the line in the file, starting at 1. It is 0 if the error has no
	// line, for example because the file cannot be read.
	Line int
	// Key is the path of the invalid key, such as "listen.callers.address" or
	// "pools[1].upstreams[0].zone". It is empty if the error concerns the whole
	// file.
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

// oneLine joins the lines of text into one, as error texts of libraries may have
// several.
func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}

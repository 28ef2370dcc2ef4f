package strictyaml

import (
	"bytes"
	"errors"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Document is one parsed YAML document.
type Document struct {
	file string
	root *yaml.Node
	// lines maps the path of each decoded key to its line.
	lines map[string]int
}

// ReadFile returns the content of a file. Its error is an *Error with the cause.
func ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{
			File:    path,
			Problem: "cannot read the file: " + rootCause(err),
			Remedy:  "check the path and the permissions",
		}
	}
	return data, nil
}

func rootCause(err error) string {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}

// Parse parses a file that must hold exactly one non-empty document. The name
// identifies the file in errors, which are *Error.
func Parse(name string, data []byte) (*Document, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var root yaml.Node
	err := decoder.Decode(&root)
	if errors.Is(err, io.EOF) {
		return nil, emptyFileError(name)
	}
	if err != nil {
		return nil, syntaxError(name, err)
	}
	var second yaml.Node
	err = decoder.Decode(&second)
	if err == nil {
		return nil, &Error{
			File:    name,
			Line:    max(1, second.Line),
			Problem: "the file holds more than one document",
			Remedy:  "keep one document and remove the \"---\" line",
		}
	}
	if !errors.Is(err, io.EOF) {
		return nil, syntaxError(name, err)
	}
	if len(root.Content) == 0 || root.Content[0].Tag == tagNull {
		return nil, emptyFileError(name)
	}
	return &Document{file: name, root: root.Content[0], lines: make(map[string]int)}, nil
}

func emptyFileError(name string) *Error {
	return &Error{
		File:    name,
		Line:    1,
		Problem: "the file is empty",
		Remedy:  "start from the example in README.md",
	}
}

var syntaxLine = regexp.MustCompile(`line (\d+): (.*)`)

// syntaxError converts an error of the YAML parser into an *Error. The parser gives
// the line only within the error text.
func syntaxError(name string, err error) *Error {
	out := &Error{
		File:    name,
		Line:    1,
		Problem: "not valid YAML: " + strings.TrimPrefix(err.Error(), "yaml: "),
		Remedy:  "check indentation, colons and quotes near this line",
	}
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		out.Line, _ = strconv.Atoi(m[1])
		out.Problem = "not valid YAML: " + m[2]
	}
	return out
}

// ErrorAt returns an *Error for a key path. If the path is not in the file, the
// error has the line of its closest ancestor.
func (d *Document) ErrorAt(path, problem, remedy string) *Error {
	return &Error{File: d.file, Line: d.Line(path), Key: path, Problem: problem, Remedy: remedy}
}

// Line returns the line of a key path, or of its closest ancestor in the file.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return d.root.Line
}

// Has reports whether the decoded file contains the key path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

package main

import (
	"bytes"
	"embed"
	"fmt"
	"net/http"
	"strings"
	"text/template"
)

// messageFiles holds the messages of the platform, the operator, workers and clients as templates.
//
//go:embed messages
var messageFiles embed.FS

var messages = template.Must(template.ParseFS(messageFiles, "messages/*"))

// message returns a message with its values.
func message(name string, values any) ([]byte, error) {
	var text bytes.Buffer
	if err := messages.ExecuteTemplate(&text, name, values); err != nil {
		return nil, fmt.Errorf("message %s: %w", name, err)
	}
	return text.Bytes(), nil
}

// setHeaders sets the headers of a message that has one on each line.
func setHeaders(h http.Header, text []byte) {
	for line := range strings.Lines(string(text)) {
		if name, value, found := strings.Cut(strings.TrimSpace(line), ": "); found {
			h.Set(name, value)
		}
	}
}

package main

import (
	_ "embed"
	"encoding/json"
	"path"

	"greengagespoke/platform/wire"
)

// fieldNames holds the names on the wire that platform/wire does not have.
//
//go:embed fields.json
var fieldNames []byte

var fields = func() map[string]string {
	var names map[string]string
	check(json.Unmarshal(fieldNames, &names))
	return names
}()

// field returns the name of a field or header on the wire.
func field(name string) string {
	if fields[name] == "" {
		panic("no name for " + name)
	}
	return fields[name]
}

// ownPaths begins the paths of workers that are not requests of clients.
var ownPaths = path.Dir(wire.PathReport) + "/"

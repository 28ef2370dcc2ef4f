// Package strictyaml decodes YAML files that operators write: settings and
// tables. It refuses unknown and duplicate keys, empty values, values of the
// wrong type, durations without a unit, aliases, and files with no or several
// documents. Every error is one line with file, line, key and remedy.
package strictyaml

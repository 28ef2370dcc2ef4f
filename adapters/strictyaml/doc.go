// Package strictyaml decodes YAML files that operators write, such as settings and
// tables. It rejects unknown and duplicate keys, empty values, values of the wrong
// type, durations without a unit, anchors and aliases, empty files and files with
// several documents. Every error is one line with file, line, key and remedy.
package strictyaml

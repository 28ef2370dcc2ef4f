package strictyaml

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// maxSuggestionDistance is the largest edit distance at which a known key is
// suggested for an unknown one.
const maxSuggestionDistance = 2

// fieldIndexes maps the yaml key of each struct field to the index of the field.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := FieldName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// FieldName returns the YAML key of a struct field, or "" if the field is not read
// from files.
func FieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// unknownKeyRemedy suggests the closest known key for an unknown one, or lists the
// known keys if none is close enough.
func unknownKeyRemedy(key string, fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	best, bestDistance := "", maxSuggestionDistance+1
	for _, name := range names {
		if distance := editDistance(key, name); distance < bestDistance {
			best, bestDistance = name, distance
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "the keys known here are " + strings.Join(names, ", ")
}

// editDistance returns the Levenshtein distance between two keys.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}

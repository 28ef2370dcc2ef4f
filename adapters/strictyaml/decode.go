package strictyaml

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"greengagespoke/domain"
)

// YAML tags of scalar nodes.
const (
	tagNull  = "!!null"
	tagStr   = "!!str"
	tagBool  = "!!bool"
	tagInt   = "!!int"
	tagFloat = "!!float"
)

var durationType = reflect.TypeFor[domain.Duration]()

// Decode stores the document in the value that out points to. Struct fields are
// matched by their yaml tags. Fields that are missing in the file keep their value,
// so the caller sets defaults before the call. Its error is an *Error.
func (d *Document) Decode(out any) error {
	if err := d.decodeValue(d.root, "", reflect.ValueOf(out).Elem()); err != nil {
		return err
	}
	return nil
}

func (d *Document) decodeValue(node *yaml.Node, path string, out reflect.Value) *Error {
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		return d.errorAtNode(node, path, "anchors and aliases are not allowed", "write the value out")
	}
	if node.Tag == tagNull {
		return d.errorAtNode(node, path, "the value is missing", "write a value or remove the key")
	}
	if out.Type() == durationType {
		return d.decodeDuration(node, path, out)
	}
	switch out.Kind() {
	case reflect.Pointer:
		out.Set(reflect.New(out.Type().Elem()))
		return d.decodeValue(node, path, out.Elem())
	case reflect.Struct:
		return d.decodeStruct(node, path, out)
	case reflect.Slice:
		return d.decodeList(node, path, out)
	case reflect.Map:
		return d.decodeMap(node, path, out)
	default:
		return d.decodeScalar(node, path, out)
	}
}

func (d *Document) decodeStruct(node *yaml.Node, path string, out reflect.Value) *Error {
	if node.Kind != yaml.MappingNode {
		return d.wrongTypeError(node, path, "a mapping of keys to values")
	}
	fields := fieldIndexes(out.Type())
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		at := joinPath(path, key.Value)
		if err := d.recordKey(key, at, seen); err != nil {
			return err
		}
		index, known := fields[key.Value]
		if !known {
			return d.errorAtNode(key, at, "unknown key", unknownKeyRemedy(key.Value, fields))
		}
		if err := d.decodeValue(value, at, out.Field(index)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) decodeMap(node *yaml.Node, path string, out reflect.Value) *Error {
	if node.Kind != yaml.MappingNode {
		return d.wrongTypeError(node, path, "a mapping of keys to values")
	}
	out.Set(reflect.MakeMap(out.Type()))
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		at := joinPath(path, key.Value)
		if err := d.recordKey(key, at, seen); err != nil {
			return err
		}
		item := reflect.New(out.Type().Elem()).Elem()
		if err := d.decodeValue(value, at, item); err != nil {
			return err
		}
		out.SetMapIndex(reflect.ValueOf(key.Value).Convert(out.Type().Key()), item)
	}
	return nil
}

// recordKey records the line of a key and rejects a key that seen already contains.
func (d *Document) recordKey(key *yaml.Node, path string, seen map[string]int) *Error {
	if line, twice := seen[key.Value]; twice {
		return d.errorAtNode(key, path, fmt.Sprintf("the key is already on line %d", line), "keep one of the two")
	}
	seen[key.Value] = key.Line
	d.lines[path] = key.Line
	return nil
}

func (d *Document) decodeList(node *yaml.Node, path string, out reflect.Value) *Error {
	if node.Kind != yaml.SequenceNode {
		return d.wrongTypeError(node, path, "a list")
	}
	items := reflect.MakeSlice(out.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.lines[at] = item.Line
		if err := d.decodeValue(item, at, items.Index(i)); err != nil {
			return err
		}
	}
	out.Set(items)
	return nil
}

func (d *Document) decodeScalar(node *yaml.Node, path string, out reflect.Value) *Error {
	want, tags := expectedScalar(out.Kind())
	if node.Kind != yaml.ScalarNode || !slices.Contains(tags, node.Tag) {
		return d.wrongTypeError(node, path, want)
	}
	if out.Kind() == reflect.String {
		out.SetString(node.Value)
		return nil
	}
	if err := node.Decode(out.Addr().Interface()); err != nil {
		return d.errorAtNode(node, path, "the number is out of range", "write a smaller number")
	}
	return nil
}

func expectedScalar(kind reflect.Kind) (want string, tags []string) {
	switch kind {
	case reflect.String:
		return "a text; put it in quotes where it looks like a number", []string{tagStr}
	case reflect.Bool:
		return "true or false", []string{tagBool}
	case reflect.Float64:
		return "a number", []string{tagFloat, tagInt}
	default:
		return "a whole number without a unit", []string{tagInt}
	}
}

func (d *Document) decodeDuration(node *yaml.Node, path string, out reflect.Value) *Error {
	const remedy = "write a number with a unit of ns, us, ms, s, m or h, such as 250ms or 1m30s"
	if node.Kind != yaml.ScalarNode {
		return d.wrongTypeError(node, path, "a duration")
	}
	if node.Tag == tagInt || node.Tag == tagFloat {
		return d.errorAtNode(node, path, fmt.Sprintf("the duration %s has no unit", node.Value), remedy)
	}
	v, err := time.ParseDuration(node.Value)
	if err != nil {
		return d.errorAtNode(node, path, fmt.Sprintf("%q is not a duration", node.Value), remedy)
	}
	if v < 0 {
		return d.errorAtNode(node, path, fmt.Sprintf("the duration %s is negative", node.Value), remedy)
	}
	out.SetInt(int64(v))
	return nil
}

func (d *Document) wrongTypeError(node *yaml.Node, path, want string) *Error {
	return d.errorAtNode(node, path, "wrong type: found "+describe(node), "write "+want)
}

func (d *Document) errorAtNode(node *yaml.Node, path, problem, remedy string) *Error {
	return &Error{File: d.file, Line: node.Line, Key: path, Problem: problem, Remedy: remedy}
}

// describe names the type of a node. It omits the value, which may be a secret.
func describe(node *yaml.Node) string {
	switch {
	case node.Kind == yaml.MappingNode:
		return "a mapping"
	case node.Kind == yaml.SequenceNode:
		return "a list"
	case node.Tag == tagStr:
		return "a text"
	case node.Tag == tagInt, node.Tag == tagFloat:
		return "a number"
	case node.Tag == tagBool:
		return "true or false"
	default:
		return "a value of type " + strings.TrimPrefix(node.Tag, "!!")
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

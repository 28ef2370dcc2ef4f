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
// matched by their yaml tags. Fields that the file leaves out keep their value,
// so that defaults are set before the call. It returns an *Error.
func (d *Document) Decode(out any) error {
	if err := d.value(d.root, "", reflect.ValueOf(out).Elem()); err != nil {
		return err
	}
	return nil
}

func (d *Document) value(node *yaml.Node, path string, out reflect.Value) *Error {
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		return d.fault(node, path, "anchors and aliases are not allowed", "write the value out")
	}
	if node.Tag == tagNull {
		return d.fault(node, path, "the value is missing", "write a value or remove the key")
	}
	if out.Type() == durationType {
		return d.duration(node, path, out)
	}
	switch out.Kind() {
	case reflect.Pointer:
		out.Set(reflect.New(out.Type().Elem()))
		return d.value(node, path, out.Elem())
	case reflect.Struct:
		return d.structure(node, path, out)
	case reflect.Slice:
		return d.list(node, path, out)
	case reflect.Map:
		return d.mapping(node, path, out)
	default:
		return d.scalar(node, path, out)
	}
}

func (d *Document) structure(node *yaml.Node, path string, out reflect.Value) *Error {
	if node.Kind != yaml.MappingNode {
		return d.wrongType(node, path, "a mapping of keys to values")
	}
	fields := fieldsOf(out.Type())
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		at := join(path, key.Value)
		if err := d.firstUse(key, at, seen); err != nil {
			return err
		}
		index, known := fields[key.Value]
		if !known {
			return d.fault(key, at, "unknown key", suggestion(key.Value, fields))
		}
		if err := d.value(value, at, out.Field(index)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Document) mapping(node *yaml.Node, path string, out reflect.Value) *Error {
	if node.Kind != yaml.MappingNode {
		return d.wrongType(node, path, "a mapping of keys to values")
	}
	out.Set(reflect.MakeMap(out.Type()))
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		at := join(path, key.Value)
		if err := d.firstUse(key, at, seen); err != nil {
			return err
		}
		item := reflect.New(out.Type().Elem()).Elem()
		if err := d.value(value, at, item); err != nil {
			return err
		}
		out.SetMapIndex(reflect.ValueOf(key.Value).Convert(out.Type().Key()), item)
	}
	return nil
}

// firstUse records the line of a key and refuses a key that was there before.
func (d *Document) firstUse(key *yaml.Node, path string, seen map[string]int) *Error {
	if line, twice := seen[key.Value]; twice {
		return d.fault(key, path, fmt.Sprintf("the key is already on line %d", line), "keep one of the two")
	}
	seen[key.Value] = key.Line
	d.lines[path] = key.Line
	return nil
}

func (d *Document) list(node *yaml.Node, path string, out reflect.Value) *Error {
	if node.Kind != yaml.SequenceNode {
		return d.wrongType(node, path, "a list")
	}
	items := reflect.MakeSlice(out.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.lines[at] = item.Line
		if err := d.value(item, at, items.Index(i)); err != nil {
			return err
		}
	}
	out.Set(items)
	return nil
}

func (d *Document) scalar(node *yaml.Node, path string, out reflect.Value) *Error {
	want, tags := scalarType(out.Kind())
	if node.Kind != yaml.ScalarNode || !slices.Contains(tags, node.Tag) {
		return d.wrongType(node, path, want)
	}
	if out.Kind() == reflect.String {
		out.SetString(node.Value)
		return nil
	}
	if err := node.Decode(out.Addr().Interface()); err != nil {
		return d.fault(node, path, "the number is out of range", "write a smaller number")
	}
	return nil
}

func scalarType(kind reflect.Kind) (want string, tags []string) {
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

func (d *Document) duration(node *yaml.Node, path string, out reflect.Value) *Error {
	const remedy = "write a number with a unit of ns, us, ms, s, m or h, such as 250ms or 1m30s"
	if node.Kind != yaml.ScalarNode {
		return d.wrongType(node, path, "a duration")
	}
	if node.Tag == tagInt || node.Tag == tagFloat {
		return d.fault(node, path, fmt.Sprintf("the duration %s has no unit", node.Value), remedy)
	}
	v, err := time.ParseDuration(node.Value)
	if err != nil {
		return d.fault(node, path, fmt.Sprintf("%q is not a duration", node.Value), remedy)
	}
	if v < 0 {
		return d.fault(node, path, fmt.Sprintf("the duration %s is negative", node.Value), remedy)
	}
	out.SetInt(int64(v))
	return nil
}

func (d *Document) wrongType(node *yaml.Node, path, want string) *Error {
	return d.fault(node, path, "wrong type: found "+describe(node), "write "+want)
}

func (d *Document) fault(node *yaml.Node, path, problem, remedy string) *Error {
	return &Error{File: d.file, Line: node.Line, Key: path, Problem: problem, Remedy: remedy}
}

// describe names the type of a node. It leaves the value out, as it may be a
// secret.
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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

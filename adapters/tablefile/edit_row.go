package tablefile

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"greengagespoke/adapters/strictyaml"
	"greengagespoke/domain"
)

// editedRowName takes the place of the file name in errors of row edits.
const editedRowName = "edited row"

// EditRow returns the change that sets and unsets keys of a row, or no change if the
// row already has the wanted values. A row with version 0 is new. Each element of
// set has the form KEY=VALUE with the value in YAML. A key is a path such as
// "upstreams[2].zone", in which a list item is given by its index from 0, by its id,
// or by "+" to append one. An invalid edit returns an *Error.
func EditRow(current domain.VersionedRow, set, unset []string) ([]RowChange, error) {
	root, err := rowNode(current)
	if err != nil {
		return nil, err
	}
	for _, key := range unset {
		if err := changeKey(root, key, nil); err != nil {
			return nil, err
		}
	}
	for _, text := range set {
		key, value, err := parseSetting(text)
		if err != nil {
			return nil, err
		}
		if err := changeKey(root, key, value); err != nil {
			return nil, err
		}
	}
	file, err := fileWithRow(current.Table, root)
	if err != nil {
		return nil, err
	}
	return Diff(file, []domain.VersionedRow{current}, false)
}

// rowNode returns the row as a YAML mapping.
func rowNode(current domain.VersionedRow) (*yaml.Node, error) {
	root := &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"}
	if current.Version == 0 {
		name := &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: current.Row}
		setKey(root, "name", name)
		return root, nil
	}
	// The JSON is parsed as YAML, which keeps the order of the keys.
	var doc yaml.Node
	if err := yaml.Unmarshal(current.Value, &doc); err != nil || len(doc.Content) == 0 || doc.Content[0].Kind != yaml.MappingNode {
		return root, nil
	}
	clearStyle(doc.Content[0])
	return doc.Content[0], nil
}

// clearStyle resets the flow style of a node that was parsed from JSON, so that it
// is encoded as block YAML.
func clearStyle(node *yaml.Node) {
	node.Style = 0
	for _, child := range node.Content {
		clearStyle(child)
	}
}

// fileWithRow decodes and validates a row like one in a table file.
func fileWithRow(table domain.TableName, root *yaml.Node) (*File, error) {
	text, err := yaml.Marshal(map[domain.TableName][]*yaml.Node{table: {root}})
	if err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	file, err := Parse(editedRowName, text)
	var fault *Error
	if errors.As(err, &fault) {
		_, key, _ := strings.Cut(fault.Key, "].")
		return nil, editError(key, fault.Problem, fault.Remedy)
	}
	return file, err
}

func parseSetting(text string) (key string, value *yaml.Node, err error) {
	key, raw, ok := strings.Cut(text, "=")
	if !ok || key == "" {
		return "", nil, editError(text, "the setting has no key or no value", "write KEY=VALUE, such as timeout=10m")
	}
	var doc yaml.Node
	if err := yaml.Unmarshal([]byte(raw), &doc); err != nil || len(doc.Content) == 0 {
		return "", nil, editError(key, fmt.Sprintf("%q is not a YAML value", raw), "write a value, and put it in quotes where needed")
	}
	return key, doc.Content[0], nil
}

func editError(key, problem, remedy string) *Error {
	return &strictyaml.Error{File: editedRowName, Key: key, Problem: problem, Remedy: remedy}
}

var pathElement = regexp.MustCompile(`^([A-Za-z0-9_@-]+)(?:\[([^\[\]]+)\])?$`)

// changeKey sets the value of a key path, or removes the key if value is nil.
func changeKey(root *yaml.Node, key string, value *yaml.Node) error {
	parent := root
	parts := strings.Split(key, ".")
	for i, part := range parts {
		m := pathElement.FindStringSubmatch(part)
		if m == nil {
			return editError(key, "the key is not a path", "write a path such as upstreams[2].zone")
		}
		last := i == len(parts)-1
		if m[2] == "" && last {
			setKey(parent, m[1], value)
			return nil
		}
		child := mappingValue(parent, m[1])
		if child == nil {
			child = newContainer(m[2] != "")
			setKey(parent, m[1], child)
		}
		if m[2] != "" {
			next, err := resolveItem(child, key, m[2], value, last)
			if err != nil || last {
				return err
			}
			child = next
		}
		if child.Kind != yaml.MappingNode {
			return editError(key, "the key goes on below a value that has no keys", "shorten the key")
		}
		parent = child
	}
	return nil
}

func newContainer(list bool) *yaml.Node {
	if list {
		return &yaml.Node{Kind: yaml.SequenceNode, Tag: "!!seq"}
	}
	return &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"}
}

// resolveItem returns the item of a list that name selects. If last is set, the key
// path ends at the item, and resolveItem sets it to value, or removes it if value is
// nil.
func resolveItem(list *yaml.Node, key, name string, value *yaml.Node, last bool) (*yaml.Node, error) {
	if list.Kind != yaml.SequenceNode {
		return nil, editError(key, "the key names an item of a value that is no list", "remove the part in brackets")
	}
	if name == "+" && last && value != nil {
		list.Content = append(list.Content, value)
		return value, nil
	}
	index := itemIndex(list, name)
	if index < 0 {
		return nil, editError(key, fmt.Sprintf("there is no item %q", name), "name an item by its number from 0 or by its id")
	}
	if !last {
		return list.Content[index], nil
	}
	if value == nil {
		list.Content = append(list.Content[:index], list.Content[index+1:]...)
		return nil, nil
	}
	list.Content[index] = value
	return value, nil
}

func itemIndex(list *yaml.Node, name string) int {
	for i, node := range list.Content {
		if id := mappingValue(node, "id"); id != nil && id.Value == name {
			return i
		}
	}
	if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(list.Content) {
		return i
	}
	return -1
}

// mappingValue returns the value of a key, or nil if the node is not a mapping or
// lacks the key.
func mappingValue(node *yaml.Node, key string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}

// setKey sets a key of a mapping, or removes it if value is nil.
func setKey(node *yaml.Node, key string, value *yaml.Node) {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value != key {
			continue
		}
		if value == nil {
			node.Content = append(node.Content[:i], node.Content[i+2:]...)
			return
		}
		node.Content[i+1] = value
		return
	}
	if value != nil {
		node.Content = append(node.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: key}, value)
	}
}

// Removal returns the change that removes a row.
func Removal(row domain.VersionedRow) RowChange {
	return RowChange{
		Table: row.Table, Row: row.Row, Version: row.Version,
		Before: row.Value, Fields: DiffJSON(row.Value, json.RawMessage(nil)),
	}
}

package settings

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Parse decodes a document written by an operator in YAML or JSON. Unknown keys are errors, since
// a misspelt override would otherwise be ignored and the value inherited. All errors are reported
// at once, as Faults in an error of class Invalid.
func Parse(text io.Reader) (Document, error) {
	var root yaml.Node
	dec := yaml.NewDecoder(text)
	if err := dec.Decode(&root); err != nil {
		return Document{}, parseError(err)
	}
	var next yaml.Node
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		return Document{}, Faults{{Path: "document", Message: "must be the only one in the text"}}.asError()
	}
	c := checker{}
	c.check(nil, root.Content[0], reflect.TypeFor[Document]())
	var d Document
	if err := root.Decode(&d); err != nil {
		return Document{}, c.faultsOr(err)
	}
	// The rules are checked even if there are unknown keys, so that all errors are reported at once.
	return d, append(c.faults, findFaults(d)...).asError()
}

// faultsOr returns the faults found, or err if only the decoder found an error.
func (c *checker) faultsOr(err error) error {
	if len(c.faults) > 0 {
		return c.faults.asError()
	}
	return parseError(err)
}

// Format encodes the document as YAML that Parse can read.
func Format(d Document) ([]byte, error) {
	out, err := yaml.Marshal(d)
	return out, Invalid.Wrap(err)
}

func parseError(err error) error {
	if errors.Is(err, io.EOF) {
		// An empty document would otherwise remove all settings.
		return Faults{{Path: "document", Message: "is empty"}}.asError()
	}
	return Faults{{Path: "document", Message: err.Error()}}.asError()
}

// checker compares a YAML document with the types that it is decoded into, and collects all
// faults with their paths, which the decoder's own errors lack.
type checker struct{ faults Faults }

func (c *checker) addFault(path []string, n *yaml.Node, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: joinPath(path), Line: n.Line, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) check(path []string, n *yaml.Node, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		// Nested aliases let a short text expand to an unbounded size.
		c.addFault(path, n, "anchors and aliases are not supported")
		return
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		c.checkMapping(path, n, t)
	case reflect.Slice:
		c.checkSequence(path, n, t)
	default:
		c.checkScalar(path, n, t)
	}
}

func (c *checker) checkMapping(path []string, n *yaml.Node, t reflect.Type) {
	if n.Kind != yaml.MappingNode {
		if !isNull(n) {
			c.addFault(path, n, "must be a mapping")
		}
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		memberPath := append(path[:len(path):len(path)], key.Value)
		if seen[key.Value] {
			c.addFault(memberPath, key, "is given twice")
			continue
		}
		seen[key.Value] = true
		c.checkMember(memberPath, key, n.Content[i+1], t)
	}
}

func (c *checker) checkMember(path []string, key, value *yaml.Node, t reflect.Type) {
	if key.Kind != yaml.ScalarNode || key.Anchor != "" {
		c.addFault(path, key, "keys must be plain words")
		return
	}
	if t.Kind() == reflect.Map {
		c.check(path, value, t.Elem())
		return
	}
	memberType, ok := fieldType(t, key.Value)
	if !ok {
		c.addFault(path, key, "unknown key; known here: %s", strings.Join(yamlKeys(t), ", "))
		return
	}
	c.check(path, value, memberType)
}

func (c *checker) checkSequence(path []string, n *yaml.Node, t reflect.Type) {
	if n.Kind != yaml.SequenceNode {
		if !isNull(n) {
			c.addFault(path, n, "must be a list")
		}
		return
	}
	for i, item := range n.Content {
		c.check(append(path[:len(path):len(path)], strconv.Itoa(i)), item, t.Elem())
	}
}

func (c *checker) checkScalar(path []string, n *yaml.Node, t reflect.Type) {
	if n.Kind != yaml.ScalarNode {
		c.addFault(path, n, "must be a single value")
		return
	}
	if isNull(n) {
		c.addFault(path, n, "has no value; leave the key out to inherit")
		return
	}
	if err := n.Decode(reflect.New(t).Interface()); err != nil {
		c.addFault(path, n, "%q is not %s", n.Value, describeType(t))
	}
}

// describeType describes the values of a type for error messages.
func describeType(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return "a duration such as 4s or 250ms"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Int:
		return "a whole number"
	}
	return "a text"
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if yamlKey(t.Field(i)) == key {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func yamlKeys(t reflect.Type) []string {
	keys := make([]string, t.NumField())
	for i := range keys {
		keys[i] = yamlKey(t.Field(i))
	}
	return keys
}

func yamlKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return key
}

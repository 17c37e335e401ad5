package settings

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
)

// atomicDepth is the depth of the objects of the tree, such as organisations.acme. They are added
// and removed as a whole.
const atomicDepth = 2

// Edit is the change of one value of the tree.
type Edit struct {
	Path []string `json:"path"`
	// From and To are the values before and after; an empty one means that the value does not
	// exist.
	From json.RawMessage `json:"from,omitempty"`
	To   json.RawMessage `json:"to,omitempty"`

	to any
}

// String returns the edit on one line.
func (e Edit) String() string {
	return joinPath(e.Path) + ": " + valueOrAbsent(e.From) + " -> " + valueOrAbsent(e.To)
}

func valueOrAbsent(raw json.RawMessage) string {
	if len(raw) == 0 {
		return "(absent)"
	}
	return string(raw)
}

// Diff returns the edits that turn one document into another, ordered by path.
func Diff(from, to Document) []Edit {
	return diffTrees(nil, toTree(from), toTree(to), nil)
}

// toTree returns the document as nested maps, lists and scalars.
func toTree(d Document) any {
	raw, err := json.Marshal(d)
	if err != nil {
		panic("settings: a document cannot be encoded: " + err.Error())
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		panic("settings: an encoded document cannot be decoded: " + err.Error())
	}
	return tree
}

// fromTree returns the document of a tree made by toTree.
func fromTree(tree any) (Document, error) {
	raw, err := json.Marshal(tree)
	if err != nil {
		return Document{}, Invalid.Wrap(err)
	}
	var d Document
	err = decodeStrict(raw, &d)
	return d, err
}

// diffTrees appends the edits below path. A list counts as one value, since the order of its
// items is significant.
func diffTrees(path []string, from, to any, edits []Edit) []Edit {
	fromMap, fromIsMap := from.(map[string]any)
	toMap, toIsMap := to.(map[string]any)
	absent := from == nil || to == nil
	if (fromIsMap || from == nil) && (toIsMap || to == nil) && !(absent && len(path) == atomicDepth) {
		for _, k := range unionKeys(fromMap, toMap) {
			edits = diffTrees(appendPath(path, k), fromMap[k], toMap[k], edits)
		}
		return edits
	}
	if reflect.DeepEqual(from, to) {
		return edits
	}
	return append(edits, Edit{Path: path, From: mustMarshal(from), To: mustMarshal(to), to: to})
}

func unionKeys(a, b map[string]any) []string {
	keys := append(sortedKeys(a), sortedKeys(b)...)
	slices.Sort(keys)
	return slices.Compact(keys)
}

func mustMarshal(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	raw, err := json.Marshal(v)
	if err != nil {
		panic("settings: a value cannot be encoded: " + err.Error())
	}
	return raw
}

// overlaps reports whether two edits change the same value, or one changes a value within that of
// the other.
func (e Edit) overlaps(other Edit) bool {
	n := min(len(e.Path), len(other.Path))
	return slices.Equal(e.Path[:n], other.Path[:n])
}

// sameResult reports whether both edits set the same path to the same value.
func (e Edit) sameResult(other Edit) bool {
	return slices.Equal(e.Path, other.Path) && bytes.Equal(e.To, other.To)
}

// applyTo applies the edit to the tree and removes mappings that become empty.
func (e Edit) applyTo(tree map[string]any) { setPath(tree, e.Path, e.to) }

func setPath(node map[string]any, path []string, to any) {
	key := path[0]
	if len(path) == 1 {
		if to == nil {
			delete(node, key)
			return
		}
		node[key] = to
		return
	}
	child, ok := node[key].(map[string]any)
	if !ok {
		child = map[string]any{}
		node[key] = child
	}
	setPath(child, path[1:], to)
	if len(child) == 0 {
		delete(node, key)
	}
}

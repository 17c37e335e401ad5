package settings

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error classes of this package. Invalid documents are mistakes of the operator; Corrupt data is
// a fault of the sender or of the store.
var (
	Invalid = errs.Class("settings invalid")
	Corrupt = errs.Class("settings corrupt")
)

// Keys of the stored tree, and the length of digests in bytes.
const (
	ManifestKey   = "settings/manifest"
	objectsPrefix = "settings/objects/"
	indexPrefix   = "settings/index/"
	digestBytes   = 16
)

// objectKind is the kind of a stored object.
type objectKind string

const (
	fleetKind        objectKind = "fleet"
	pipelineKind     objectKind = "pipeline"
	organisationKind objectKind = "organisation"
	dataCentreKind   objectKind = "data_centre"
)

// ObjectName is the name of a stored object of the tree, such as "organisation/acme".
type ObjectName string

func newObjectName(kind objectKind, name string) ObjectName {
	return ObjectName(string(kind) + "/" + name)
}

func (n ObjectName) split() (objectKind, string) {
	kind, name, _ := strings.Cut(string(n), "/")
	return objectKind(kind), name
}

const fleetObjectName = ObjectName(fleetKind) + "/"

// Ref is the reference of an object: the version for which it was written and the digest of its
// content, such as "12.9f86d081884c7d659a2feaa0c55ad015".
type Ref string

// newRef returns the reference of value. Whitespace in its JSON does not matter.
func newRef(v Version, value []byte) Ref {
	var compact bytes.Buffer
	if json.Compact(&compact, value) == nil {
		value = compact.Bytes()
	}
	sum := sha256.Sum256(value)
	return Ref(fmt.Sprintf("%d.%s", v, hex.EncodeToString(sum[:digestBytes])))
}

// version returns the settings version for which the object was written.
func (r Ref) version() Version {
	v, _, _ := strings.Cut(string(r), ".")
	n, _ := strconv.ParseUint(v, 10, 64)
	return n
}

// matches reports whether the digest of value is that of the reference.
func (r Ref) matches(value []byte) bool { return newRef(r.version(), value) == r }

// objectKey returns the store's key of an object. The key contains the version and digest, so
// that the value under a key never changes.
func objectKey(n ObjectName, r Ref) string { return objectsPrefix + string(n) + "@" + string(r) }

// indexKey returns the store's key of an index. Indexes have a prefix of their own, so that
// listings of objects stay small.
func indexKey(r Ref) string { return indexPrefix + "@" + string(r) }

// refFromKey returns the reference in an object's key.
func refFromKey(key string) Ref {
	_, ref, _ := strings.Cut(key, "@")
	return Ref(ref)
}

// objectValues are the stored objects of a document by name.
type objectValues map[ObjectName]json.RawMessage

// fleetObject is the stored form of the settings at the root of the tree.
type fleetObject struct {
	Request  RequestOverrides  `json:"request,omitzero"`
	Endpoint EndpointOverrides `json:"endpoint,omitzero"`
	MaxLoads int               `json:"max_loads,omitempty"`
}

// splitDocument returns the stored objects of a document.
func splitDocument(d Document) (objectValues, error) {
	out := objectValues{}
	if err := out.add(fleetObjectName, fleetObject{Request: d.Request, Endpoint: d.Endpoint, MaxLoads: d.MaxLoads}); err != nil {
		return nil, err
	}
	for name, p := range d.Pipelines {
		if err := out.add(newObjectName(pipelineKind, name), p); err != nil {
			return nil, err
		}
	}
	for name, o := range d.Organisations {
		if err := out.add(newObjectName(organisationKind, name), o); err != nil {
			return nil, err
		}
	}
	for name, dc := range d.DataCentres {
		if err := out.add(newObjectName(dataCentreKind, name), dc); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (values objectValues) add(n ObjectName, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return Invalid.Wrap(err)
	}
	values[n] = raw
	return nil
}

// setObject decodes a stored object into the document.
func (d *Document) setObject(n ObjectName, raw json.RawMessage) error {
	kind, name := n.split()
	switch kind {
	case fleetKind:
		var f fleetObject
		err := decodeStrict(raw, &f)
		d.Request, d.Endpoint, d.MaxLoads = f.Request, f.Endpoint, f.MaxLoads
		return err
	case pipelineKind:
		return decodeInto(&d.Pipelines, name, raw)
	case organisationKind:
		return decodeInto(&d.Organisations, name, raw)
	case dataCentreKind:
		return decodeInto(&d.DataCentres, name, raw)
	}
	return Corrupt.New("object %q is of no known kind", n)
}

func decodeInto[T any](m *map[string]T, name string, raw json.RawMessage) error {
	var v T
	if err := decodeStrict(raw, &v); err != nil {
		return err
	}
	if *m == nil {
		*m = map[string]T{}
	}
	(*m)[name] = v
	return nil
}

// removeObject removes a stored object from the document.
func (d *Document) removeObject(n ObjectName) {
	kind, name := n.split()
	switch kind {
	case fleetKind:
		d.Request, d.Endpoint = RequestOverrides{}, EndpointOverrides{}
	case pipelineKind:
		delete(d.Pipelines, name)
	case organisationKind:
		delete(d.Organisations, name)
	case dataCentreKind:
		delete(d.DataCentres, name)
	}
}

// cloneMaps returns a copy with its own maps, so that their entries can be replaced while readers
// use the previous document.
func (d Document) cloneMaps() Document {
	d.Pipelines = maps.Clone(d.Pipelines)
	d.Organisations = maps.Clone(d.Organisations)
	d.DataCentres = maps.Clone(d.DataCentres)
	return d
}

// decodeStrict decodes stored JSON and returns an error for unknown members, so that they are
// never dropped silently.
func decodeStrict(raw json.RawMessage, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return Corrupt.Wrap(err)
	}
	if dec.More() {
		return Corrupt.New("data after the end of the object")
	}
	return nil
}

// refs are the references of all objects of a version.
type refs map[ObjectName]Ref

// rootDigest returns the digest of a version: of its number and all references.
func (r refs) rootDigest(v Version) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n", v)
	for _, n := range sortedKeys(r) {
		fmt.Fprintf(h, "%s@%s\n", n, r[n])
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

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

// Errors of this package. Invalid documents are the operator's fault, Corrupt
// data is the fault of whoever sent or stored it.
var (
	Invalid = errs.Class("settings invalid")
	Corrupt = errs.Class("settings corrupt")
)

// Keys of the stored tree.
const (
	ManifestKey   = "settings/manifest"
	objectsPrefix = "settings/objects/"
	indexPrefix   = "settings/index/"
	digestBytes   = 16
)

// objectKind is the kind of a stored part of the tree.
type objectKind string

const (
	fleetKind        objectKind = "fleet"
	pipelineKind     objectKind = "pipeline"
	organisationKind objectKind = "organisation"
	dataCentreKind   objectKind = "data_centre"
)

// ObjectName names a stored part of the tree, such as "organisation/acme".
type ObjectName string

func nameOf(kind objectKind, name string) ObjectName {
	return ObjectName(string(kind) + "/" + name)
}

func (n ObjectName) split() (objectKind, string) {
	kind, name, _ := strings.Cut(string(n), "/")
	return objectKind(kind), name
}

const fleetName = ObjectName(fleetKind) + "/"

// Ref is the version for which an object was written and the digest of its
// content, as "12.9f86d081884c7d659a2feaa0c55ad015".
type Ref string

// newRef returns the reference of value, whose JSON may be spaced in any way.
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

// fits reports whether value is the content that the reference names.
func (r Ref) fits(value []byte) bool { return newRef(r.version(), value) == r }

// objectKey is the store's key of an object. It holds the version and digest,
// so that the value under a key never changes.
func objectKey(n ObjectName, r Ref) string { return objectsPrefix + string(n) + "@" + string(r) }

// indexKey is the store's key of an index. It lies apart from the objects, so
// that a listing of those stays small.
func indexKey(r Ref) string { return indexPrefix + "@" + string(r) }

// refOf returns the reference in an object's key.
func refOf(key string) Ref {
	_, ref, _ := strings.Cut(key, "@")
	return Ref(ref)
}

// parts splits a document into its stored parts.
type parts map[ObjectName]json.RawMessage

// fleetPart is the stored form of the settings at the top of the tree.
type fleetPart struct {
	Request  RequestOverrides  `json:"request,omitzero"`
	Endpoint EndpointOverrides `json:"endpoint,omitzero"`
	MaxLoads int               `json:"max_loads,omitempty"`
}

func split(d Document) (parts, error) {
	out := parts{}
	if err := out.add(fleetName, fleetPart{Request: d.Request, Endpoint: d.Endpoint, MaxLoads: d.MaxLoads}); err != nil {
		return nil, err
	}
	for name, p := range d.Pipelines {
		if err := out.add(nameOf(pipelineKind, name), p); err != nil {
			return nil, err
		}
	}
	for name, o := range d.Organisations {
		if err := out.add(nameOf(organisationKind, name), o); err != nil {
			return nil, err
		}
	}
	for name, dc := range d.DataCentres {
		if err := out.add(nameOf(dataCentreKind, name), dc); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (p parts) add(n ObjectName, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return Invalid.Wrap(err)
	}
	p[n] = raw
	return nil
}

// put decodes one stored part into the document.
func (d *Document) put(n ObjectName, raw json.RawMessage) error {
	kind, name := n.split()
	switch kind {
	case fleetKind:
		var f fleetPart
		err := decodeStored(raw, &f)
		d.Request, d.Endpoint, d.MaxLoads = f.Request, f.Endpoint, f.MaxLoads
		return err
	case pipelineKind:
		return putInto(&d.Pipelines, name, raw)
	case organisationKind:
		return putInto(&d.Organisations, name, raw)
	case dataCentreKind:
		return putInto(&d.DataCentres, name, raw)
	}
	return Corrupt.New("object %q is of no known kind", n)
}

func putInto[T any](m *map[string]T, name string, raw json.RawMessage) error {
	var v T
	if err := decodeStored(raw, &v); err != nil {
		return err
	}
	if *m == nil {
		*m = map[string]T{}
	}
	(*m)[name] = v
	return nil
}

// remove drops one stored part from the document.
func (d *Document) remove(n ObjectName) {
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

// shallow copies the maps of the tree, so that parts can be replaced while
// readers hold the former document.
func (d Document) shallow() Document {
	d.Pipelines = maps.Clone(d.Pipelines)
	d.Organisations = maps.Clone(d.Organisations)
	d.DataCentres = maps.Clone(d.DataCentres)
	return d
}

// decodeStored decodes the stored form strictly: a member that this program
// does not know is an error, never dropped silently.
func decodeStored(raw json.RawMessage, v any) error {
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

// refs are the references of all objects of one version.
type refs map[ObjectName]Ref

// root returns the digest of a version: its number and every reference.
func (r refs) root(v Version) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n", v)
	for _, n := range sortedKeys(r) {
		fmt.Fprintf(h, "%s@%s\n", n, r[n])
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

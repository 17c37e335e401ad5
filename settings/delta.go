package settings

import (
	"encoding/json"
	"maps"
	"slices"
)

// Delta contains the changes from version From to version To. If From is 0, it contains the whole
// tree.
type Delta struct {
	From Version `json:"from"`
	To   Version `json:"to"`
	// StoreVersion is the version that the store gave to the manifest of To. The receiver watches
	// the manifest from there.
	StoreVersion uint64 `json:"store"`
	// Root is the digest of all references of To. The tree that results at the receiver must
	// match it.
	Root    string                 `json:"root"`
	Changed map[ObjectName]Content `json:"changed,omitempty"`
	Removed []ObjectName           `json:"removed,omitempty"`
}

// Content is the reference and value of an object.
type Content struct {
	Ref   Ref             `json:"ref"`
	Value json.RawMessage `json:"value"`
}

// replica is one version of the tree as held by a process. Replicas are immutable.
type replica struct {
	snapshot   *Snapshot
	refs       refs
	values     objectValues
	rootDigest string
	// storeVersion is the version that the store gave to the manifest.
	storeVersion uint64
	// removed maps removed objects to a version at or above that of their removal. It is complete
	// from oldestVersion on.
	removed       map[ObjectName]Version
	oldestVersion Version
}

func (r *replica) version() Version {
	if r == nil || r.snapshot == nil {
		return 0
	}
	return r.snapshot.Version
}

// deltaSince returns the delta from version have to the replica's version.
func (r *replica) deltaSince(have Version) Delta {
	d := Delta{From: have, To: r.version(), StoreVersion: r.storeVersion, Root: r.rootDigest, Changed: map[ObjectName]Content{}}
	if have < r.oldestVersion {
		d.From = 0
	}
	for n, ref := range r.refs {
		if ref.version() > d.From {
			d.Changed[n] = Content{Ref: ref, Value: r.values[n]}
		}
	}
	for n, v := range r.removed {
		if d.From > 0 && v > d.From {
			d.Removed = append(d.Removed, n)
		}
	}
	slices.Sort(d.Removed)
	return d
}

// apply returns the replica that results from the delta, or an error of class Corrupt if it does
// not match the digests in the delta.
func (r *replica) apply(d Delta) (*replica, error) {
	next := r.cloneFor(d)
	doc := next.snapshot.Document
	for _, n := range d.Removed {
		next.recordRemoval(n, d.To)
		doc.removeObject(n)
	}
	for n, c := range d.Changed {
		if !c.Ref.matches(c.Value) {
			return nil, Corrupt.New("object %s does not fit its digest", n)
		}
		if err := doc.setObject(n, c.Value); err != nil {
			return nil, err
		}
		next.refs[n], next.values[n] = c.Ref, c.Value
		delete(next.removed, n)
	}
	if root := next.refs.rootDigest(d.To); root != d.Root {
		return nil, Corrupt.New("version %d does not fit its digest", d.To)
	}
	next.snapshot = &Snapshot{Version: d.To, Document: doc}
	next.rootDigest, next.storeVersion = d.Root, d.StoreVersion
	next.trimRemovals()
	return next, nil
}

// cloneFor returns a mutable copy of the state that the delta applies to: an empty tree for a
// delta that contains the whole tree, otherwise the replica.
func (r *replica) cloneFor(d Delta) *replica {
	if d.From == 0 || r == nil {
		return &replica{snapshot: &Snapshot{}, refs: refs{}, values: objectValues{}, removed: map[ObjectName]Version{}, oldestVersion: d.To}
	}
	return &replica{
		snapshot:      &Snapshot{Document: r.snapshot.Document.cloneMaps()},
		refs:          maps.Clone(r.refs),
		values:        maps.Clone(r.values),
		removed:       maps.Clone(r.removed),
		oldestVersion: r.oldestVersion,
	}
}

// recordRemoval removes the object and records that version removedIn removed it.
func (r *replica) recordRemoval(n ObjectName, removedIn Version) {
	delete(r.refs, n)
	delete(r.values, n)
	r.removed[n] = removedIn
}

// trimRemovals forgets the oldest removals beyond maxHistory. Peers at versions before those get
// the whole tree.
func (r *replica) trimRemovals() {
	for len(r.removed) > maxHistory {
		oldest := slices.MinFunc(sortedKeys(r.removed), func(a, b ObjectName) int {
			return int(r.removed[a]) - int(r.removed[b])
		})
		r.oldestVersion = max(r.oldestVersion, r.removed[oldest])
		delete(r.removed, oldest)
	}
}

package settings

import (
	"context"
	"slices"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/platform"
)

// Outdated is the class of errors about versions that are no longer in the history.
var Outdated = errs.Class("settings version outdated")

// StoredTree is the settings tree as read from the store.
type StoredTree struct {
	Manifest Manifest
	values   objectValues
	// storeVersion is the version that the store gave to the manifest.
	storeVersion uint64
}

// Load reads the tree in force. Objects that held contains are not read again; held may be nil.
func Load(ctx context.Context, store platform.Store, held *StoredTree) (*StoredTree, error) {
	m, version, err := readManifest(ctx, store)
	if err != nil {
		return nil, err
	}
	if held == nil {
		held = &StoredTree{}
	}
	if err := m.loadObjectRefs(ctx, store, held.Manifest.Version, held.Manifest.objects); err != nil {
		return nil, err
	}
	values, err := fetchValues(ctx, store, m.objects, held.Manifest.objects, held.values)
	if err != nil {
		return nil, err
	}
	return &StoredTree{Manifest: m, values: values, storeVersion: version}, nil
}

// Document returns the document in force.
func (s *StoredTree) Document() (Document, error) { return s.values.document() }

// Snapshot returns the document in force with its version.
func (s *StoredTree) Snapshot() (*Snapshot, error) {
	d, err := s.Document()
	return &Snapshot{Version: s.Manifest.Version, Document: d}, err
}

// History returns the latest changes, newest first.
func (s *StoredTree) History() []Change {
	changes := slices.Clone(s.Manifest.Changes)
	slices.Reverse(changes)
	return changes
}

// DocumentAt returns the document of an earlier version, or an error of class Outdated if it can
// no longer be reconstructed.
func (s *StoredTree) DocumentAt(ctx context.Context, store platform.Store, v Version) (Document, error) {
	wantedRefs, ok := s.Manifest.refsAt(v)
	if !ok {
		return Document{}, Outdated.New("version %d is not within the history, %d to %d", v, s.Manifest.oldestVersion(), s.Manifest.Version)
	}
	values, err := fetchValues(ctx, store, wantedRefs, s.Manifest.objects, s.values)
	if err != nil {
		return Document{}, err
	}
	return values.document()
}

// Follower returns a Follower that holds the tree and does not follow any source. It serves the
// tree to peers.
func (s *StoredTree) Follower() (*Follower, error) {
	m := s.Manifest
	d := Delta{To: m.Version, StoreVersion: s.storeVersion, Root: m.Root, Changed: map[ObjectName]Content{}}
	for n, r := range m.objects {
		d.Changed[n] = Content{Ref: r, Value: s.values[n]}
	}
	var empty *replica
	r, err := empty.apply(d)
	if err != nil {
		return nil, err
	}
	r.recordRemovals(m)
	f := NewFollower(FollowerOptions{})
	f.current.Store(r)
	return f, nil
}

// recordRemovals records the removals in the manifest's history, so that peers at versions within
// it get a delta instead of the whole tree.
func (r *replica) recordRemovals(m Manifest) {
	r.oldestVersion = m.oldestVersion()
	for _, c := range m.Changes {
		for n := range c.Before {
			if _, present := m.objects[n]; !present {
				r.removed[n] = c.Version
			}
		}
	}
}

func (values objectValues) document() (Document, error) {
	var d Document
	for n, value := range values {
		if err := d.setObject(n, value); err != nil {
			return Document{}, err
		}
	}
	return d, nil
}

// CollectGarbage deletes the objects that neither the tree's manifest nor its history refers to,
// and returns their number.
//
// It never deletes an object of a change that an operator is about to accept: such an object is
// written under the next version, which is above that of the tree as long as the tree is the
// latest. An object of a version up to the tree's that the manifest does not refer to belongs to
// a change that lost its race, and no later manifest refers to it. A reader that is so slow that
// its manifest has left the history finds an object missing and starts over from the manifest.
func CollectGarbage(ctx context.Context, store platform.Store, tree *StoredTree) (int, error) {
	live := tree.Manifest.liveKeys()
	deleted := 0
	for _, prefix := range []string{objectsPrefix, indexPrefix} {
		all, err := store.List(ctx, prefix)
		if err != nil {
			return deleted, err
		}
		for _, o := range all {
			if live[o.Key] || refFromKey(o.Key).version() > tree.Manifest.Version {
				continue
			}
			if err := store.Delete(ctx, o.Key, o.Version); err != nil && !platform.NotFound.Has(err) {
				return deleted, err
			}
			deleted++
		}
	}
	return deleted, nil
}

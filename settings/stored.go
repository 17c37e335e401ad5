package settings

import (
	"context"
	"slices"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/platform"
)

// Outdated is the class of errors about versions that the history no longer holds.
var Outdated = errs.Class("settings version outdated")

// StoredTree is the tree as read from the store.
type StoredTree struct {
	Manifest Manifest
	values   objectValues
	// storeVersion is the storeVersion's version of the manifest.
	storeVersion uint64
}

// Load reads the tree. Objects that held already has are not read again; held
// may be nil.
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

// Document returns the tree in force.
func (s *StoredTree) Document() (Document, error) { return s.values.document() }

// Snapshot returns the tree in force with its version.
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

// DocumentAt returns the tree of an earlier version, or an error of class Outdated if
// the history does not reach it.
func (s *StoredTree) DocumentAt(ctx context.Context, store platform.Store, v Version) (Document, error) {
	objects, ok := s.Manifest.refsAt(v)
	if !ok {
		return Document{}, Outdated.New("version %d is not within the history, %d to %d", v, s.Manifest.oldestVersion(), s.Manifest.Version)
	}
	values, err := fetchValues(ctx, store, objects, s.Manifest.objects, s.values)
	if err != nil {
		return Document{}, err
	}
	return values.document()
}

// Follower returns a Follower that holds the tree and follows nothing, to pass
// the tree on to peers.
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

// recordRemovals takes the removals that the manifest's history tells, so that peers
// within it get a delta and not the whole tree.
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

func (p objectValues) document() (Document, error) {
	var d Document
	for n, value := range p {
		if err := d.setObject(n, value); err != nil {
			return Document{}, err
		}
	}
	return d, nil
}

// CollectGarbage deletes the objects that neither the tree's manifest nor its history
// refers to, and returns how many.
//
// It cannot take an object that an operator is about to accept: objects are
// written under the version to be, which is above the tree's until that is no
// longer the latest. An object written for a version up to the tree's that its
// manifest does not refer to lost its race, and no later manifest can bring it
// back. A reader that is so slow that its manifest fell out of the history
// misses an object and starts over from the manifest.
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

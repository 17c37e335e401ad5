package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// maxHistory is the number of changes in the manifest. For that many later changes, the outcome
// of a change whose answer was lost can be determined, a version can be reconstructed, and a slow
// reader still finds the objects of the manifest that it read.
const maxHistory = 64

// maxListedObjects is the maximum number of objects that a change lists. Every reader of the
// manifest would have to read a longer list for as long as the change is in the history; readers
// at an earlier version read the index instead.
const maxListedObjects = 64

// ChangeID identifies a change of the settings. The operator's command generates it before the
// first write, so that the outcome can be determined by reading the manifest if the answer is
// lost.
type ChangeID string

// Change is an accepted change.
type Change struct {
	ID      ChangeID `json:"id"`
	Version Version  `json:"version"`
	Author  string   `json:"author"`
	// CreatedAt is the time by the author's clock, for information only. No decision depends on
	// it.
	CreatedAt time.Time `json:"at"`
	// ObjectCount is the number of objects that the change wrote or removed.
	ObjectCount int `json:"touched"`
	// Before are the references that the change replaced, and After the new ones; an empty
	// reference means that the object does not exist. Both are omitted for changes of more than
	// maxListedObjects objects.
	Before refs `json:"before,omitempty"`
	After  refs `json:"after,omitempty"`
}

// Objects returns the names of the objects that the change wrote or removed, if it lists them.
func (c Change) Objects() []ObjectName { return sortedKeys(c.Before) }

// Manifest identifies the version in force. Its conditional update accepts a change. The
// references of all objects are in a separate object, the index, so that a process that has
// followed the settings so far reads only the latest changes.
type Manifest struct {
	Version Version `json:"version"`
	// Index is the reference of the index, Root the digest of the references in it.
	Index Ref    `json:"index"`
	Root  string `json:"root"`
	// Changes are the latest changes, oldest first.
	Changes []Change `json:"changes"`

	// objects are the references of all objects. They are not part of the stored manifest.
	objects refs
}

func decodeManifest(raw json.RawMessage) (Manifest, error) {
	var m Manifest
	err := decodeStrict(raw, &m)
	return m, err
}

// findChange returns the accepted change with the given ID.
func (m Manifest) findChange(id ChangeID) (Change, bool) {
	for _, c := range m.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// listsObjects reports whether the change lists the objects that it wrote or removed.
func (c Change) listsObjects() bool { return c.ObjectCount <= maxListedObjects }

// oldestVersion returns the oldest version that can be reconstructed from the manifest.
func (m Manifest) oldestVersion() Version {
	oldest := m.Version
	for _, c := range slices.Backward(m.Changes) {
		if !c.listsObjects() {
			break
		}
		oldest = c.Version - 1
	}
	return oldest
}

// historyCovers reports whether the history still holds the change of version v, if there was
// one.
func (m Manifest) historyCovers(v Version) bool {
	return len(m.Changes) == 0 || m.Changes[0].Version <= v
}

// refsAt returns the references of version v, if it can be reconstructed.
func (m Manifest) refsAt(v Version) (refs, bool) {
	if v > m.Version || v < m.oldestVersion() {
		return nil, false
	}
	out := maps.Clone(m.objects)
	for _, c := range slices.Backward(m.Changes) {
		if c.Version <= v {
			break
		}
		out.update(c.Before)
	}
	return out, true
}

// advanceRefs returns the references of the manifest's version, computed from those of version
// base. It reports false if the history does not reach back to base or the result does not match
// the manifest's digest.
func (m Manifest) advanceRefs(base Version, baseRefs refs) (refs, bool) {
	if base > m.Version || base < m.oldestVersion() {
		return nil, false
	}
	out := maps.Clone(baseRefs)
	for _, c := range m.Changes {
		if c.Version > base {
			out.update(c.After)
		}
	}
	return out, out.rootDigest(m.Version) == m.Root
}

// update sets the references in changes; an empty reference removes the object.
func (r refs) update(changes refs) {
	for n, ref := range changes {
		if ref == "" {
			delete(r, n)
			continue
		}
		r[n] = ref
	}
}

// withChange returns the manifest after a change that sets the references in changed; an empty
// reference removes the object.
func (m Manifest) withChange(id ChangeID, author string, changed refs) Manifest {
	c := Change{ID: id, Version: m.Version + 1, Author: author, CreatedAt: time.Now().UTC(), ObjectCount: len(changed)}
	if c.listsObjects() {
		c.Before, c.After = refs{}, changed
		for n := range changed {
			c.Before[n] = m.objects[n]
		}
	}
	out := Manifest{Version: c.Version, objects: refs{}}
	maps.Copy(out.objects, m.objects)
	out.objects.update(changed)
	out.Root = out.objects.rootDigest(out.Version)
	out.Index = newRef(out.Version, out.encodeIndex())
	kept := m.Changes[max(len(m.Changes)+1-maxHistory, 0):]
	out.Changes = append(slices.Clone(kept), c)
	return out
}

// encodeIndex returns the stored form of the index.
func (m Manifest) encodeIndex() json.RawMessage { return mustMarshal(m.objects) }

// liveKeys returns all keys that a reader of this manifest may read.
func (m Manifest) liveKeys() map[string]bool {
	keys := map[string]bool{indexKey(m.Index): true}
	for n, r := range m.objects {
		keys[objectKey(n, r)] = true
	}
	for _, c := range m.Changes {
		for n, r := range c.Before {
			keys[objectKey(n, r)] = true
		}
	}
	return keys
}

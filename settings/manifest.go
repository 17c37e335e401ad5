package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// maxHistory is how many changes the manifest remembers. Within that many
// later changes a lost answer can be settled, a version be shown again and a
// slow reader still finds the objects of the manifest that it read.
const maxHistory = 64

// maxListedObjects is up to how many objects a change lists. A larger one would make
// every reader of the manifest carry it through the whole history; readers from
// before it take the index instead.
const maxListedObjects = 64

// ChangeID names one change of the settings. The operator's command makes it
// before the first write, so that a lost answer is settled by reading.
type ChangeID string

// Change is an accepted change.
type Change struct {
	ID      ChangeID `json:"id"`
	Version Version  `json:"version"`
	Author  string   `json:"author"`
	// CreatedAt is the author's clock, for people to read. No decision rests on it.
	CreatedAt time.Time `json:"at"`
	// ObjectCount is how many objects the change wrote or removed.
	ObjectCount int `json:"touched"`
	// Before are the references that the change replaced, After those that took
	// their place; empty ones are absent. Both are left out above maxListed.
	Before refs `json:"before,omitempty"`
	After  refs `json:"after,omitempty"`
}

// Objects returns the objects that the change touched, if it lists them.
func (c Change) Objects() []ObjectName { return sortedKeys(c.Before) }

// Manifest names the version in force. Its conditional update is the
// acceptance of a change. The references of all objects are in an object of
// their own, the index, so that whoever has followed until now reads the
// latest changes only.
type Manifest struct {
	Version Version `json:"version"`
	// Index is the reference of the index, Root the digest of its references.
	Index Ref    `json:"index"`
	Root  string `json:"root"`
	// Changes are the latest changes, oldest first.
	Changes []Change `json:"changes"`

	objects refs
}

func decodeManifest(raw json.RawMessage) (Manifest, error) {
	var m Manifest
	err := decodeStrict(raw, &m)
	return m, err
}

// findChange returns the accepted findChange of that id.
func (m Manifest) findChange(id ChangeID) (Change, bool) {
	for _, c := range m.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// listsObjects reports whether the change says which objects it touched.
func (c Change) listsObjects() bool { return c.ObjectCount <= maxListedObjects }

// oldestVersion is the oldest version that the manifest can reconstruct.
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

// historyCovers reports whether the change that made version v would be in the history.
func (m Manifest) historyCovers(v Version) bool {
	return len(m.Changes) == 0 || m.Changes[0].Version <= v
}

// refsAt returns the references of an earlier version, if the history reaches it.
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

// advanceRefs returns the references of the manifest's version from those of an
// earlier one, if the history reaches that.
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

// update replaces references; empty ones are removed.
func (r refs) update(changes refs) {
	for n, ref := range changes {
		if ref == "" {
			delete(r, n)
			continue
		}
		r[n] = ref
	}
}

// withChange returns the manifest after a change that sets the changed references;
// an empty one removes the object.
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

// encodeIndex returns the stored form of the references.
func (m Manifest) encodeIndex() json.RawMessage { return mustMarshal(m.objects) }

// liveKeys returns every key that a reader of this manifest may follow.
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

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

// ChangeID names one change of the settings. The operator's command makes it
// before the first write, so that a lost answer is settled by reading.
type ChangeID string

// Change is an accepted change.
type Change struct {
	ID      ChangeID `json:"id"`
	Version Version  `json:"version"`
	Author  string   `json:"author"`
	// At is the author's clock, for people to read. No decision rests on it.
	At time.Time `json:"at"`
	// Before are the references that the change replaced; empty ones did not exist.
	Before map[ObjectName]Ref `json:"before"`
}

// Objects returns the objects that the change touched.
func (c Change) Objects() []ObjectName { return sortedKeys(c.Before) }

// Manifest names the objects of the version in force. Its conditional update
// is the acceptance of a change.
type Manifest struct {
	Version Version `json:"version"`
	Objects refs    `json:"objects"`
	// Changes are the latest changes, oldest first.
	Changes []Change `json:"changes"`
}

func decodeManifest(raw json.RawMessage) (Manifest, error) {
	var m Manifest
	err := decodeStored(raw, &m)
	return m, err
}

// change returns the accepted change of that id.
func (m Manifest) change(id ChangeID) (Change, bool) {
	for _, c := range m.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// floor is the oldest version that the manifest can reconstruct.
func (m Manifest) floor() Version {
	if len(m.Changes) == 0 {
		return m.Version
	}
	return m.Changes[0].Version - 1
}

// at returns the references of an earlier version, if the history reaches it.
func (m Manifest) at(v Version) (refs, bool) {
	if v > m.Version || v < m.floor() {
		return nil, false
	}
	out := maps.Clone(m.Objects)
	for _, c := range slices.Backward(m.Changes) {
		if c.Version <= v {
			break
		}
		c.undo(out)
	}
	return out, true
}

func (c Change) undo(r refs) {
	for n, before := range c.Before {
		if before == "" {
			delete(r, n)
			continue
		}
		r[n] = before
	}
}

// next returns the manifest after a change that sets the changed references;
// an empty one removes the object.
func (m Manifest) next(id ChangeID, author string, changed refs) Manifest {
	c := Change{ID: id, Version: m.Version + 1, Author: author, At: time.Now().UTC(), Before: refs{}}
	out := Manifest{Version: c.Version, Objects: refs{}}
	maps.Copy(out.Objects, m.Objects)
	for n, r := range changed {
		c.Before[n] = m.Objects[n]
		if r == "" {
			delete(out.Objects, n)
			continue
		}
		out.Objects[n] = r
	}
	kept := m.Changes[max(len(m.Changes)+1-maxHistory, 0):]
	out.Changes = append(slices.Clone(kept), c)
	return out
}

// live returns every reference that a reader of this manifest may follow.
func (m Manifest) live() map[string]bool {
	keys := map[string]bool{}
	for n, r := range m.Objects {
		keys[objectKey(n, r)] = true
	}
	for _, c := range m.Changes {
		for n, r := range c.Before {
			keys[objectKey(n, r)] = true
		}
	}
	return keys
}

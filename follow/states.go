package follow

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/platform/fleet"
)

// maxDeletions bounds the deletions of a kind that are kept for other entries. An entry that missed
// older ones receives the names of all objects instead.
const maxDeletions = 512

// State is what one entry sends another about a kind of objects: the objects that changed after the
// revision that the other entry has, or all objects if Full is set.
type State struct {
	Kind string `json:"kind"`
	// Era and Revision are the point in the store's history up to which the sender knows the kind.
	Era      int64 `json:"era,omitempty"`
	Revision int64 `json:"revision"`
	// Checksum is the checksum of all objects. The receiver uses it to verify a state that it has
	// merged from changes.
	Checksum  uint64         `json:"sum"`
	Full      bool           `json:"whole,omitempty"`
	Objects   []fleet.Object `json:"objects,omitempty"`
	Deletions []Deletion     `json:"gone,omitempty"`
	// Names are the sorted names of all objects, if the receiver asked for them.
	Names []string `json:"names,omitempty"`
	// Compressed replaces large Objects: their JSON, compressed with gzip.
	Compressed []byte `json:"packed,omitempty"`
	// Content replaces Compressed for a receiver that reads it in parts.
	Content *ContentRef `json:"content,omitempty"`
}

// Deletion records that an object was deleted.
type Deletion struct {
	Name string `json:"name"`
	// Revision is a revision at which the object was already deleted.
	Revision int64 `json:"revision"`
}

// Position says up to which revision an entry knows a kind, when it asks another one for changes.
type Position struct {
	Kind string `json:"kind"`
	// Era and Revision are the point up to which the kind is known. A revision of 0, or another era
	// than that of the state, asks for the full state.
	Era      int64 `json:"era,omitempty"`
	Revision int64 `json:"revision"`
	// WantNames asks for the names of all objects, because deletions were missed.
	WantNames bool `json:"names,omitempty"`
	// ReadsParts says that the receiver reads large objects in parts.
	ReadsParts bool `json:"parts,omitempty"`
}

// Digest identifies the state of a kind.
type Digest struct {
	Kind     string `json:"kind"`
	Era      int64  `json:"era,omitempty"`
	Revision int64  `json:"revision"`
	Checksum uint64 `json:"sum"`
}

// Digests returns the digests of the kinds that are known, for other entries to compare with their
// own.
func (f *Follower) Digests() []Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	var digests []Digest
	for _, name := range f.o.Kinds {
		if k := f.kinds[name]; k.synced {
			digests = append(digests, Digest{Kind: name, Era: k.at.era, Revision: k.at.revision, Checksum: k.checksum})
		}
	}
	return digests
}

// Fingerprint hashes digests. Entries with the same fingerprint have the same state.
func Fingerprint(digests []Digest) string {
	h := xxhash.New()
	for _, d := range digests {
		// Writing to a hash never fails. The revision is left out: it also grows without a change.
		_, _ = fmt.Fprintf(h, "%s %x\n", d.Kind, d.Checksum)
	}
	return strconv.FormatUint(h.Sum64(), 36)
}

// StaleKinds returns the kinds for which another entry's digests show a newer state, with the
// positions from which to ask for it. A kind that is being read from the store because its state is
// overdue is left out at first.
func (f *Follower) StaleKinds(digests []Digest) []Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var stale []Position
	for _, d := range digests {
		k := f.kinds[d.Kind]
		if k == nil {
			continue
		}
		at := point{d.Era, d.Revision}
		if !k.synced || k.at.before(at) && d.Checksum != k.checksum {
			k.recordAnnouncement(at, d.Checksum, now)
			if !k.overdueReadStart.IsZero() && now.Sub(k.overdueReadStart) < overdueReadLead {
				continue
			}
			stale = append(stale, Position{Kind: d.Kind, Era: k.at.era, Revision: k.at.revision, ReadsParts: true})
		}
	}
	return stale
}

// Knows reports whether the local state of a kind is at least as new as the given one.
func (f *Follower) Knows(s State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[s.Kind]
	return k != nil && k.synced && !k.at.before(point{s.Era, s.Revision})
}

// StatesSince returns the changes of the kinds since the given positions.
func (f *Follower) StatesSince(since []Position) []State {
	var states []State
	for _, p := range since {
		s, found := f.stateSince(p)
		if !found {
			continue
		}
		if p.ReadsParts && !s.Full && sizeOf(s.Objects) > maxPartialBytes {
			s, _ = f.stateSince(Position{Kind: p.Kind})
		}
		s, err := f.encode(s, p.ReadsParts)
		if err != nil {
			f.o.Logger.Warn("state not compressed, sending it uncompressed", "kind", p.Kind, "objects", len(s.Objects), "error", err)
		}
		states = append(states, s)
	}
	return states
}

// stateSince returns the state of a kind for an entry that has it up to a position, and false if the
// kind is not known.
func (f *Follower) stateSince(p Position) (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[p.Kind]
	if k == nil || !k.synced {
		return State{}, false
	}
	s := State{
		Kind: p.Kind, Era: k.at.era, Revision: k.at.revision, Checksum: k.checksum,
		Full: p.Revision == 0 || p.Era != k.at.era,
	}
	names := slices.Sorted(maps.Keys(k.objects))
	for _, name := range names {
		if o := k.objects[name]; s.Full || o.Revision > p.Revision {
			s.Objects = append(s.Objects, o)
		}
	}
	switch {
	case s.Full:
	case p.WantNames:
		s.Names = names
	default:
		for _, d := range k.deletions {
			if d.Revision > p.Revision {
				s.Deletions = append(s.Deletions, d)
			}
		}
	}
	return s, true
}

// ApplyStates merges states of another entry. It returns the kinds whose states were newer and were
// taken, and what to ask for next where a state could not be completed.
func (f *Follower) ApplyStates(states []State) (newer []string, missing []Position) {
	for _, s := range states {
		s, err := s.decompress()
		if err != nil {
			f.o.Logger.Warn("compressed state of a peer not decoded", "kind", s.Kind, "error", err)
			continue
		}
		objects, request := f.merge(s)
		switch {
		case request != nil:
			missing = append(missing, *request)
		case objects != nil && f.replaceState(s.Kind, point{s.Era, s.Revision}, objects, false):
			newer = append(newer, s.Kind)
		}
	}
	return newer, missing
}

// merge completes a state with the local objects that have not changed since. It returns nil for a
// state that is not newer. If the checksum shows that something is missing, it
// returns what to ask for next: first the names of all objects, then the full state.
func (f *Follower) merge(s State) ([]fleet.Object, *Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[s.Kind]
	if k == nil || k.synced && !k.at.before(point{s.Era, s.Revision}) {
		return nil, nil
	}
	if !s.Full && s.Era != k.at.era {
		return nil, &Position{Kind: s.Kind, ReadsParts: true}
	}
	merged := k.objects
	if s.Full {
		merged = nil
	}
	merged = applyChanges(merged, s.changes())
	if len(s.Names) > 0 {
		maps.DeleteFunc(merged, func(name string, _ fleet.Object) bool {
			_, found := slices.BinarySearch(s.Names, name)
			return !found
		})
	}
	switch {
	case s.Full || checksumOf(s.Era, merged) == s.Checksum:
		return slices.AppendSeq([]fleet.Object{}, maps.Values(merged)), nil
	case len(s.Names) > 0:
		return nil, &Position{Kind: s.Kind, ReadsParts: true}
	}
	return nil, &Position{Kind: s.Kind, Era: k.at.era, Revision: k.at.revision, WantNames: true, ReadsParts: true}
}

// changes returns the deletions followed by the objects, because a name may have been used again
// after its deletion.
func (s State) changes() []fleet.Object {
	list := make([]fleet.Object, 0, len(s.Deletions)+len(s.Objects))
	for _, d := range s.Deletions {
		list = append(list, fleet.Object{Name: d.Name, Revision: d.Revision, Deleted: true})
	}
	return append(list, s.Objects...)
}

// checksumOf returns a hash of the era and of the objects' names and revisions. It does not depend
// on the order of the objects. The era is part of it because a restored store may issue the revision
// of an object again for another content of the same object.
func checksumOf(era int64, objects map[string]fleet.Object) uint64 {
	total := uint64(len(objects)) + 1 + uint64(era)*eraFactor
	for name, o := range objects {
		total += xxhash.Sum64String(name) * uint64(2*o.Revision+1)
	}
	return total
}

// eraFactor spreads the era over all bits of a checksum.
const eraFactor = 0x9e3779b97f4a7c15

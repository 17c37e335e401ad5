package follow

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/platform/fleet"
)

// maxGone bounds the deletions of a kind that are kept for other entries. One
// that lacks more is told all names.
const maxGone = 512

// State is what one entry tells another of a kind of objects: those that changed
// after the revision that the other one knows, or all.
type State struct {
	Kind     string `json:"kind"`
	Revision int64  `json:"revision"`
	// Checksum is that of all objects: a state that was pieced together is checked by it.
	Checksum  uint64         `json:"sum"`
	Full      bool           `json:"whole,omitempty"`
	Objects   []fleet.Object `json:"objects,omitempty"`
	Deletions []Deletion     `json:"gone,omitempty"`
	// Names are those of all objects, if they were asked for.
	Names []string `json:"names,omitempty"`
	// Compressed is a compressed list that stands for Objects where they are many.
	Compressed []byte `json:"packed,omitempty"`
}

// Deletion is an object that is there no more.
type Deletion struct {
	Name string `json:"name"`
	// Revision is one at which the object was gone.
	Revision int64 `json:"revision"`
}

// Position is how far a kind is known.
type Position struct {
	Kind string `json:"kind"`
	// Revision is 0 where nothing is known or all is asked for.
	Revision int64 `json:"revision"`
	// WantNames asks for all names: deletions were missed.
	WantNames bool `json:"names,omitempty"`
}

// Digest tells a state from another of its kind.
type Digest struct {
	Kind     string `json:"kind"`
	Revision int64  `json:"revision"`
	Checksum uint64 `json:"sum"`
}

// Digests describe the states for other entries.
func (f *Follower) Digests() []Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Digest
	for _, name := range f.o.Kinds {
		if k := f.kinds[name]; k.known {
			list = append(list, Digest{Kind: name, Revision: k.revision, Checksum: k.sum})
		}
	}
	return list
}

// Fingerprint sums digests up. Two states with the same mark have nothing to tell each
// other.
func Fingerprint(digests []Digest) string {
	h := xxhash.New()
	for _, d := range digests {
		// A hash takes all that is written. The revision grows without a change.
		_, _ = fmt.Fprintf(h, "%s %x\n", d.Kind, d.Checksum)
	}
	return strconv.FormatUint(h.Sum64(), 36)
}

// StaleKinds returns the kinds whose state another entry's digests say is newer,
// with how far they are known.
func (f *Follower) StaleKinds(digests []Digest) []Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Position
	for _, d := range digests {
		k := f.kinds[d.Kind]
		if k != nil && (!k.known || d.Revision > k.revision && d.Checksum != k.sum) {
			list = append(list, Position{Kind: d.Kind, Revision: k.revision})
		}
	}
	return list
}

// StatesSince returns what changed in some kinds since they were known.
func (f *Follower) StatesSince(since []Position) []State {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []State
	for _, p := range since {
		if k := f.kinds[p.Kind]; k != nil && k.known {
			s, err := k.since(p)
			if err != nil {
				f.o.Logger.Warn("state not compressed, sent as it is", "kind", p.Kind, "objects", len(s.Objects), "error", err)
			}
			list = append(list, s)
		}
	}
	return list
}

// since is the state for an entry that knows it up to a position.
func (k *kind) since(p Position) (State, error) {
	s := State{Kind: p.Kind, Revision: k.revision, Checksum: k.sum, Full: p.Revision == 0}
	names := slices.Sorted(maps.Keys(k.objects))
	for _, name := range names {
		if o := k.objects[name]; s.Full || o.Revision > p.Revision {
			s.Objects = append(s.Objects, o)
		}
	}
	switch {
	case s.Full:
		return k.packed(s)
	case p.WantNames:
		s.Names = names
	default:
		for _, d := range k.gone {
			if d.Revision > p.Revision {
				s.Deletions = append(s.Deletions, d)
			}
		}
	}
	return s, nil
}

// ApplyStates takes states from another entry. It returns the kinds that were newer,
// and what more has to be asked for where the pieces do not make up the whole.
func (f *Follower) ApplyStates(states []State) (newer []string, lacking []Position) {
	for _, s := range states {
		objects, lacks := f.merge(s)
		switch {
		case lacks != nil:
			lacking = append(lacking, *lacks)
		case objects != nil && f.replace(s.Kind, s.Revision, objects, false):
			newer = append(newer, s.Kind)
		}
	}
	return newer, lacking
}

// merge completes a state with the objects that are known and have not changed.
// It returns nil for a state that is not newer, and what more to ask for if the
// sum shows that something is missing.
func (f *Follower) merge(s State) ([]fleet.Object, *Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[s.Kind]
	if k == nil || k.known && k.revision >= s.Revision {
		return nil, nil
	}
	merged := k.objects
	if s.Full {
		merged = nil
	}
	s, err := s.unpacked()
	if err != nil {
		f.o.Logger.Warn("packed state not read", "kind", s.Kind, "error", err)
		return nil, nil
	}
	merged = applied(merged, s.changes())
	if len(s.Names) > 0 {
		maps.DeleteFunc(merged, func(name string, _ fleet.Object) bool {
			_, found := slices.BinarySearch(s.Names, name)
			return !found
		})
	}
	switch {
	case s.Full || sum(merged) == s.Checksum:
		return slices.AppendSeq([]fleet.Object{}, maps.Values(merged)), nil
	case len(s.Names) > 0:
		return nil, &Position{Kind: s.Kind}
	}
	return nil, &Position{Kind: s.Kind, Revision: k.revision, WantNames: true}
}

// changes are the deletions and then the objects, as a name may have been given
// anew after its deletion.
func (s State) changes() []fleet.Object {
	list := make([]fleet.Object, 0, len(s.Deletions)+len(s.Objects))
	for _, d := range s.Deletions {
		list = append(list, fleet.Object{Name: d.Name, Revision: d.Revision, Deleted: true})
	}
	return append(list, s.Objects...)
}

// sum is a hash of which objects there are, at which revisions.
func sum(objects map[string]fleet.Object) uint64 {
	total := uint64(len(objects)) + 1
	for name, o := range objects {
		total += xxhash.Sum64String(name) * uint64(2*o.Revision+1)
	}
	return total
}

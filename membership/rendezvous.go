package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// RendezvousTop returns the n names with the highest rendezvous weights for key, highest
// first, or all names if there are fewer. Every process that has the same names
// chooses the same ones, and adding or removing a name replaces at most one of them.
func RendezvousTop(key string, names []string, n int) []string {
	remaining := slices.Clone(names)
	var chosen []string
	for len(remaining) > 0 && len(chosen) < n {
		// The library's Remove indexes past its slice, so a new table is built each time.
		name := rendezvous.New(remaining, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, name)
		remaining = slices.DeleteFunc(remaining, func(other string) bool { return other == name })
	}
	return chosen
}

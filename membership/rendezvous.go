package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// RendezvousTop returns the n names of the highest rendezvous weights for key, the
// highest first, or all names if there are fewer. Every process that has the
// same names chooses the same ones, and one name that comes or goes changes at
// most one place.
func RendezvousTop(key string, names []string, n int) []string {
	left := slices.Clone(names)
	var chosen []string
	for len(left) > 0 && len(chosen) < n {
		// The library's Remove indexes past its slice, so the table is made anew.
		name := rendezvous.New(left, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, name)
		left = slices.DeleteFunc(left, func(other string) bool { return other == name })
	}
	return chosen
}

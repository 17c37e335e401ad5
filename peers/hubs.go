package peers

import (
	"context"
	"math"
	"slices"

	"github.com/azurelead/azurelead/membership"
)

const (
	// maxFullMesh is the number of entries up to which all are linked with all. Above
	// it, links and pings would grow with the square of the entries.
	maxFullMesh = 32
	// hubCount is how many entries the others link to then, shared out over the
	// data centres: one of them is asked every 50 ms at usual intervals, and a
	// tenth of them can be dead.
	hubCount = 24
	// minHubsPerDataCentre is the least number in a data centre: one that is cut off from the
	// others has hubs of its own.
	minHubsPerDataCentre = 2
)

// Member is an entry as the store lists it.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	// CPU is the share of a core that the entry has; 0 if it did not say.
	CPU float64
}

// Hubs picks the entries that all others link to, so that every entry that has
// the same list picks the same. It returns nil where all link to all.
//
// The load it answers is hundreds of entries on links of 10 Mbit/s and a
// seventh of a core: the strong ones of each data centre answer for all.
func Hubs(list []Member) []Member {
	if len(list) <= maxFullMesh {
		return nil
	}
	dataCentres := make(map[string][]Member)
	for _, m := range list {
		dataCentres[m.DataCentre] = append(dataCentres[m.DataCentre], m)
	}
	each := max(minHubsPerDataCentre, (hubCount+len(dataCentres)-1)/len(dataCentres))
	var hubs []Member
	for _, members := range dataCentres {
		hubs = append(hubs, pickMembers(strongestMembers(members), each)...)
	}
	return hubs
}

// strongestMembers are the members that come close to the best of them.
func strongestMembers(list []Member) []Member {
	best := 0.0
	for _, m := range list {
		best = max(best, m.CPU)
	}
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.CPU < best*minCPUFraction })
}

func pickMembers(list []Member, n int) []Member {
	byName := make(map[string]Member, len(list))
	names := make([]string, 0, len(list))
	for _, m := range list {
		byName[m.Name] = m
		names = append(names, m.Name)
	}
	var chosen []Member
	for _, name := range membership.RendezvousTop("hubs", names, n) {
		chosen = append(chosen, byName[name])
	}
	return chosen
}

// SetMembers takes the list of all entries, and links to those that are to be
// linked to.
func (m *Mesh) SetMembers(ctx context.Context, list []Member) {
	hubs := Hubs(list)
	linked := hubs
	if hubs == nil {
		linked = list
	}
	addresses := make([]string, 0, len(linked))
	for _, h := range linked {
		addresses = append(addresses, h.Address)
	}
	m.setHubs(hubs)
	m.add(ctx, addresses, math.MaxInt)
}

// setHubs drops links to entries that are no hubs, but for the one that has jobs.
func (m *Mesh) setHubs(hubs []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hubs = nil
	if hubs == nil {
		return
	}
	m.hubs = make(map[string]bool, len(hubs))
	for _, h := range hubs {
		m.hubs[h.Address] = true
	}
	for a, l := range m.links {
		if !m.hubs[a] && !l.isDispatcher {
			delete(m.links, a)
			l.cancel()
		}
	}
}

// isHub reports whether others link to an address. The caller holds mu.
func (m *Mesh) isHub(address string) bool { return m.hubs == nil || m.hubs[address] }

// UsesHubs reports whether this entry links to the hubs alone.
func (m *Mesh) UsesHubs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hubs != nil
}

// IsSpoke reports whether this entry is one that hubs tell what they know.
func (m *Mesh) IsSpoke() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.isHub(m.o.Self.Address)
}

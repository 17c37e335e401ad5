package peers

import (
	"context"
	"math"
	"slices"

	"github.com/azurelead/azurelead/membership"
)

const (
	// maxFullMesh is the number of entries up to which every entry links to every other.
	// Above it, links and pings would grow with the square of the number of entries.
	maxFullMesh = 32
	// hubCount is the number of entries that the others link to in a larger deployment,
	// spread over the data centres. At the usual intervals an entry pings one of the
	// hubs every 50 ms, and a tenth of the hubs can be down.
	hubCount = 24
	// minHubsPerDataCentre leaves a data centre that is cut off from the others with hubs
	// of its own.
	minHubsPerDataCentre = 2
)

// Member is an entry as the store lists it.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	// CPU is the share of a core that the entry has; 0 if the entry did not announce it.
	CPU float64
}

// Hubs returns the entries that all others link to. Every entry that has the same list
// computes the same hubs. It returns nil if all entries link to each other.
//
// The design case is hundreds of entries with links of 10 Mbit/s and a seventh of a
// core each: the entries with strong processors in each data centre serve as hubs.
func Hubs(list []Member) []Member {
	if len(list) <= maxFullMesh {
		return nil
	}
	dataCentres := make(map[string][]Member)
	for _, m := range list {
		dataCentres[m.DataCentre] = append(dataCentres[m.DataCentre], m)
	}
	perDataCentre := max(minHubsPerDataCentre, (hubCount+len(dataCentres)-1)/len(dataCentres))
	var hubs []Member
	for _, members := range dataCentres {
		hubs = append(hubs, pickMembers(strongest(members, func(m Member) float64 { return m.CPU }), perDataCentre)...)
	}
	return hubs
}

// strongest returns the entries of a list whose CPU share is at least minCPUFraction of the
// highest.
func strongest[T any](list []T, cpu func(T) float64) []T {
	best := 0.0
	for _, e := range list {
		best = max(best, cpu(e))
	}
	return slices.DeleteFunc(slices.Clone(list), func(e T) bool { return cpu(e) < best*minCPUFraction })
}

// pickMembers picks n members by rendezvous hashing of their names.
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

// SetMembers sets the list of all entries and links to the hubs among them, or to all of
// them in a full mesh.
func (m *Mesh) SetMembers(ctx context.Context, list []Member) {
	hubs := Hubs(list)
	targets := hubs
	if hubs == nil {
		targets = list
	}
	addresses := make([]string, 0, len(targets))
	for _, target := range targets {
		addresses = append(addresses, target.Address)
	}
	m.setHubs(hubs)
	m.add(ctx, addresses, math.MaxInt)
}

// setHubs sets the hubs and drops the links to other entries, except to the dispatcher.
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

// isHub reports whether entries link to the one at an address. The caller holds mu.
func (m *Mesh) isHub(address string) bool { return m.hubs == nil || m.hubs[address] }

// UsesHubs reports whether entries link only to the hubs, rather than in a full mesh.
func (m *Mesh) UsesHubs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hubs != nil
}

// IsSpoke reports whether this entry is not a hub itself and learns from the hubs.
func (m *Mesh) IsSpoke() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.isHub(m.o.Self.Address)
}

package peers

import (
	"context"
	"slices"
	"time"

	"github.com/azurelead/azurelead/membership"
)

// Dispatcher returns a link to the entry that dispatches stages; it is nil when
// that is this entry. While the link is dialled anew it waits.
func (m *Mesh) Dispatcher(ctx context.Context, excluded map[string]bool) *Link {
	for {
		link, relinking := m.electDispatcher(excluded)
		if !relinking || ctx.Err() != nil {
			return link
		}
		t := time.NewTimer(reconnectPollInterval)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// reconnectPollInterval is a fraction of the time in which a link is dialled.
const reconnectPollInterval = 3 * time.Millisecond

func (m *Mesh) electDispatcher(excluded map[string]bool) (link *Link, relinking bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []Candidate
	if m.isHub(m.o.Self.Address) {
		candidates = append(candidates, Candidate{Identity: m.o.Self, Uptime: time.Since(m.o.Started), Leaving: m.leaving})
	}
	byName := map[string]*peerLink{}
	var before *peerLink
	for _, l := range m.links {
		if l.isDispatcher {
			before, l.isDispatcher = l, false
		}
		if l.conn == nil && !l.reconnecting || excluded[l.identity.Name] || l.identity.Name == m.o.Self.Name || !m.isHub(l.address) {
			continue
		}
		candidates = append(candidates, Candidate{
			Identity: l.identity, Uptime: time.Since(l.started), Leaving: l.leaving,
		})
		byName[l.identity.Name] = l
	}
	l := byName[Elect(candidates)]
	if l == nil {
		return nil, false
	}
	l.isDispatcher = true
	if l != before {
		// It may be dead without anybody having noticed.
		l.requestPing()
	}
	if l.conn == nil {
		return nil, true
	}
	return &Link{Peer: l.identity, conn: l.conn, mesh: m, peer: l}, false
}

// recordJobAnswer notes that a peer recordJobAnswer a job.
func (m *Mesh) recordJobAnswer(l *peerLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.lastJobAnswer = time.Now()
}

// Candidate is an entry that may dispatch.
type Candidate struct {
	Identity Identity
	Uptime   time.Duration
	Leaving  bool
}

// Elect returns the name of the entry that dispatches: among the strong ones
// that have run for a while the one that rendezvous hashing names. One that
// started anew does not take the work back from one that has run on, as each
// change of hands costs the results in place.
func Elect(list []Candidate) string {
	for _, suits := range []func(Candidate, float64) bool{
		func(c Candidate, best float64) bool {
			return !c.Leaving && c.Uptime >= minDispatchUptime && c.Identity.CPU >= best*minCPUFraction
		},
		func(c Candidate, _ float64) bool { return !c.Leaving && c.Uptime >= minDispatchUptime },
		func(c Candidate, best float64) bool { return !c.Leaving && c.Identity.CPU >= best*minCPUFraction },
		func(Candidate, float64) bool { return true },
	} {
		if names := longestRunning(eligible(list, suits)); len(names) > 0 {
			return membership.RendezvousTop("stages", names, 1)[0]
		}
	}
	return ""
}

// eligible are the contenders that suit, given the strongest of those that stay.
func eligible(list []Candidate, suits func(Candidate, float64) bool) []Candidate {
	best := 0.0
	for _, c := range list {
		if !c.Leaving {
			best = max(best, c.Identity.CPU)
		}
	}
	var kept []Candidate
	for _, c := range list {
		if suits(c, best) {
			kept = append(kept, c)
		}
	}
	return kept
}

// longestRunning are the names of the contenders that started with the first of them.
func longestRunning(list []Candidate) []string {
	var longest time.Duration
	for _, c := range list {
		longest = max(longest, c.Uptime)
	}
	var names []string
	for _, c := range list {
		if c.Uptime >= longest-uptimeTolerance {
			names = append(names, c.Identity.Name)
		}
	}
	return names
}

// uptimeTolerance is the difference of uptimes up to which entries count as started
// together.
const uptimeTolerance = 5 * time.Second

// minCPUFraction of the strongest entry's processor makes an entry fit to dispatch.
const minCPUFraction = 0.8

// ReadsStore reports whether this entry has to ask the store: it is one of the few
// that do so for all, or none of them hears the store.
func (m *Mesh) ReadsStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	dataCentres := make(map[string][]string)
	if m.isHub(m.o.Self.Address) {
		dataCentres[m.o.Self.DataCentre] = []string{m.o.Self.Name}
	}
	fresh := false
	for _, l := range m.links {
		if l.conn == nil || l.identity.Name == m.o.Self.Name || !m.isHub(l.address) {
			continue
		}
		dataCentres[l.identity.DataCentre] = append(dataCentres[l.identity.DataCentre], l.identity.Name)
		fresh = fresh || l.storeReachable()
	}
	return !fresh || slices.Contains(StoreReaders(dataCentres), m.o.Self.Name)
}

// StoreReaders picks the entries that ask the store, in different data centres as far
// as there are some.
func StoreReaders(dataCentres map[string][]string) []string {
	names := make([]string, 0, len(dataCentres))
	for dc := range dataCentres {
		names = append(names, dc)
	}
	slices.Sort(names)
	var chosen []string
	for round := 0; len(chosen) < storeReaderCount; round++ {
		before := len(chosen)
		for _, dc := range membership.RendezvousTop("store", names, len(names)) {
			entries := dataCentres[dc]
			if round < len(entries) && len(chosen) < storeReaderCount {
				slices.Sort(entries)
				chosen = append(chosen, membership.RendezvousTop("store", entries, round+1)[round])
			}
		}
		if len(chosen) == before {
			break
		}
	}
	return chosen
}

package peers

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/azurelead/azurelead/membership"
)

// Dispatcher returns a link to the entry that dispatches stages. It returns nil if that is
// this entry or if there is no candidate. It waits while that link is redialled, and
// returns nil if ctx ends meanwhile. Entries whose name is in excluded are not considered.
func (m *Mesh) Dispatcher(ctx context.Context, excluded map[string]bool) *Link {
	for {
		link, reconnecting := m.electDispatcher(excluded)
		if !reconnecting || ctx.Err() != nil {
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

// reconnectPollInterval is a fraction of the time that it takes to dial a link.
const reconnectPollInterval = 3 * time.Millisecond

// electDispatcher elects the dispatcher. It returns a nil link if that is this entry or
// there is no candidate, or with reconnecting set if the link to the dispatcher is being
// redialled.
func (m *Mesh) electDispatcher(excluded map[string]bool) (link *Link, reconnecting bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []Candidate
	if m.isHub(m.o.Self.Address) {
		candidates = append(candidates, Candidate{Identity: m.o.Self, Uptime: m.uptime(), Leaving: m.leaving})
	}
	byName := map[string]*peerLink{}
	var previous *peerLink
	for _, l := range m.links {
		if l.isDispatcher {
			previous, l.isDispatcher = l, false
		}
		if l.conn == nil && !l.reconnecting || excluded[l.identity.Name] || l.identity.Name == m.o.Self.Name || !m.isHub(l.address) {
			continue
		}
		candidates = append(candidates, Candidate{
			Identity: l.identity, Uptime: time.Since(l.started.latest), UptimeError: l.started.uncertainty(), Leaving: l.leaving,
		})
		byName[l.identity.Name] = l
	}
	l := byName[Elect(candidates)]
	if l == nil {
		return nil, false
	}
	l.isDispatcher = true
	if l != previous {
		// The new dispatcher may be down without anyone having noticed yet.
		l.requestPing()
	}
	if l.conn == nil {
		return nil, true
	}
	return &Link{Peer: l.identity, conn: l.conn, mesh: m, peer: l}, false
}

// Dispatches reports whether this entry is the elected dispatcher.
func (m *Mesh) Dispatches() bool {
	link, reconnecting := m.electDispatcher(nil)
	return link == nil && !reconnecting
}

// recordJobAnswer records that a peer has just answered a job, and whether it is leaving.
func (m *Mesh) recordJobAnswer(l *peerLink, o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.lastJobAnswer = time.Now()
	l.leaving = l.leaving || o.Leaving
}

// Candidate is an entry that may be elected as dispatcher.
type Candidate struct {
	Identity Identity
	// Uptime is how long the entry has run at least, and UptimeError by how much that may be too little.
	Uptime, UptimeError time.Duration
	Leaving             bool
}

// maxUptime returns how long the entry has run at most.
func (c Candidate) maxUptime() time.Duration { return c.Uptime + c.UptimeError }

// Elect returns the name of the entry that dispatches. Of the entries that are not leaving,
// have run for minDispatchUptime and have a strong processor, it picks one of the
// longest-running by rendezvous hashing; if there is none, it relaxes these conditions step
// by step. A restarted entry does not take the role back from an entry that kept running,
// as each change of dispatcher costs the results that endpoints hold. The choice between
// entries that keep running does not change with time.
func Elect(candidates []Candidate) string {
	uptime := requiredUptime(candidates)
	for _, accepts := range []func(Candidate, float64) bool{
		func(c Candidate, best float64) bool {
			return !c.Leaving && c.maxUptime() >= uptime && c.Identity.CPU >= best*minCPUFraction
		},
		func(c Candidate, _ float64) bool { return !c.Leaving && c.maxUptime() >= uptime },
		func(c Candidate, best float64) bool { return !c.Leaving && c.Identity.CPU >= best*minCPUFraction },
		func(Candidate, float64) bool { return true },
	} {
		if names := longestRunning(eligible(candidates, accepts)); len(names) > 0 {
			return membership.RendezvousTop("stages", names, 1)[0]
		}
	}
	return ""
}

// requiredUptime returns how long an entry must have run to be preferred as dispatcher:
// minDispatchUptime, or less if all entries have started recently, so that those that
// started together reach it together.
func requiredUptime(candidates []Candidate) time.Duration {
	var longest time.Duration
	for _, c := range candidates {
		if !c.Leaving {
			longest = max(longest, c.Uptime)
		}
	}
	return min(minDispatchUptime, max(longest-uptimeTolerance, 0))
}

// eligible returns the candidates for which accepts returns true. The second argument of
// accepts is the highest CPU share among the candidates that are not leaving.
func eligible(candidates []Candidate, accepts func(Candidate, float64) bool) []Candidate {
	best := 0.0
	for _, c := range candidates {
		if !c.Leaving {
			best = max(best, c.Identity.CPU)
		}
	}
	var kept []Candidate
	for _, c := range candidates {
		if accepts(c, best) {
			kept = append(kept, c)
		}
	}
	return kept
}

// longestRunning returns the names of the candidates that have run for longest, to
// within uptimeTolerance. Candidates that may have run as long are among them, so that entries that
// know the uptimes by replies of different age choose from the same candidates.
func longestRunning(candidates []Candidate) []string {
	var longest time.Duration
	for _, c := range candidates {
		longest = max(longest, c.Uptime)
	}
	var names []string
	for _, c := range candidates {
		if c.maxUptime() >= longest-uptimeTolerance {
			names = append(names, c.Identity.Name)
		}
	}
	return names
}

// uptimeTolerance is the difference in uptime up to which entries count as started at
// the same time. Machines that start together do so within a fraction of it.
const uptimeTolerance = time.Second

// minCPUFraction is the fraction of the strongest entry's CPU share that an entry must have
// to dispatch or to be a hub.
const minCPUFraction = 0.8

// ReadsStore reports whether this entry has to read the store itself: it is one of the
// few entries that do so on behalf of all, or the store has not answered any of its
// peers lately.
func (m *Mesh) ReadsStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []Identity
	if m.isHub(m.o.Self.Address) {
		entries = append(entries, m.o.Self)
	}
	peerReachesStore := false
	for _, l := range m.links {
		if l.conn == nil || l.identity.Name == m.o.Self.Name || !m.isHub(l.address) {
			continue
		}
		entries = append(entries, l.identity)
		peerReachesStore = peerReachesStore || l.storeReachable()
	}
	return !peerReachesStore || slices.Contains(StoreReaders(entries), m.o.Self.Name)
}

// StoreReaders returns the names of the entries that read the store on behalf of all. It
// picks them from the entries with strong processors, which also have the faster links,
// if there are enough of these, and spreads them over the data centres.
func StoreReaders(entries []Identity) []string {
	if strong := strongest(entries, func(e Identity) float64 { return e.CPU }); len(strong) >= storeReaderCount {
		entries = strong
	}
	dataCentres := make(map[string][]string)
	for _, e := range entries {
		dataCentres[e.DataCentre] = append(dataCentres[e.DataCentre], e.Name)
	}
	names := slices.Sorted(maps.Keys(dataCentres))
	var chosen []string
	for round := 0; len(chosen) < storeReaderCount; round++ {
		countBefore := len(chosen)
		for _, dc := range membership.RendezvousTop("store", names, len(names)) {
			entries := dataCentres[dc]
			if round < len(entries) && len(chosen) < storeReaderCount {
				slices.Sort(entries)
				chosen = append(chosen, membership.RendezvousTop("store", entries, round+1)[round])
			}
		}
		if len(chosen) == countBefore {
			break
		}
	}
	return chosen
}

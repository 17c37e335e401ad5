package peers

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/follow"
)

// fetchFromSender fetches the states of a peer whose ping announced newer ones.
func (m *Mesh) fetchFromSender(ctx context.Context, p Ping) {
	if len(m.o.Follower.StaleKinds(p.Digests)) == 0 {
		return
	}
	m.mu.Lock()
	var sender *peerLink
	for _, l := range m.links {
		if l.conn != nil && l.identity.Name == p.Name {
			sender = l
			l.digests = p.Digests
		}
	}
	m.mu.Unlock()
	if sender != nil {
		go m.fetch(ctx, sender, p.Digests)
	}
}

// startFetch returns the connection for fetching a peer's states and counts the fetch.
// It returns nil if there is no connection or maxConcurrentFetches are in progress.
func (m *Mesh) startFetch(l *peerLink) *jsonrpc2.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.conn == nil || m.activeFetches >= maxConcurrentFetches {
		return nil
	}
	m.activeFetches++
	return l.conn
}

// endFetch ends a fetch that startFetch has counted.
func (m *Mesh) endFetch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activeFetches--
}

// fetch fetches newer states from a peer, unless this entry's own watch of the store
// delivers them first.
func (m *Mesh) fetch(ctx context.Context, l *peerLink, digests []follow.Digest) {
	conn := m.startFetch(l)
	if conn == nil {
		return
	}
	defer m.endFetch()
	if m.o.Follower.HasSynced() && m.ReadsStore() {
		time.Sleep(fetchDelay)
	}
	m.fetchRounds(ctx, l, conn, m.withoutTransfers(m.o.Follower.StaleKinds(digests)))
}

// fetchRounds fetches the states since the positions from a peer, and what is missing then. Large
// states are read in the background, so that they do not delay small ones.
func (m *Mesh) fetchRounds(ctx context.Context, l *peerLink, conn *jsonrpc2.Conn, positions []follow.Position) {
	for round := 0; len(positions) > 0 && round < maxFetchRounds; round++ {
		timeout := pingTimeout
		if !m.o.Follower.HasSynced() {
			timeout = initialFetchTimeout
		}
		var states []follow.State
		start := time.Now()
		if err := call(ctx, conn, timeout, methodStates, StatesParams{Since: positions}, &states); err != nil {
			m.o.Logger.Warn("fetching states from a peer failed", "peer", l.address, "kinds", kindsOf(positions),
				"took_ms", time.Since(start).Milliseconds(), "error", err)
			return
		}
		var small []follow.State
		for _, s := range states {
			if s.Content != nil {
				go m.fetchContent(ctx, l, conn, s)
			} else {
				small = append(small, s)
			}
		}
		var newer []string
		newer, positions = m.o.Follower.ApplyStates(small)
		if len(newer) > 0 {
			m.o.Logger.Info("states learnt from a peer", "peer", l.address, "kinds", newer, "took_ms", time.Since(start).Milliseconds())
		}
	}
}

// kindsOf returns the kinds of positions, for the log.
func kindsOf(positions []follow.Position) []string {
	kinds := make([]string, 0, len(positions))
	for _, p := range positions {
		kinds = append(kinds, p.Kind)
	}
	return kinds
}

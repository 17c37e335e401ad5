package peers

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/follow"
)

// fetchFromSender takes the states of a peer that pings because it has newer ones.
func (m *Mesh) fetchFromSender(ctx context.Context, p Ping) {
	if len(m.o.Follower.StaleKinds(p.Digests)) == 0 {
		return
	}
	m.mu.Lock()
	var from *peerLink
	for _, l := range m.links {
		if l.conn != nil && l.identity.Name == p.Name {
			from = l
		}
	}
	m.mu.Unlock()
	if from != nil {
		go m.fetch(ctx, from, p.Digests)
	}
}

// startFetch returns the connection over which a peer may be asked for its
// states; nil when there is none, or when others are being asked already.
func (m *Mesh) startFetch(l *peerLink) *jsonrpc2.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.conn == nil || m.activeFetches >= maxConcurrentFetches {
		return nil
	}
	m.activeFetches++
	return l.conn
}

func (m *Mesh) endFetch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activeFetches--
}

// fetch takes newer states from a peer, unless the own watch brings them first.
func (m *Mesh) fetch(ctx context.Context, l *peerLink, digests []follow.Digest) {
	conn := m.startFetch(l)
	if conn == nil {
		return
	}
	defer m.endFetch()
	if m.o.Follower.HasSynced() && m.ReadsStore() {
		time.Sleep(fetchDelay)
	}
	timeout := pingTimeout
	if !m.o.Follower.HasSynced() {
		timeout = initialFetchTimeout
	}
	behind := m.o.Follower.StaleKinds(digests)
	for round := 0; len(behind) > 0 && round < maxFetchRounds; round++ {
		var states []follow.State
		if err := call(ctx, conn, timeout, methodStates, StatesParams{Since: behind}, &states); err != nil {
			m.o.Logger.Warn("states of a peer not read", "peer", l.address, "error", err)
			return
		}
		var newer []string
		newer, behind = m.o.Follower.ApplyStates(states)
		if len(newer) > 0 {
			m.o.Logger.Info("states learnt from a peer", "peer", l.address, "kinds", newer)
		}
	}
}

package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/follow"
)

const (
	// maxServedTransfers bounds the peers that this entry serves large states at a time. The others turn
	// to the entries that have received them: with few at a time, the number of those doubles in the
	// time of one transfer, instead of all waiting for the same link.
	maxServedTransfers = 2
	// maxServeWait is how long a peer waits for its turn before it turns to another entry. It is less
	// than the pingTimeout that bounds the reading of a part.
	maxServeWait = 300 * time.Millisecond
	// transferRetryDelay is the pause before a state that a peer did not serve is asked for again.
	transferRetryDelay = 50 * time.Millisecond
	// serveExpiryInterval is the interval at which a waiting peer checks whether a served one has stopped reading.
	serveExpiryInterval = 50 * time.Millisecond
)

// transfer is the reading of one kind's large state. It goes on with another peer if one fails.
type transfer struct {
	download follow.Download
	active   bool
}

// transferQueue limits the peers that read large states from this entry.
type transferQueue struct {
	// lastRead is when each peer that is served read its last part.
	lastRead map[*jsonrpc2.Conn]time.Time
	// ended is closed when a transfer ends.
	ended chan struct{}
}

func newTransferQueue() transferQueue {
	return transferQueue{lastRead: make(map[*jsonrpc2.Conn]time.Time), ended: make(chan struct{})}
}

// admit reports whether a peer may read a part at the time now. A peer that has not read for
// pingTimeout loses its turn.
func (q *transferQueue) admit(conn *jsonrpc2.Conn, now time.Time) bool {
	for c, at := range q.lastRead {
		if now.Sub(at) > pingTimeout {
			delete(q.lastRead, c)
		}
	}
	if _, served := q.lastRead[conn]; !served && len(q.lastRead) >= maxServedTransfers {
		return false
	}
	q.lastRead[conn] = now
	return true
}

// end ends the transfer to a peer, if there is one.
func (q *transferQueue) end(conn *jsonrpc2.Conn) {
	if _, served := q.lastRead[conn]; !served {
		return
	}
	delete(q.lastRead, conn)
	close(q.ended)
	q.ended = make(chan struct{})
}

// servePart returns a part of a large state to the peer at the other end of conn. While others are
// served it waits for up to maxServeWait.
func (m *Mesh) servePart(ctx context.Context, conn *jsonrpc2.Conn, r follow.PartRequest) follow.Part {
	if !m.awaitTurn(ctx, conn) {
		return follow.Part{}
	}
	p := m.o.Follower.ReadPart(r)
	if p.Last || len(p.Data) == 0 {
		m.endServing(conn)
	}
	return p
}

// endServing lets another peer read instead of the one at the other end of conn.
func (m *Mesh) endServing(conn *jsonrpc2.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.served.end(conn)
}

// awaitTurn waits until a peer may read a part, and reports false if it has to wait for too long.
func (m *Mesh) awaitTurn(ctx context.Context, conn *jsonrpc2.Conn) bool {
	timeout := time.NewTimer(maxServeWait)
	defer timeout.Stop()
	expiry := time.NewTicker(serveExpiryInterval)
	defer expiry.Stop()
	for {
		m.mu.Lock()
		admitted, ended := m.served.admit(conn, time.Now()), m.served.ended
		m.mu.Unlock()
		if admitted {
			return true
		}
		select {
		case <-ended:
		case <-expiry.C:
		case <-timeout.C:
			return false
		case <-conn.DisconnectNotify():
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// startTransfer returns the transfer for a large state of a peer, or nil if the kind's state is being
// read already.
func (m *Mesh) startTransfer(s follow.State) (*transfer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.transfers[s.Kind]
	if t == nil {
		t = &transfer{}
		m.transfers[s.Kind] = t
	}
	if t.active {
		return nil, nil
	}
	if err := t.download.Resume(s); err != nil {
		return nil, err
	}
	t.active = true
	return t, nil
}

// endTransfer lets another peer go on with a transfer, or drops it if it is not needed any longer.
func (m *Mesh) endTransfer(kind string, t *transfer, done bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.active = false
	if done {
		delete(m.transfers, kind)
	}
}

// withoutTransfers returns the positions of the kinds whose state is not being read in parts.
func (m *Mesh) withoutTransfers(positions []follow.Position) []follow.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []follow.Position
	for _, p := range positions {
		if t := m.transfers[p.Kind]; t == nil || !t.active {
			others = append(others, p)
		}
	}
	return others
}

// fetchContent reads the large state that a peer has referred to. If the peer fails or is busy, any peer
// that has announced the state is asked for what is missing.
func (m *Mesh) fetchContent(ctx context.Context, l *peerLink, conn *jsonrpc2.Conn, s follow.State) {
	t, err := m.startTransfer(s)
	if err != nil {
		m.o.Logger.Warn("unusable state of a peer", "peer", l.address, "kind", s.Kind, "error", err)
	}
	if t == nil {
		return
	}
	start := time.Now()
	complete, err := m.readParts(ctx, conn, s, &t.download)
	if err != nil {
		m.o.Logger.Warn("reading a large state from a peer failed", "peer", l.address, "kind", s.Kind,
			"bytes", s.Content.Size, "took_ms", time.Since(start).Milliseconds(), "error", err)
	}
	if !complete {
		m.endTransfer(s.Kind, t, m.o.Follower.Knows(s))
		time.AfterFunc(transferRetryDelay, func() { m.fetchFromAny(ctx) })
		return
	}
	state, err := t.download.State()
	m.endTransfer(s.Kind, t, err == nil)
	if err != nil {
		m.o.Logger.Warn("large state of a peer not decoded", "peer", l.address, "kind", s.Kind, "error", err)
		return
	}
	newer, missing := m.o.Follower.ApplyStates([]follow.State{state})
	if len(newer) > 0 {
		m.o.Logger.Info("states learnt from a peer", "peer", l.address, "kinds", newer, "bytes", s.Content.Size,
			"took_ms", time.Since(start).Milliseconds())
		m.PingAll()
	}
	m.fetchRounds(ctx, l, conn, missing)
}

// fetchFromAny fetches newer states from a random one of the peers that have announced some.
func (m *Mesh) fetchFromAny(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var announcers []*peerLink
	for _, l := range m.links {
		if l.conn != nil && len(m.o.Follower.StaleKinds(l.digests)) > 0 {
			announcers = append(announcers, l)
		}
	}
	if len(announcers) > 0 {
		l := announcers[rand.IntN(len(announcers))]
		go m.fetch(ctx, l, l.digests)
	}
}

// readParts reads the missing parts of a state and reports whether all have arrived. Each part is
// bounded by pingTimeout, so a transfer may take long but not stand still. It ends early if the state
// becomes known otherwise.
func (m *Mesh) readParts(ctx context.Context, conn *jsonrpc2.Conn, s follow.State, d *follow.Download) (complete bool, err error) {
	for !m.o.Follower.Knows(s) {
		request, more := d.Next()
		if !more {
			return true, nil
		}
		var p follow.Part
		if err := call(ctx, conn, pingTimeout, methodPart, request, &p); err != nil {
			return false, err
		}
		if len(p.Data) == 0 {
			return false, nil // the peer is busy, or has newer objects
		}
		if err := d.Add(p); err != nil {
			return false, err
		}
	}
	// Without this the peer would keep the turn for this entry.
	if err := conn.Notify(ctx, methodEndParts, nil); err != nil {
		return false, err
	}
	return false, nil
}

package peers

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/suspect"
	"github.com/azurelead/azurelead/telemetry"
	"github.com/azurelead/azurelead/upstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("peers")

const (
	// pingTimeout is how long a peer may take to answer a ping.
	pingTimeout = 900 * time.Millisecond
	// dialTimeout and redialMin to redialMax pace the attempts to link.
	dialTimeout    = 400 * time.Millisecond
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// peerRemovalTimeout is how long an unreachable peer is dialled.
	peerRemovalTimeout = 60 * time.Second
	// minDispatchUptime is how long an entry has run before it dispatches, if others have
	// run longer: one that restarts knows nothing of the results in place.
	minDispatchUptime = 3 * time.Second
	// fetchDelay lets the own watch bring a change before a peer is asked for it.
	fetchDelay = 150 * time.Millisecond
	// initialFetchTimeout bounds reading states while nothing is known: thousands of
	// objects over a slow link take longer than a ping. Changes are read within a
	// ping's time, so that a peer that hangs is noticed as soon.
	initialFetchTimeout = 3 * time.Second
	// maxConcurrentFetches bounds the states that are read at a time: all peers tell of a
	// change at once, and one may hang.
	maxConcurrentFetches = 2
	// maxLearnedLinks bounds the links to entries that only other entries tell of: in a
	// large deployment the store's list says which are the hubs.
	maxLearnedLinks = 2 * maxFullMesh
	// maxFetchRounds: the changes, with all names, everything.
	maxFetchRounds = 3
	// storeReaderCount is how many entries ask the store for all.
	storeReaderCount = 3
	// maxStoreAge is how old the store's latest answer to any peer may be for this
	// entry to leave the asking to them.
	maxStoreAge = 3200 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 1200 * time.Millisecond
)

// errConnectionClosed is for links whose connection ended, other than by silence.
var errConnectionClosed = errs.Class("peers: link")

// JobHandler does the work of jobs at the dispatching entry.
type JobHandler interface {
	// Submit answers when the job ended. Until then it tells of results that were
	// made, one call of told at a time.
	Submit(ctx context.Context, j Job, told func([]dispatch.StageResults)) Outcome
	Cancel(id string)
	// Release gives up a job's results, and tells whether its engine failed.
	Release(id string, engineFailed bool)
}

// Options configures a Mesh.
type Options struct {
	Self     Identity
	Started  time.Time
	Follower *follow.Follower
	Jobs     JobHandler
	Suspects *suspect.Table
	// OnPeersChanged is called when the set of living peers changed.
	OnPeersChanged func()
	// OnPeerRemoved is called when an entry at an address was not reached for so long
	// that it is dialled no more; nil if nobody wants to know.
	OnPeerRemoved func(address string)
	Logger        *slog.Logger
}

// Mesh holds this entry's links to the others: to all, or in a large deployment
// to the hubs. It is safe for concurrent use.
type Mesh struct {
	o Options

	mu      sync.Mutex
	leaving bool
	// hubs are the addresses that entries link to; nil where all link to all.
	hubs map[string]bool
	// activeFetches counts the states that are being read.
	activeFetches int
	// links are by address.
	links map[string]*peerLink
	// resultHandlers are who to tell of results, by job.
	resultHandlers map[string]func([]dispatch.StageResults)
}

// peerLink is the dialling side of one link.
type peerLink struct {
	address string
	cancel  context.CancelFunc

	// guarded by the mesh's mu
	conn     *jsonrpc2.Conn
	identity Identity
	// started is when the peer's process did, by its word at the greeting.
	started time.Time
	leaving bool
	// lastStoreResponse is when the store last answered the peer.
	lastStoreResponse time.Time
	// pingRequests asks for a ping at once.
	pingRequests chan struct{}
	// reconnecting is set while a link whose connection was closed is dialled anew:
	// a reset is no sign that the peer is gone.
	reconnecting bool
	// isDispatcher is set while the peer is the one that isDispatcher.
	isDispatcher bool
	// lastJobAnswer is when the peer last answered a job; answered is set once it has
	// answered a ping.
	lastJobAnswer time.Time
	pingAnswered  bool
}

// New returns a mesh without links.
func New(o Options) *Mesh {
	return &Mesh{o: o, links: make(map[string]*peerLink), resultHandlers: make(map[string]func([]dispatch.StageResults))}
}

// SetLeaving tells peers that this entry stops.
func (m *Mesh) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Add links to the entries at the addresses, if there is no link yet and they
// are to be linked to.
func (m *Mesh) Add(ctx context.Context, addresses []string) { m.add(ctx, addresses, maxLearnedLinks) }

// add links to entries while there are fewer links than limit.
func (m *Mesh) add(ctx context.Context, addresses []string, limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a == m.o.Self.Address || m.links[a] != nil || a == "" || !m.isHub(a) || len(m.links) >= limit {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &peerLink{address: a, cancel: cancel, pingRequests: make(chan struct{}, 1)}
		m.links[a] = l
		go m.maintain(linkCtx, l, func(addresses []string) {
			// These outlive the link over which they were heard of.
			m.Add(ctx, addresses)
		})
	}
}

// Serve answers the links that others dial until the listener is closed.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				m.o.Logger.Error("peers' listener failed", "error", err)
			}
			return
		}
		stream := jsonrpc2.NewPlainObjectStream(c)
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(func(_ context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
			return m.handle(ctx, conn, r)
		})), jsonrpc2.SetLogger(telemetry.RPCLogger{Logger: m.o.Logger}))
	}
}

func (m *Mesh) handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}
	switch r.Method {
	case methodHello:
		var h Hello
		if err := json.Unmarshal(params, &h); err != nil {
			return nil, Error.Wrap(err)
		}
		m.Add(ctx, append(h.Peers, h.Identity.Address))
		return m.hello(), nil
	case methodPing:
		var p Ping
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, Error.Wrap(err)
		}
		m.o.Suspects.Merge(p.Suspects)
		m.fetchFromSender(ctx, p)
		return m.ping(p.DigestHash), nil
	case methodStates:
		var p StatesParams
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, Error.Wrap(err)
		}
		return m.o.Follower.StatesSince(p.Since), nil
	case methodSubmit:
		var j Job
		if err := json.Unmarshal(params, &j); err != nil {
			return nil, Error.Wrap(err)
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-conn.DisconnectNotify():
				cancel()
			case <-ctx.Done():
			}
		}()
		return m.o.Jobs.Submit(ctx, j, func(made []dispatch.StageResults) {
			if err := conn.Notify(ctx, methodResults, JobResults{ID: j.ID, Results: made}); err != nil {
				m.o.Logger.Warn("submitter not told of results", "request", j.ID, "error", err)
			}
		}), nil
	case methodCancel, methodRelease:
		var id JobParams
		if err := json.Unmarshal(params, &id); err != nil {
			return nil, Error.Wrap(err)
		}
		if r.Method == methodCancel {
			m.o.Jobs.Cancel(id.ID)
		} else {
			m.o.Jobs.Release(id.ID, id.EngineFailed)
		}
		return nil, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

func (m *Mesh) hello() Hello {
	h := Hello{Identity: m.o.Self, UptimeMS: time.Since(m.o.Started).Milliseconds(), Digests: m.o.Follower.Digests()}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hubs != nil {
		h.Peers = slices.Sorted(maps.Keys(m.hubs))
		return h
	}
	for a, l := range m.links {
		if l.conn != nil {
			h.Peers = append(h.Peers, a)
		}
	}
	return h
}

// ping is what this entry tells a peer whose states have a mark, as far as it is
// known.
func (m *Mesh) ping(known string) Ping {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	digests := m.o.Follower.Digests()
	p := Ping{
		DigestHash: follow.Fingerprint(digests), Leaving: leaving, StoreAgeMS: -1, Suspects: m.o.Suspects.Suspects(),
	}
	if p.DigestHash != known {
		p.Name, p.Digests = m.o.Self.Name, digests
	}
	if at := m.o.Follower.LastContact(); !at.IsZero() {
		p.StoreAgeMS = time.Since(at).Milliseconds()
	}
	return p
}

// PingAll tells all peers at once of what this entry believes.
func (m *Mesh) PingAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.requestPing()
	}
}

// requestPing asks for a ping at once.
func (l *peerLink) requestPing() {
	select {
	case l.pingRequests <- struct{}{}:
	default: // one is asked for already
	}
}

// maintain dials a peer again and again and watches the link. What the peer tells of
// others goes to heard.
func (m *Mesh) maintain(ctx context.Context, l *peerLink, heard func(addresses []string)) {
	delay := minRedialDelay
	last := time.Now()
	for ctx.Err() == nil {
		if m.runSession(ctx, l, heard) {
			delay, last = minRedialDelay, time.Now()
			if m.isReconnecting(l) {
				continue
			}
		}
		if time.Since(last) > peerRemovalTimeout {
			m.remove(l)
			return
		}
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		delay = min(2*delay, maxRedialDelay)
	}
}

// remove gives up a link to an entry that was not reached for long.
func (m *Mesh) remove(l *peerLink) {
	m.mu.Lock()
	known := m.links[l.address] == l
	if known {
		delete(m.links, l.address)
	}
	m.mu.Unlock()
	l.cancel()
	if known && m.o.OnPeerRemoved != nil {
		m.o.OnPeerRemoved(l.address)
	}
}

func (m *Mesh) isReconnecting(l *peerLink) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return l.reconnecting
}

// endReconnect notes that dialling a peer anew has succeeded or failed.
func (m *Mesh) endReconnect(l *peerLink) {
	m.mu.Lock()
	was := l.reconnecting
	l.reconnecting = false
	m.mu.Unlock()
	if was {
		m.o.OnPeersChanged()
	}
}

// runSession runs one link from its dial to its loss, and reports whether it was up.
func (m *Mesh) runSession(ctx context.Context, l *peerLink, heard func(addresses []string)) bool {
	dialer := upstream.Dialer(dialTimeout, tcpUserTimeout)
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		m.endReconnect(l)
		return false
	}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(raw), notificationHandler{m}, jsonrpc2.SetLogger(telemetry.RPCLogger{Logger: m.o.Logger}))
	defer func() { _ = conn.Close() }()
	var h Hello
	if err := call(ctx, conn, pingTimeout, methodHello, m.hello(), &h); err != nil {
		m.endReconnect(l)
		return false
	}
	m.mu.Lock()
	l.reconnecting = false
	l.conn, l.identity, l.leaving, l.lastJobAnswer, l.pingAnswered = conn, h.Identity, false, time.Time{}, false
	l.started = time.Now().Add(-time.Duration(h.UptimeMS) * time.Millisecond)
	m.mu.Unlock()
	m.o.Logger.Info("peer linked", "peer", h.Identity.Name, "address", l.address, "uptime_ms", h.UptimeMS)
	heard(h.Peers)
	m.o.OnPeersChanged()
	if len(m.o.Follower.StaleKinds(h.Digests)) > 0 {
		m.fetch(ctx, l, h.Digests)
	}
	err = m.pingUntilLost(ctx, l, conn)
	m.mu.Lock()
	l.conn = nil
	l.reconnecting = errConnectionClosed.Has(err)
	m.mu.Unlock()
	if ctx.Err() == nil {
		m.o.Logger.Warn("peer lost", "peer", h.Identity.Name, "address", l.address, "error", err)
	}
	m.o.OnPeersChanged()
	return true
}

// pingUntilLost pings the peer until it does not answer.
func (m *Mesh) pingUntilLost(ctx context.Context, l *peerLink, conn *jsonrpc2.Conn) error {
	mark := ""
	pinged := time.Now()
	for {
		t := time.NewTimer(time.Until(m.nextPing(l, pinged)))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-conn.DisconnectNotify():
			t.Stop()
			return errConnectionClosed.New("connection closed")
		case <-l.pingRequests:
			t.Stop()
		case <-t.C:
			if time.Until(m.nextPing(l, pinged)) > 0 {
				continue // jobs were answered meanwhile
			}
		}
		pinged = time.Now()
		var p Ping
		if err := call(ctx, conn, pingTimeout, methodPing, m.ping(mark), &p); err != nil {
			if errors.Is(err, jsonrpc2.ErrClosed) {
				return errConnectionClosed.Wrap(err)
			}
			return err
		}
		mark = p.DigestHash
		m.o.Suspects.Merge(p.Suspects)
		m.mu.Lock()
		changed := l.leaving != p.Leaving
		l.leaving, l.pingAnswered = p.Leaving, true
		if p.StoreAgeMS >= 0 {
			l.lastStoreResponse = time.Now().Add(-time.Duration(p.StoreAgeMS) * time.Millisecond)
		}
		m.mu.Unlock()
		if changed {
			m.o.OnPeersChanged()
		}
		if len(m.o.Follower.StaleKinds(p.Digests)) > 0 {
			m.fetch(ctx, l, p.Digests)
		}
	}
}

// LastStoreResponse returns when the store last answered this entry or a linked one.
func (m *Mesh) LastStoreResponse() time.Time {
	latest := m.o.Follower.LastContact()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.lastStoreResponse.After(latest) {
			latest = l.lastStoreResponse
		}
	}
	return latest
}

// KnownDown reports whether an entry's process is known to have ended or not to answer.
// Of entries that this one has no link to nothing is known.
func (m *Mesh) KnownDown(name, incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.identity.Name == name {
			return l.identity.Incarnation != incarnation || l.conn == nil && !l.reconnecting
		}
	}
	return false
}

// LivePeers returns the identities of the peers that answer.
func (m *Mesh) LivePeers() []Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Identity
	for _, l := range m.links {
		if l.conn != nil {
			list = append(list, l.identity)
		}
	}
	slices.SortFunc(list, func(a, b Identity) int { return strings.Compare(a.Name, b.Name) })
	return list
}

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
	"github.com/azurelead/azurelead/origin"
	"github.com/azurelead/azurelead/rollout"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/suspect"
	"github.com/azurelead/azurelead/telemetry"
	"github.com/azurelead/azurelead/upstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("peers")

const (
	// pingTimeout bounds a peer's reply to a ping.
	pingTimeout = 900 * time.Millisecond
	// dialTimeout bounds one dial. The delay between dials grows from minRedialDelay to
	// maxRedialDelay.
	dialTimeout    = 400 * time.Millisecond
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// peerRemovalTimeout is how long an unreachable peer is dialled before it is removed.
	peerRemovalTimeout = 60 * time.Second
	// minDispatchUptime is how long an entry must have run before it dispatches, if
	// another entry has run that long: a restarted entry does not know which results
	// the endpoints hold.
	minDispatchUptime = 3 * time.Second
	// fetchDelay gives this entry's own watch time to deliver a change before a peer is
	// asked for it.
	fetchDelay = 150 * time.Millisecond
	// initialFetchTimeout bounds a fetch of states before the first sync: thousands of
	// objects over a slow link take longer than a ping. Later fetches are bounded by
	// pingTimeout, so that a hanging peer is noticed as early as by a ping.
	initialFetchTimeout = 3 * time.Second
	// maxConcurrentFetches bounds the concurrent fetches of states: all peers announce
	// a change at once, and one of them may hang.
	maxConcurrentFetches = 2
	// maxConcurrentHellos bounds the concurrent Hellos that an entry waits for. When a deployment starts, all
	// entries send theirs at once; what the hubs cannot answer in time they would have to answer again.
	// A Hello counts for at most helloSlot, so that peers that hang delay the links to the others by little.
	maxConcurrentHellos = 4
	helloSlot           = 300 * time.Millisecond
	// maxLearnedLinks bounds the links to entries that are known only from other
	// entries. In a large deployment the hubs are chosen from the store's list.
	maxLearnedLinks = 2 * maxFullMesh
	// maxFetchRounds allows three requests for a state: the changes, the changes with
	// all names, and the full state.
	maxFetchRounds = 3
	// storeReaderCount is the number of entries that read the store on behalf of all.
	storeReaderCount = 3
	// maxStoreAge is how recently the store must have answered a peer for this entry to
	// leave reading it to its peers.
	maxStoreAge = 3200 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the
	// connection fails.
	tcpUserTimeout = 1200 * time.Millisecond
)

// errConnectionClosed is the class of errors of links whose connection was closed, as
// opposed to links whose peer stopped answering.
var errConnectionClosed = errs.Class("peers: link")

// JobHandler runs jobs at the dispatching entry. It identifies them by their JobID.
type JobHandler interface {
	// Admit starts a job, or refuses it, and returns a function that waits for its outcome
	// until ctx, which stands for the link to the submitter, is done. Meanwhile that passes
	// results to onResults as they are produced, one call at a time.
	Admit(j Job) (await func(ctx context.Context, onResults func([]dispatch.StageResults)) Outcome)
	// Cancel drops a job whose outcome nobody waits for any more.
	Cancel(id string)
	// InputsRead frees the results that a job's engine has fetched but not worked off yet.
	InputsRead(id string)
	// Release frees a job's results; the report is about the engine that was to read them.
	Release(id string, r dispatch.EngineReport)
}

// Options configures a Mesh.
type Options struct {
	Self Identity
	// Started is when this entry's process started.
	Started  time.Time
	Follower *follow.Follower
	// Jobs handles the jobs that other entries submit to this one.
	Jobs JobHandler
	// SuspectParts are the prompt parts that crash endpoints, SuspectRequests the requests that do; nil keeps
	// tables of the mesh's own.
	SuspectParts    *suspect.Parts
	SuspectRequests *suspect.Requests
	// Roster holds what endpoints demand of all entries; nil keeps a roster of the mesh's own.
	Roster *roster.Roster
	// Origins holds the origins of streams; nil keeps a table of the mesh's own.
	Origins *origin.Table
	// OnStoreOrigins is called with origins that this entry is to write to the store; it may be nil.
	OnStoreOrigins func(records []origin.Record)
	// OnRolloutReports takes in the reports of an entry's process and returns the directions for it. It is called while
	// this entry is elected as the dispatcher; nil gives none.
	OnRolloutReports func(incarnation string, reports []rollout.Report) []rollout.Direction
	// OnNotices is called after peers have sent notices that changed the roster; it may be nil.
	OnNotices func()
	// OnPeersChanged is called after the set of live peers changed.
	OnPeersChanged func()
	// OnPeerRemoved is called when the entry at an address was unreachable for so long
	// that it is no longer dialled; it may be nil.
	OnPeerRemoved func(address string)
	// Dial opens a connection to the entry at an address; nil dials TCP.
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Logger *slog.Logger
}

// Mesh maintains this entry's links to the other entries: to all of them, or in a
// large deployment only to the hubs. It is safe for concurrent use.
type Mesh struct {
	o Options
	// redialDelay is the delay before the first redial of a peer.
	redialDelay time.Duration
	// announceTimeout bounds the time for which AnnounceOrigins waits.
	announceTimeout time.Duration
	// hellos holds a value for each Hello that counts towards maxConcurrentHellos.
	hellos chan struct{}

	mu      sync.Mutex
	leaving bool
	// hubs are the addresses that entries link to; nil in a full mesh.
	hubs map[string]bool
	// activeFetches counts the fetches of states in progress.
	activeFetches int
	// transfers are the large states that are being read from peers, by kind.
	transfers map[string]*transfer
	// served are the peers that read large states from this entry.
	served transferQueue
	// links holds the links by address.
	links map[string]*peerLink
	// resultHandlers receive the results of submitted jobs, by job ID.
	resultHandlers map[string]func([]dispatch.StageResults)
}

// peerLink is the dialling side of one link.
type peerLink struct {
	address string
	cancel  context.CancelFunc

	// The fields below, but for the channels, are guarded by the mesh's mu.
	conn     *jsonrpc2.Conn
	identity Identity
	// started is when the peer's process started, according to its replies.
	started startEstimate
	// leaving is set while the peer's pings say that it is shutting down.
	leaving bool
	// digests are of the states that the peer last announced.
	digests []follow.Digest
	// lastStoreResponse is when the store last answered the peer, according to its pings.
	lastStoreResponse time.Time
	// pingRequests holds a value while an immediate ping is requested, dialRequests while an
	// immediate dial is.
	pingRequests chan struct{}
	dialRequests chan struct{}
	// reconnecting is set while the link is redialled after its connection was closed:
	// a reset does not mean that the peer is down.
	reconnecting bool
	// isDispatcher is set while the peer is the elected dispatcher.
	isDispatcher bool
	// lastJobAnswer is when the peer last answered a job, and pingAnswered is set once
	// it has answered a ping. Both are reset for a new connection.
	lastJobAnswer time.Time
	pingAnswered  bool
	// lastReplyTime is how long the peer took to reply to the last ping of the connection.
	lastReplyTime time.Duration
	// noticesSent and noticesReceived are the numbers of the last notices that were sent on the
	// connection and received on it.
	noticesSent, noticesReceived uint64
}

// New returns a mesh without links.
func New(o Options) *Mesh {
	if o.SuspectParts == nil {
		o.SuspectParts = suspect.NewParts(nil)
	}
	if o.SuspectRequests == nil {
		o.SuspectRequests = suspect.NewRequests(o.SuspectParts, nil)
	}
	if o.Roster == nil {
		o.Roster = roster.New(nil)
	}
	if o.Origins == nil {
		o.Origins = origin.New()
	}
	if o.OnStoreOrigins == nil {
		o.OnStoreOrigins = func([]origin.Record) {}
	}
	if o.OnRolloutReports == nil {
		o.OnRolloutReports = func(string, []rollout.Report) []rollout.Direction { return nil }
	}
	if o.OnNotices == nil {
		o.OnNotices = func() {}
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &Mesh{o: o, redialDelay: minRedialDelay, announceTimeout: announceTimeout, hellos: make(chan struct{}, maxConcurrentHellos), links: make(map[string]*peerLink), transfers: make(map[string]*transfer), served: newTransferQueue(), resultHandlers: make(map[string]func([]dispatch.StageResults))}
}

// dialTCP dials the entry at an address.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := upstream.Dialer(dialTimeout, tcpUserTimeout)
	return dialer.DialContext(ctx, "tcp", address)
}

// SetLeaving makes this entry tell its peers that it is shutting down.
func (m *Mesh) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// isLeaving reports whether this entry is shutting down.
func (m *Mesh) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// markLeaving records that a peer has announced that it is shutting down.
func (m *Mesh) markLeaving(name string) {
	m.mu.Lock()
	changed := false
	for _, l := range m.links {
		if l.identity.Name == name && l.conn != nil {
			changed = changed || !l.leaving
			l.leaving = true
		}
	}
	m.mu.Unlock()
	if changed {
		m.o.OnPeersChanged()
	}
}

// Add starts links to the entries at the addresses, up to maxLearnedLinks in all. It
// skips entries that are already linked and, in a large deployment, those that are not
// hubs.
func (m *Mesh) Add(ctx context.Context, addresses []string) { m.add(ctx, addresses, maxLearnedLinks) }

// add implements Add with a limit on the number of links.
func (m *Mesh) add(ctx context.Context, addresses []string, maxLinks int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if a == m.o.Self.Address || m.links[a] != nil || a == "" || !m.isHub(a) || len(m.links) >= maxLinks {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &peerLink{address: a, cancel: cancel, pingRequests: make(chan struct{}, 1), dialRequests: make(chan struct{}, 1)}
		m.links[a] = l
		go m.maintain(linkCtx, l, func(addresses []string) {
			// The parent context lets these links outlive the one that reported them.
			m.Add(ctx, addresses)
		})
	}
}

// Serve handles the links that other entries dial, until the listener is closed.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				m.o.Logger.Error("listener for peers failed", "error", err)
			}
			return
		}
		jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(c), &servingHandler{m: m, ctx: ctx}, jsonrpc2.SetLogger(telemetry.RPCLogger{Logger: m.o.Logger}))
	}
}

// handle serves a call or notification from a peer that dialled this entry, except for messages about jobs.
func (m *Mesh) handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	params := paramsOf(r)
	switch r.Method {
	case methodHello:
		var h Hello
		if err := json.Unmarshal(params, &h); err != nil {
			return nil, Error.Wrap(err)
		}
		m.Add(ctx, append(h.Peers, h.Identity.Address))
		m.mergeSuspects(h.SuspectParts, h.SuspectRequests)
		m.dialNow(h.Identity.Address)
		return m.hello(), nil
	case methodPing:
		var p Ping
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, Error.Wrap(err)
		}
		m.mergeSuspects(p.SuspectParts, p.SuspectRequests)
		if p.Leaving {
			m.markLeaving(p.Name)
		}
		m.mergeNotices(p.Notices)
		m.fetchFromSender(ctx, p)
		reply := m.ping(p.DigestHash)
		if p.AsksUptime {
			reply.UptimeMS = m.uptime().Milliseconds()
		}
		reply.Notices, reply.LastNotice = m.o.Roster.NoticesSince(time.Now(), p.NoticesAfter, maxNotices)
		return reply, nil
	case methodStates:
		var p StatesParams
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, Error.Wrap(err)
		}
		return m.o.Follower.StatesSince(p.Since), nil
	case methodPart:
		var r follow.PartRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, Error.Wrap(err)
		}
		return m.servePart(ctx, conn, r), nil
	case methodEndParts:
		m.endServing(conn)
		return nil, nil
	case methodOrigins:
		var told OriginRecords
		if err := json.Unmarshal(params, &told); err != nil {
			return nil, Error.Wrap(err)
		}
		m.o.Origins.Merge(time.Now(), told.Records)
		return nil, nil
	case methodStoreOrigins:
		var passed OriginRecords
		if err := json.Unmarshal(params, &passed); err != nil {
			return nil, Error.Wrap(err)
		}
		m.o.OnStoreOrigins(passed.Records)
		return nil, nil
	case methodRollouts:
		var told RolloutReports
		if err := json.Unmarshal(params, &told); err != nil {
			return nil, Error.Wrap(err)
		}
		if !m.Dispatches() {
			return RolloutDirections{}, nil
		}
		return RolloutDirections{Directions: m.o.OnRolloutReports(told.Incarnation, told.Reports)}, nil
	case methodFindOrigin:
		var p FindOriginParams
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, Error.Wrap(err)
		}
		return m.origin(p), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// mergeSuspects merges a peer's marks of prompt parts and requests that crash endpoints.
func (m *Mesh) mergeSuspects(parts, requests []suspect.PartMark) {
	m.o.SuspectParts.Merge(parts)
	m.o.SuspectRequests.Merge(requests)
}

// uptime returns how long this entry has run.
func (m *Mesh) uptime() time.Duration { return time.Since(m.o.Started) }

// hello returns the Hello of this entry.
func (m *Mesh) hello() Hello {
	h := Hello{
		Identity: m.o.Self, UptimeMS: m.uptime().Milliseconds(), Digests: m.o.Follower.Digests(),
		SuspectParts: m.o.SuspectParts.AllMarks(), SuspectRequests: m.o.SuspectRequests.AllMarks(),
	}
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

// ping returns the ping for a peer whose digests last had the hash peerHash; the
// digests are left out if the hashes are equal.
func (m *Mesh) ping(peerHash string) Ping {
	digests := m.o.Follower.Digests()
	p := Ping{
		DigestHash: follow.Fingerprint(digests), Leaving: m.isLeaving(), StoreAgeMS: -1,
		SuspectParts: m.o.SuspectParts.Marks(), SuspectRequests: m.o.SuspectRequests.Marks(),
	}
	if p.DigestHash != peerHash {
		p.Digests = digests
	}
	if p.Leaving || p.Digests != nil {
		p.Name = m.o.Self.Name
	}
	if at := m.o.Follower.LastContact(); !at.IsZero() {
		p.StoreAgeMS = time.Since(at).Milliseconds()
	}
	return p
}

// PingAll requests an immediate ping of every peer, to announce this entry's states.
func (m *Mesh) PingAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.requestPing()
	}
}

// requestPing requests an immediate ping.
func (l *peerLink) requestPing() {
	select {
	case l.pingRequests <- struct{}{}:
	default: // a request is already pending
	}
}

// maintain keeps a peer linked, redialling it with a growing delay, until ctx ends or
// the peer is removed. Addresses that the peer reports are passed to onAddresses.
func (m *Mesh) maintain(ctx context.Context, l *peerLink, onAddresses func(addresses []string)) {
	delay := m.redialDelay
	lastLinked := time.Now()
	for ctx.Err() == nil {
		if m.runSession(ctx, l, onAddresses) {
			delay, lastLinked = m.redialDelay, time.Now()
			if m.isReconnecting(l) {
				continue
			}
		}
		if time.Since(lastLinked) > peerRemovalTimeout {
			m.remove(l)
			return
		}
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-l.dialRequests:
		}
		t.Stop()
		delay = min(2*delay, maxRedialDelay)
	}
}

// dialNow ends the pause before the next dial of a peer that has just dialled this entry: entries that
// start together otherwise find each other only after their pauses.
func (m *Mesh) dialNow(address string) {
	m.mu.Lock()
	l := m.links[address]
	m.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.dialRequests <- struct{}{}:
	default: // a request is already pending
	}
}

// remove ends the link to a peer that has been unreachable for peerRemovalTimeout.
func (m *Mesh) remove(l *peerLink) {
	m.mu.Lock()
	registered := m.links[l.address] == l
	if registered {
		delete(m.links, l.address)
	}
	m.mu.Unlock()
	l.cancel()
	if registered && m.o.OnPeerRemoved != nil {
		m.o.OnPeerRemoved(l.address)
	}
}

// isReconnecting reports whether the link's connection was closed and is being redialled.
func (m *Mesh) isReconnecting(l *peerLink) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return l.reconnecting
}

// endReconnect records that redialling a peer failed: the peer counts as down until it is
// linked again.
func (m *Mesh) endReconnect(l *peerLink) {
	m.mu.Lock()
	wasReconnecting := l.reconnecting
	l.reconnecting = false
	m.mu.Unlock()
	if wasReconnecting {
		m.o.OnPeersChanged()
	}
}

// runSession dials a peer and runs the link until it is lost. It reports whether the
// link was established.
func (m *Mesh) runSession(ctx context.Context, l *peerLink, onAddresses func(addresses []string)) bool {
	select {
	case <-l.dialRequests: // this dial meets the request
	default:
	}
	raw, err := m.o.Dial(ctx, l.address)
	if err != nil {
		m.endReconnect(l)
		return false
	}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(raw), notificationHandler{m}, jsonrpc2.SetLogger(telemetry.RPCLogger{Logger: m.o.Logger}))
	defer func() { _ = conn.Close() }()
	h, sentAt, err := m.exchangeHellos(ctx, conn)
	if err != nil {
		m.endReconnect(l)
		return false
	}
	m.mu.Lock()
	l.reconnecting = false
	l.conn, l.identity, l.leaving, l.lastJobAnswer, l.pingAnswered = conn, h.Identity, false, time.Time{}, false
	l.noticesSent, l.noticesReceived, l.lastReplyTime = 0, 0, 0
	l.started = startEstimate{}
	l.started.observe(sentAt, time.Now(), time.Duration(h.UptimeMS)*time.Millisecond)
	m.mu.Unlock()
	m.o.Logger.Info("peer linked", "peer", h.Identity.Name, "address", l.address, "uptime_ms", h.UptimeMS)
	m.mergeSuspects(h.SuspectParts, h.SuspectRequests)
	onAddresses(h.Peers)
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

// exchangeHellos returns the peer's reply to the Hello, and when that was sent.
func (m *Mesh) exchangeHellos(ctx context.Context, conn *jsonrpc2.Conn) (reply Hello, sentAt time.Time, err error) {
	select {
	case <-ctx.Done():
		return Hello{}, time.Time{}, Error.Wrap(ctx.Err())
	case m.hellos <- struct{}{}:
	}
	release := sync.OnceFunc(func() { <-m.hellos })
	defer release()
	defer time.AfterFunc(helloSlot, release).Stop()
	sentAt = time.Now()
	err = call(ctx, conn, pingTimeout, methodHello, m.hello(), &reply)
	return reply, sentAt, err
}

// pingUntilLost pings the peer until a ping fails, the connection is closed or ctx
// ends, and returns the cause.
func (m *Mesh) pingUntilLost(ctx context.Context, l *peerLink, conn *jsonrpc2.Conn) error {
	peerHash := ""
	lastPing := time.Now()
	for {
		t := time.NewTimer(time.Until(m.nextPing(l, lastPing)))
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
			if time.Until(m.nextPing(l, lastPing)) > 0 {
				continue // an answered job has postponed the ping
			}
		}
		lastPing = time.Now()
		request := m.ping(peerHash)
		request.AsksUptime = m.asksUptime(l)
		lastNotice := m.addNotices(&request, l)
		var p Ping
		if err := call(ctx, conn, pingTimeout, methodPing, request, &p); err != nil {
			if errors.Is(err, jsonrpc2.ErrClosed) {
				return errConnectionClosed.Wrap(err)
			}
			return err
		}
		peerHash = p.DigestHash
		m.mergeSuspects(p.SuspectParts, p.SuspectRequests)
		m.mergeNotices(p.Notices)
		m.mu.Lock()
		l.noticesSent, l.noticesReceived, l.lastReplyTime = lastNotice, p.LastNotice, time.Since(lastPing)
		if p.UptimeMS > 0 {
			l.started.observe(lastPing, time.Now(), time.Duration(p.UptimeMS)*time.Millisecond)
		}
		leavingChanged := l.leaving != p.Leaving
		l.leaving, l.pingAnswered = p.Leaving, true
		if p.StoreAgeMS >= 0 {
			l.lastStoreResponse = time.Now().Add(-time.Duration(p.StoreAgeMS) * time.Millisecond)
		}
		if p.Digests != nil {
			l.digests = p.Digests
		}
		m.mu.Unlock()
		if leavingChanged {
			m.o.OnPeersChanged()
		}
		if len(m.o.Follower.StaleKinds(p.Digests)) > 0 {
			m.fetch(ctx, l, p.Digests)
		}
	}
}

// asksUptime reports whether the next ping asks the peer for its uptime.
func (m *Mesh) asksUptime(l *peerLink) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return l.started.uncertainty() > maxStartUncertainty
}

// LastStoreResponse returns when the store last answered this entry or, according to
// their pings, one of its peers.
func (m *Mesh) LastStoreResponse() time.Time {
	own, peers := m.o.Follower.LastContact(), m.PeersStoreResponse()
	if own.After(peers) {
		return own
	}
	return peers
}

// PeersStoreResponse returns when the store last answered one of the peers, according to
// their pings.
func (m *Mesh) PeersStoreResponse() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	var latest time.Time
	for _, l := range m.links {
		if l.lastStoreResponse.After(latest) {
			latest = l.lastStoreResponse
		}
	}
	return latest
}

// KnownDown reports whether an incarnation of an entry is known to be down: the entry
// does not answer, or another incarnation of it runs. It returns false for an entry
// that this one has no link to.
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

// LivePeers returns the identities of the peers with an open link, ordered by name.
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

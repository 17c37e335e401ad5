// Package clientlimit bounds what clients make a server hold before their requests are handled: connections, and heads of
// requests while they are read and once they are parsed. It performs no I/O; callers pass it what they have read and
// close the connections that it names.
//
// The load that it answers are clients that stay inside no limit. A header line of a few bytes takes some hundred once it has
// been parsed, so that heads of legal size take many times that size. A connection that never sends a request takes a
// descriptor, and so does one that sends or reads a byte a second: progress is therefore measured by a least rate.
package clientlimit

import (
	"bytes"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/memorybudget"
)

// The classes of errors for which a connection is closed.
var (
	// HeadTooLarge: the head has more bytes than allowed.
	HeadTooLarge = errs.Class("head too large")
	// NoMemory: the heads of all clients leave no memory for this one.
	NoMemory = errs.Class("no memory for the head")
	// TooManyConnections: there are as many connections as allowed, and none of them can be closed instead.
	TooManyConnections = errs.Class("too many connections")
	// Evicted: the connection was closed in favour of another one.
	Evicted = errs.Class("evicted")
)

const (
	// lineCost is the memory that a header line takes beside its bytes, in the server and in the header that is sent on.
	// byteCost is the number of copies of its bytes.
	lineCost = 256
	byteCost = 2
	// minStall is how long a client may be behind before its connection may be closed in favour of another one.
	minStall = time.Second
	// minRate is the rate at which a client does not fall behind, in bytes per second.
	minRate = 16 << 10
	// reservedShare is the share of the connections that is for owners that hold fewer than are left free.
	reservedShare = 0.25
	// promptWrite is the time within which a client counts as reading at once.
	promptWrite = 100 * time.Millisecond
)

// Options configures a Guard.
type Options struct {
	// MaxConnections bounds the open connections; 0 does not. The last quarter of them is for owners that hold fewer than
	// are left free.
	MaxConnections int
	// HeadMemory bounds the memory of all heads together, in bytes. One client address may hold half of it.
	HeadMemory int64
	// MaxHead returns the largest number of bytes of a head.
	MaxHead func() int
	// Metrics counts refusals and evictions. It may be nil.
	Metrics *Metrics
}

// Guard holds the connections of one server. It is safe for concurrent use.
type Guard struct {
	o      Options
	memory *memorybudget.Budget

	mu     sync.Mutex
	conns  map[*Conn]bool
	owners map[string]*owner
	// all and heads hold all connections: to find those whose clients are behind with anything, and with a head that holds
	// memory.
	all, heads *stallQueue
	// uploads holds the connections on which a body is read, by who is charged for it.
	uploads map[string]*stallQueue
}

// owner is the owner of connections, such as a client's address.
type owner struct {
	name string
	// conns holds its connections.
	conns *stallQueue
}

// New returns a guard without connections.
func New(o Options) *Guard {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return &Guard{
		o: o, memory: memorybudget.New(o.HeadMemory), conns: make(map[*Conn]bool), owners: make(map[string]*owner),
		all: newStallQueue((*Conn).isAwaited), heads: newStallQueue((*Conn).holdsHead), uploads: make(map[string]*stallQueue),
	}
}

// Conn is one connection.
type Conn struct {
	guard *Guard
	owner *owner
	// charged is who is charged for the body that is read; empty if there is none. It is guarded by the guard's lock.
	charged string
	// evict closes the connection. inHead is set if a part of a request's head has been read.
	evict func(inHead bool)

	mu sync.Mutex
	// evicted is set before evict is called. Input that arrives afterwards is discarded, so that no further request is served.
	evicted bool
	phase   phase
	// head is set while a part of the next request's head has been read, of so many bytes and lines.
	head         bool
	bytes, lines int
	held         *memorybudget.Reservation
	// progressAt is since when the client has been behind, if it has to send or to read something. Each byte that it sends or
	// reads moves it on by the time that the byte takes at minRate, up to the present.
	progressAt time.Time
	// writing is set while the client has to read a part of the response, since writeSince. arrears is how far it was behind
	// at the end of the last part.
	writing    bool
	writeSince time.Time
	arrears    time.Duration
}

// phase is what a connection is used for.
type phase int

const (
	// awaiting: no whole head of a request has been read.
	awaiting phase = iota
	// uploading: the request's body may not have been read.
	uploading
	// serving: the whole request has been read.
	serving
)

// Open adds a connection of an owner, such as a client's address. If there are too many, evict of another one is called,
// whose client has been behind for longest with a request, the rest of one, or the reading of a response. An owner that holds
// many connections loses one of its own. It returns an error of class TooManyConnections if none can be closed.
func (g *Guard) Open(now time.Time, ownerName string, evict func(inHead bool)) (*Conn, error) {
	c := &Conn{guard: g, evict: evict, progressAt: now}
	g.mu.Lock()
	defer g.mu.Unlock()
	if among := g.toEvictFrom(ownerName); among != nil && !g.evictStalled(now, nil, among) {
		g.o.Metrics.Refusals.WithLabelValues("connections").Inc()
		return nil, TooManyConnections.New("%d are open", len(g.conns))
	}
	g.add(c, ownerName)
	return c, nil
}

// toEvictFrom returns the connections one of which has to be closed before an owner may open another one; nil if there is
// room. The caller holds mu.
func (g *Guard) toEvictFrom(ownerName string) *stallQueue {
	limit := g.o.MaxConnections
	if limit <= 0 {
		return nil
	}
	reserved, free := int(reservedShare*float64(limit)), limit-len(g.conns)
	held := 0
	o := g.owners[ownerName]
	if o != nil {
		held = o.conns.Len()
	}
	switch {
	case free > reserved || held < free:
		return nil
	case o != nil && held >= reserved:
		return o.conns
	}
	return g.all
}

// queuesOf returns the queues of a connection.
func (g *Guard) queuesOf(c *Conn) []*stallQueue {
	return []*stallQueue{g.all, g.heads, c.owner.conns}
}

// add adds a connection. The caller holds mu.
func (g *Guard) add(c *Conn, ownerName string) {
	c.owner = g.owners[ownerName]
	if c.owner == nil {
		c.owner = &owner{name: ownerName, conns: newStallQueue((*Conn).isAwaited)}
		g.owners[ownerName] = c.owner
	}
	g.conns[c] = true
	for _, q := range g.queuesOf(c) {
		q.add(c, c.progressAt)
	}
}

// remove removes a connection, also if that has been done before. The caller holds mu.
func (g *Guard) remove(c *Conn) {
	delete(g.conns, c)
	g.endUpload(c)
	for _, q := range g.queuesOf(c) {
		q.remove(c)
	}
	if o := c.owner; o.conns.Len() == 0 && g.owners[o.name] == o {
		delete(g.owners, o.name)
	}
}

// evictStalled closes the connection in a queue, other than except, whose client has been behind for longest, and reports whether
// there was one. The caller holds mu, which is released while evict is called.
func (g *Guard) evictStalled(now time.Time, except *Conn, among *stallQueue) bool {
	c := among.stalled(now, except)
	if c == nil {
		return false
	}
	inHead, evicted := c.markEvicted(now, among.awaits)
	if !evicted { // it has made progress since
		return g.evictStalled(now, except, among)
	}
	g.remove(c)
	g.mu.Unlock()
	defer g.mu.Lock()
	g.o.Metrics.Refusals.WithLabelValues("stalled").Inc()
	c.release()
	c.evict(inHead)
	return true
}

// markEvicted takes the connection out of use, unless its client has made progress with what is awaited.
func (c *Conn) markEvicted(now time.Time, awaits func(*Conn) bool) (inHead, evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !awaits(c) || now.Sub(c.progressAt) < minStall {
		return false, false
	}
	c.evicted = true
	return c.phase == awaiting && c.head, true
}

// isAwaited reports whether the client has to send a request or the rest of one, or to read a response. The caller holds mu.
func (c *Conn) isAwaited() bool { return c.phase != serving || c.writing }

// isUploading reports whether the client has to send the rest of a body. The caller holds mu.
func (c *Conn) isUploading() bool { return c.phase == uploading && !c.writing }

// holdsHead reports whether the connection holds a part of a head beyond what every connection may hold. The caller holds mu.
func (c *Conn) holdsHead() bool {
	return c.phase == awaiting && c.head && int64(c.bytes)*byteCost+int64(c.lines)*lineCost > memorybudget.Exempt
}

// behindSince returns since when the client has been behind, and whether it has to do what is awaited.
func (c *Conn) behindSince(awaits func(*Conn) bool) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progressAt, awaits(c)
}

// progress records that the client has sent or read n bytes. The caller holds mu.
func (c *Conn) progress(now time.Time, n int) {
	c.progressAt = c.progressAt.Add(time.Duration(n) * (time.Second / minRate))
	if c.progressAt.After(now) {
		c.progressAt = now
	}
}

// BeginWrite records that the client has to read a part of a response.
func (c *Conn) BeginWrite(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.writeSince = true, now
	if c.phase == serving {
		c.progressAt = now.Add(-c.arrears)
	}
}

// EndWrite records that the client has taken n bytes of the response. One that takes them at once has caught up.
func (c *Conn) EndWrite(now time.Time, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if c.phase != serving {
		return
	}
	c.progress(now, n)
	if c.arrears = now.Sub(c.progressAt); now.Sub(c.writeSince) < promptWrite {
		c.arrears = 0
	}
}

// Await records that the connection waits for a request: what the last one held is given back.
func (c *Conn) Await(now time.Time) {
	c.release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.head, c.bytes, c.lines, c.progressAt, c.arrears = awaiting, false, 0, 0, now, 0
}

// Handle records that a complete head has been read. Its memory stays reserved until the next call of Await or Close.
func (c *Conn) Handle() { c.setPhase(uploading) }

// Upload records that a body is read, and who is charged for it.
func (c *Conn) Upload(charged string) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endUpload(c)
	if !g.conns[c] {
		return // it has been closed
	}
	q := g.uploads[charged]
	if q == nil {
		q = newStallQueue((*Conn).isUploading)
		g.uploads[charged] = q
	}
	since, _ := c.behindSince((*Conn).isUploading)
	q.add(c, since)
	c.charged = charged
}

// endUpload records that no body is read any more. The caller holds mu.
func (g *Guard) endUpload(c *Conn) {
	q := g.uploads[c.charged]
	if q == nil {
		return
	}
	if q.remove(c); q.Len() == 0 {
		delete(g.uploads, c.charged)
	}
	c.charged = ""
}

// Serve records that a whole request has been read.
func (c *Conn) Serve() {
	c.setPhase(serving)
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.endUpload(c)
}

func (c *Conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
}

// Read takes in bytes that were read from the connection. It returns an error of class HeadTooLarge, NoMemory or Evicted if
// the connection is to be closed. Bytes that are read while a request is handled are not part of a head.
func (c *Conn) Read(now time.Time, p []byte) error {
	c.mu.Lock()
	if c.evicted {
		c.mu.Unlock()
		return Evicted.New("the connection was closed to make room for another")
	}
	if c.phase == awaiting && !c.head && len(p) > 0 {
		c.progressAt = now // the wait for a request has ended
	}
	if c.phase != serving {
		c.progress(now, len(p))
	}
	if c.phase != awaiting {
		c.mu.Unlock()
		return nil
	}
	c.head = true
	c.bytes += len(p)
	c.lines += bytes.Count(p, []byte{'\n'})
	size, cost := c.bytes, int64(c.bytes)*byteCost+int64(c.lines)*lineCost
	if c.held == nil {
		c.held = c.guard.memory.Reserve(c.owner.name)
	}
	held := c.held
	c.mu.Unlock()
	if limit := c.guard.o.MaxHead(); size > limit {
		c.guard.o.Metrics.Refusals.WithLabelValues("head size").Inc()
		return HeadTooLarge.New("more than %d bytes", limit)
	}
	err := held.Resize(cost)
	for err != nil && c.guard.evictHead(now, c) {
		err = held.Resize(cost)
	}
	if err != nil {
		c.guard.o.Metrics.Refusals.WithLabelValues("head memory").Inc()
		return NoMemory.Wrap(err)
	}
	return nil
}

// evictHead closes the connection, other than except, that holds a part of a head and whose client has been behind for longest.
// It reports whether there was one.
func (g *Guard) evictHead(now time.Time, except *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evictStalled(now, except, g.heads)
}

// EvictUpload closes the connection whose client has been behind for longest with a body, of those for which somebody is charged.
// It reports whether there was one.
func (g *Guard) EvictUpload(now time.Time, charged string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.uploads[charged]
	return q != nil && g.evictStalled(now, nil, q)
}

// Close removes the connection.
func (c *Conn) Close() {
	c.release()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.remove(c)
}

// release gives back the memory of the head.
func (c *Conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held != nil {
		c.held.Release()
		c.held = nil
	}
}

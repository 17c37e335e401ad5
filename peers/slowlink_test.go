package peers

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/platform/fleet"
)

// testNetwork connects entries in memory, each behind a link of limited bandwidth, so that tests
// can use a synthetic clock.
type testNetwork struct {
	ctx       context.Context // ends all connections
	mu        sync.Mutex
	listeners map[string]*testListener
	links     map[string]*testLink
}

// testLink is the link of one entry. It carries one segment at a time in each direction. Its locks are
// channels because the synthetic clock stands still while a goroutine waits for a mutex.
type testLink struct {
	bytesPerSecond     float64
	sending, receiving chan struct{}
}

func newTestLink(bytesPerSecond float64) *testLink {
	return &testLink{bytesPerSecond: bytesPerSecond, sending: make(chan struct{}, 1), receiving: make(chan struct{}, 1)}
}

// transmit occupies one direction of the link for the time that it takes to carry n bytes.
func (l *testLink) transmit(direction chan struct{}, n int) {
	direction <- struct{}{}
	time.Sleep(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	<-direction
}

// segmentBytes is how much one connection sends before the others of the same link have their turn.
const segmentBytes = 16 << 10

// testConn is one end of a connection. What is written to it waits in a queue without a limit.
type testConn struct {
	net.Conn
	queue  chan []byte
	closed chan struct{}
	once   *sync.Once
}

// newTestConn returns a connection that sends through the link from and the link to.
func newTestConn(ctx context.Context, c net.Conn, from, to *testLink) testConn {
	tc := testConn{Conn: c, queue: make(chan []byte, 1<<12), closed: make(chan struct{}), once: &sync.Once{}}
	context.AfterFunc(ctx, func() { _ = tc.Close() })
	inFlight := make(chan []byte)
	go tc.send(from, inFlight)
	go tc.receive(to, inFlight)
	return tc
}

// send transmits what is written, segment by segment, until the connection is closed.
func (c testConn) send(from *testLink, inFlight chan<- []byte) {
	for {
		select {
		case <-c.closed:
			return
		case p := <-c.queue:
			for segment := range slices.Chunk(p, segmentBytes) {
				from.transmit(from.sending, len(segment))
				select {
				case inFlight <- segment:
				case <-c.closed:
					return
				}
			}
		}
	}
}

// receive delivers the segments that have been sent until the connection is closed.
func (c testConn) receive(to *testLink, inFlight <-chan []byte) {
	for {
		select {
		case <-c.closed:
			return
		case segment := <-inFlight:
			to.transmit(to.receiving, len(segment))
			if _, err := c.Conn.Write(segment); err != nil {
				return
			}
		}
	}
}

// Write queues a copy of p.
func (c testConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.queue <- slices.Clone(p):
		return len(p), nil
	}
}

func (c testConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

type testListener struct {
	address string
	accepts chan net.Conn
	closed  chan struct{}
}

func (l *testListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *testListener) Close() error   { close(l.closed); return nil }
func (l *testListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

// dial connects the entry at address from with the one at address to.
func (n *testNetwork) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l, near, far := n.listeners[to], n.links[from], n.links[to]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("no listener at %s", to)
	}
	client, server := net.Pipe()
	select {
	case l.accepts <- newTestConn(n.ctx, server, far, near):
		return newTestConn(n.ctx, client, near, far), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// testStore is a store that entries read over their own links.
type testStore struct {
	mu      sync.Mutex
	objects map[string]fleet.Object
	changed chan struct{}
	// revision is that of the last change.
	revision int64
}

// put replaces the object of a kind.
func (s *testStore) put(kind string, o fleet.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[kind], s.revision = o, o.Revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes of a kind after a revision, and a channel that is closed by the next one.
func (s *testStore) since(kind string, revision int64) (fleet.Changes, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := fleet.Changes{Revision: s.revision}
	if o, found := s.objects[kind]; found && o.Revision > revision {
		changes.Objects = []fleet.Object{o}
	}
	return changes, s.changed
}

// testStoreClient reads a testStore over the link of an entry.
type testStoreClient struct {
	*testStore
	link *testLink
}

// List implements follow.Store.
func (c testStoreClient) List(ctx context.Context, kind string, _ bool) (fleet.Changes, error) {
	changes, _ := c.since(kind, 0)
	c.receive(ctx, changes)
	return changes, nil
}

// Watch implements follow.Store.
func (c testStoreClient) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (fleet.Changes, error) {
	timeout := time.After(wait)
	for {
		changes, changed := c.since(kind, after)
		if len(changes.Objects) > 0 {
			c.receive(ctx, changes)
			return changes, ctx.Err()
		}
		select {
		case <-changed:
		case <-timeout:
			return changes, nil
		case <-ctx.Done():
			return fleet.Changes{}, ctx.Err()
		}
	}
}

// receive occupies the link for the time that the changes take.
func (c testStoreClient) receive(ctx context.Context, changes fleet.Changes) {
	for _, o := range changes.Objects {
		for left := len(o.Spec); left > 0; left -= segmentBytes {
			c.link.transmit(c.link.receiving, min(left, segmentBytes))
			fleet.RecordProgress(ctx, segmentBytes)
		}
	}
}

// slowMeshes starts entries that are linked to each other, each with a link of 10 Mbit/s. The first
// readers of them follow the store. onChange is called with the number of the entry when its objects
// changed.
func slowMeshes(ctx context.Context, n, readers int, store *testStore, onChange func(entry int, c follow.Change)) {
	network := &testNetwork{ctx: ctx, listeners: make(map[string]*testListener), links: make(map[string]*testLink)}
	var meshes []*Mesh
	members := memberList(n)
	for i, member := range members {
		link := newTestLink(10e6 / 8)
		l := &testListener{address: member.Address, accepts: make(chan net.Conn), closed: make(chan struct{})}
		network.listeners[member.Address], network.links[member.Address] = l, link
		var m *Mesh
		m = New(Options{
			Self:    Identity{Name: member.Name, Address: member.Address, DataCentre: member.DataCentre, CPU: member.CPU},
			Started: time.Now().Add(-time.Minute),
			Follower: follow.New(follow.Options{
				Store: testStoreClient{store, link}, Kinds: []string{fleet.KindConfiguration, fleet.KindEndpoints},
				ReadsStore: func() bool { return i < readers }, Logger: slog.New(slog.DiscardHandler),
				OnChange: func(c follow.Change) {
					if i < readers {
						defer m.PingAll()
					}
					onChange(i, c)
				},
			}),
			OnPeersChanged: func() {}, Logger: slog.New(slog.DiscardHandler),
			Dial: func(ctx context.Context, to string) (net.Conn, error) { return network.dial(ctx, member.Address, to) },
		})
		go m.Serve(ctx, l)
		go m.o.Follower.Run(ctx)
		context.AfterFunc(ctx, func() { _ = l.Close() })
		meshes = append(meshes, m)
	}
	for _, m := range meshes {
		m.SetMembers(ctx, members)
	}
}

// configurationOf returns a configuration of the given size, half of which is compressible.
func configurationOf(revision int64, size int) fleet.Object {
	random := rand.New(rand.NewPCG(uint64(revision), 1))
	content := make([]byte, size/2)
	for i := range content {
		content[i] = byte(random.Uint32())
	}
	spec, err := json.Marshal(hex.EncodeToString(content))
	if err != nil {
		panic(err) // a string can be encoded
	}
	return fleet.Object{Name: fleet.ConfigurationName, Revision: revision, Spec: spec}
}

// The operators add many routes to the configuration and change it again before all entries have it.
// The entries that read the store pass it on over slow links. Every entry must have the last version
// within the 3 s that the deployment allows, and on the way an endpoint that says that it leaves must
// be known everywhere within its 3 s of draining.
func TestLargeConfigurationReachesSlowEntriesInTime(t *testing.T) {
	const entries, readers, limit = 21, 3, 3 * time.Second
	sizes := []int{20 << 10, 500 << 10, 1 << 20}
	if testing.Short() {
		sizes = sizes[:2] // the race detector slows the compression down
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size>>10, " KB"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var mu sync.Mutex
				known := map[string]map[int]int64{fleet.KindConfiguration: {}, fleet.KindEndpoints: {}}
				store := &testStore{objects: make(map[string]fleet.Object), changed: make(chan struct{})}
				putEndpoint := func(revision int64) {
					store.put(fleet.KindEndpoints, fleet.Object{Name: "i-1", Revision: revision, Spec: json.RawMessage(`{}`)})
				}
				// expect fails if an entry does not know a revision of a kind.
				expect := func(kind string, revision int64) {
					mu.Lock()
					defer mu.Unlock()
					late := 0
					for i := range entries {
						if known[kind][i] < revision {
							late++
						}
					}
					if late > 0 {
						t.Errorf("%v after revision %d of %s, %d of %d entries do not know it", limit, revision, kind, late, entries)
					}
				}
				store.put(fleet.KindConfiguration, configurationOf(10, 20<<10))
				putEndpoint(11)
				slowMeshes(ctx, entries, readers, store, func(entry int, c follow.Change) {
					mu.Lock()
					defer mu.Unlock()
					for _, o := range c.Objects {
						known[c.Kind][entry] = o.Revision
					}
				})
				time.Sleep(10 * time.Second)
				store.put(fleet.KindConfiguration, configurationOf(12, size))
				time.Sleep(500 * time.Millisecond)
				putEndpoint(13)
				time.Sleep(1700 * time.Millisecond)
				store.put(fleet.KindConfiguration, configurationOf(15, size))
				time.Sleep(1300 * time.Millisecond)
				expect(fleet.KindEndpoints, 13)
				time.Sleep(limit - 1300*time.Millisecond)
				expect(fleet.KindConfiguration, 15)
				cancel()
				time.Sleep(time.Minute) // until the links have carried what is queued
			})
		})
	}
}

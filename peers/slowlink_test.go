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
	"github.com/azurelead/azurelead/suspect"
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
	go tc.send(from, to)
	return tc
}

// send transmits what is written until the connection is closed.
func (c testConn) send(from, to *testLink) {
	for {
		select {
		case <-c.closed:
			return
		case p := <-c.queue:
			for len(p) > 0 {
				n := min(len(p), segmentBytes)
				from.transmit(from.sending, n)
				to.transmit(to.receiving, n)
				if _, err := c.Conn.Write(p[:n]); err != nil {
					return
				}
				p = p[n:]
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

// slowMeshes starts entries that are linked to each other, each with a link of 10 Mbit/s. onChange is
// called with the number of the entry when its objects changed.
func slowMeshes(ctx context.Context, n int, onChange func(entry int, c follow.Change)) []*Mesh {
	network := &testNetwork{ctx: ctx, listeners: make(map[string]*testListener), links: make(map[string]*testLink)}
	var meshes []*Mesh
	members := memberList(n)
	for i, member := range members {
		l := &testListener{address: member.Address, accepts: make(chan net.Conn), closed: make(chan struct{})}
		network.listeners[member.Address], network.links[member.Address] = l, newTestLink(10e6/8)
		m := New(Options{
			Self:    Identity{Name: member.Name, Address: member.Address, DataCentre: member.DataCentre, CPU: member.CPU},
			Started: time.Now().Add(-time.Minute),
			Follower: follow.New(follow.Options{
				Kinds: []string{fleet.KindConfiguration, fleet.KindEndpoints}, Logger: slog.New(slog.DiscardHandler),
				OnChange: func(c follow.Change) { onChange(i, c) },
			}),
			Suspects: suspect.New(suspect.Options{}), OnPeersChanged: func() {}, Logger: slog.New(slog.DiscardHandler),
			Dial: func(ctx context.Context, to string) (net.Conn, error) { return network.dial(ctx, member.Address, to) },
		})
		go m.Serve(ctx, l)
		context.AfterFunc(ctx, func() { _ = l.Close() })
		meshes = append(meshes, m)
	}
	for _, m := range meshes {
		m.SetMembers(ctx, members)
	}
	return meshes
}

// configurationOf returns a state with one configuration of the given size, half of which is
// compressible.
func configurationOf(revision int64, size int) follow.State {
	random := rand.New(rand.NewPCG(uint64(revision), 1))
	content := make([]byte, size/2)
	for i := range content {
		content[i] = byte(random.Uint32())
	}
	spec, err := json.Marshal(hex.EncodeToString(content))
	if err != nil {
		panic(err) // a string can be encoded
	}
	return follow.State{
		Kind: fleet.KindConfiguration, Revision: revision, Full: true,
		Objects: []fleet.Object{{Name: fleet.ConfigurationName, Revision: revision, Spec: spec}},
	}
}

// The operators add many routes to the configuration and change it again before all entries have it.
// The entries that read the store pass it on over slow links. Every entry must have the last version
// within the 3 s that the deployment allows, and on the way an endpoint that says that it leaves must
// be known everywhere within its 3 s of draining.
func TestLargeConfigurationReachesSlowEntriesInTime(t *testing.T) {
	const entries, readers, limit = 21, 3, 3 * time.Second
	for _, size := range []int{20 << 10, 500 << 10, 1 << 20} {
		t.Run(fmt.Sprint(size>>10, " KB"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var mu sync.Mutex
				known := make(map[string]map[int]int64)
				meshes := slowMeshes(ctx, entries, func(entry int, c follow.Change) {
					mu.Lock()
					defer mu.Unlock()
					if known[c.Kind] == nil {
						known[c.Kind] = make(map[int]int64)
					}
					for _, o := range c.Objects {
						known[c.Kind][entry] = o.Revision
					}
				})
				// learn passes a state to the entries that read the store.
				learn := func(s follow.State) {
					for _, m := range meshes[:readers] {
						m.o.Follower.ApplyStates([]follow.State{s})
						m.PingAll()
					}
				}
				// expect fails if an entry does not know a revision of a kind.
				expect := func(kind string, revision int64) {
					mu.Lock()
					defer mu.Unlock()
					late := 0
					for i := range meshes {
						if known[kind][i] < revision {
							late++
						}
					}
					if late > 0 {
						t.Errorf("%v after revision %d of %s, %d of %d entries do not know it", limit, revision, kind, late, entries)
					}
				}
				endpoints := func(revision int64) follow.State {
					return follow.State{
						Kind: fleet.KindEndpoints, Revision: revision, Full: true,
						Objects: []fleet.Object{{Name: "i-1", Revision: revision, Spec: json.RawMessage(`{}`)}},
					}
				}
				time.Sleep(5 * time.Second)
				learn(configurationOf(10, 20<<10))
				learn(endpoints(11))
				time.Sleep(5 * time.Second)
				learn(configurationOf(12, size))
				time.Sleep(500 * time.Millisecond)
				learn(endpoints(13))
				time.Sleep(1700 * time.Millisecond)
				learn(configurationOf(15, size))
				time.Sleep(800 * time.Millisecond)
				expect(fleet.KindEndpoints, 13) // 3 s after the readers learnt it, less their own delay of 0.5 s
				time.Sleep(limit - 800*time.Millisecond)
				expect(fleet.KindConfiguration, 15)
				cancel()
				time.Sleep(time.Minute) // until the links have carried what is queued
			})
		})
	}
}

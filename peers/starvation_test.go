package peers

import (
	"context"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/origin"
)

// starve keeps the only processor busy until the test ends. Each of the busy goroutines runs for 10 ms at a time, so
// that the others wait for 200 ms.
func starve(t *testing.T) {
	t.Helper()
	processors := runtime.GOMAXPROCS(1)
	var stopped atomic.Bool
	t.Cleanup(func() {
		stopped.Store(true)
		runtime.GOMAXPROCS(processors)
	})
	for range 20 {
		go func() {
			for !stopped.Load() {
			}
		}()
	}
}

// A process that is short of processor time does not take its own delay for the silence of a peer.
func TestStarvedProcessKeepsItsLinks(t *testing.T) {
	const (
		calls   = 3
		timeout = 90 * time.Millisecond
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	m := New(Options{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(c), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
			func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return Ping{}, nil })))
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(raw), notificationHandler{m})
	starve(t)
	for i := range calls {
		if err := call(t.Context(), conn, timeout, methodPing, Ping{}, nil); err != nil {
			t.Fatalf("call %d of a live peer failed: %v", i, err)
		}
	}
}

// A process that is short of processor time does not take its own delay for its peers' ignorance of a stream.
func TestStarvedProcessFindsOrigin(t *testing.T) {
	const searches = 3
	meshes := linkedMeshes(t, 2)
	r := origin.Record{Key: origin.Key("stream"), Service: "llm", Version: "v1"}
	meshes[1].o.Origins.Begin(time.Now(), r)
	starve(t)
	for i := range searches {
		if got := meshes[0].FindOrigin(t.Context(), FindOriginParams{Key: r.Key, Service: "llm"}); got.Record == nil {
			t.Fatalf("search %d: the origin is not found", i)
		}
	}
}

// A peer that is silent is found out after the timeout, in a process that has processor time.
func TestSilentPeerTimesOut(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	go func() { // reads the call, but does not answer it
		buffer := make([]byte, 1024)
		for {
			if _, err := far.Read(buffer); err != nil {
				return
			}
		}
	}()
	conn := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(near), notificationHandler{New(Options{})})
	start := time.Now()
	err := call(t.Context(), conn, 90*time.Millisecond, methodPing, Ping{}, nil)
	if took := time.Since(start); err == nil || took < 90*time.Millisecond {
		t.Errorf("the call ended after %v with %v, want a timeout after 90 ms", took, err)
	}
}

// An entry does not have all its peers answer its Hello at once: an overloaded peer would have to answer again what
// it has not answered in time.
func TestFewHellosAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const peers = 3 * maxConcurrentHellos
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := New(Options{Follower: follow.New(follow.Options{Logger: slog.New(slog.DiscardHandler)})})
		var arrived, replied atomic.Int32
		release := make(chan struct{})
		for range peers {
			near, far := net.Pipe()
			jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(far), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
				func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
					arrived.Add(1)
					<-release
					return Hello{}, nil
				})))
			conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(near), notificationHandler{m})
			go func() {
				if _, _, err := m.exchangeHellos(ctx, conn); err != nil {
					t.Error(err)
				}
				replied.Add(1)
			}()
		}
		synctest.Wait()
		if n := arrived.Load(); n != maxConcurrentHellos {
			t.Errorf("%d Hellos wait for their replies, want %d", n, maxConcurrentHellos)
		}
		close(release)
		synctest.Wait()
		if n := replied.Load(); n != peers {
			t.Errorf("%d Hellos have been answered, want %d", n, peers)
		}
	})
}

// Peers that hang do not keep an entry from linking to the others until their Hellos time out.
func TestHangingPeersDoNotDelayHellos(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := New(Options{Follower: follow.New(follow.Options{Logger: slog.New(slog.DiscardHandler)})})
		dial := func(reply func()) *jsonrpc2.Conn {
			near, far := net.Pipe()
			jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(far), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(
				func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
					reply()
					return Hello{}, nil
				})))
			return jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(near), notificationHandler{m})
		}
		for range maxConcurrentHellos {
			go func() { _, _, _ = m.exchangeHellos(ctx, dial(func() { <-ctx.Done() })) }()
		}
		synctest.Wait()
		start := time.Now()
		if _, _, err := m.exchangeHellos(ctx, dial(func() {})); err != nil {
			t.Error(err)
		}
		if waited := time.Since(start); waited > helloSlot {
			t.Errorf("the Hello of a live peer took %v, want at most %v", waited, helloSlot)
		}
	})
}

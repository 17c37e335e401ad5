package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/platform/fleet"
)

// benchMesh serves a mesh that knows a number of endpoints.
func benchMesh(ctx context.Context, name string, endpoints int) (*Mesh, net.Listener) {
	f := follow.New(follow.Options{
		Kinds: []string{"servers"}, Logger: slog.New(slog.DiscardHandler),
		OnChange: func(follow.Change) {},
	})
	s := follow.State{Kind: "servers", Revision: 1, Full: true}
	for i := range endpoints {
		s.Objects = append(s.Objects, fleet.Object{Name: fmt.Sprint("i-", i), Revision: 1, Spec: json.RawMessage(`{}`)})
	}
	f.ApplyStates([]follow.State{s})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // the machine has no loopback ports left
	}
	m := New(Options{
		Self: Identity{Name: name, Address: l.Addr().String()}, Started: time.Now(), Follower: f,
		OnPeersChanged: func() {}, Logger: slog.New(slog.DiscardHandler),
	})
	go m.Serve(ctx, l)
	return m, l
}

// BenchmarkLink measures the memory of both ends of one link, without kernel buffers.
func BenchmarkLink(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const peers = 40
	hub, l := benchMesh(ctx, "hub", 10)
	defer func() { _ = l.Close() }()
	var before, after runtime.MemStats
	var listeners []net.Listener
	meshes := []*Mesh{hub}
	for range peers {
		m, pl := benchMesh(ctx, "x", 10)
		listeners, meshes = append(listeners, pl), append(meshes, m)
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, pl := range listeners {
		hub.Add(ctx, []string{pl.Addr().String()})
	}
	// Entries report their peers to each other, so that every pair is linked both ways.
	links := func() (n int) {
		for _, m := range meshes {
			n += len(m.LivePeers())
		}
		return n
	}
	for links() < peers*(peers+1) {
		time.Sleep(time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		// The memory of the links is measured, not the loop.
	}
	b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/float64(links())/1024, "KB/link")
	for _, pl := range listeners {
		_ = pl.Close()
	}
}

// BenchmarkPing measures one ping and its reply between entries that know a number of
// endpoints.
func BenchmarkPing(b *testing.B) {
	for _, endpoints := range []int{30, 300, 1100} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			m, l := benchMesh(ctx, "a", endpoints)
			defer func() { _ = l.Close() }()
			peer, inner := benchMesh(ctx, "b", endpoints)
			defer func() { _ = inner.Close() }()
			var bytes atomic.Int64
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			pl := countingListener{raw, &bytes, &bytes}
			defer func() { _ = pl.Close() }()
			go peer.Serve(ctx, pl)
			m.Add(ctx, []string{pl.Addr().String()})
			for len(m.LivePeers()) < 1 {
				time.Sleep(time.Millisecond)
			}
			m.mu.Lock()
			conn := m.links[pl.Addr().String()].conn
			m.mu.Unlock()
			bytes.Store(0)
			for b.Loop() {
				var p Ping
				if err := call(ctx, conn, time.Second, methodPing, m.ping(peer.ping("").DigestHash), &p); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/ping")
		})
	}
}

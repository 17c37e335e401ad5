package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/platform/fleet"
)

// memberList returns n entries in four data centres, every third with a strong processor.
func memberList(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		cpu := 0.144
		if i%3 == 0 {
			cpu = 0.8
		}
		list[i] = Member{Name: fmt.Sprint("e-", i), Address: fmt.Sprint("10.0.0.", i, ":1"), DataCentre: fmt.Sprint("dc", i%4), CPU: cpu}
	}
	return list
}

func memberNames(list []Member) []string {
	var out []string
	for _, m := range list {
		out = append(out, m.Name)
	}
	slices.Sort(out)
	return out
}

func TestHubs(t *testing.T) {
	if got := Hubs(memberList(maxFullMesh)); got != nil {
		t.Errorf("a small deployment has hubs %v, want none", memberNames(got))
	}
	list := memberList(300)
	hubs := Hubs(list)
	perDataCentre := map[string]int{}
	for _, h := range hubs {
		perDataCentre[h.DataCentre]++
		if h.CPU < 0.8 {
			t.Errorf("the hub %s has a weak processor", h.Name)
		}
	}
	if len(hubs) != hubCount || len(perDataCentre) != 4 || slices.Min([]int{perDataCentre["dc0"], perDataCentre["dc1"], perDataCentre["dc2"], perDataCentre["dc3"]}) != hubCount/4 {
		t.Errorf("%d hubs, by data centre %v", len(hubs), perDataCentre)
	}
	shuffled := slices.Clone(list)
	random := rand.New(rand.NewPCG(1, 2))
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	if got := memberNames(Hubs(shuffled)); !slices.Equal(got, memberNames(hubs)) {
		t.Errorf("hubs depend on the order of the list: %v", got)
	}
	remaining := slices.DeleteFunc(list, func(m Member) bool { return m.Name == hubs[0].Name })
	added := 0
	for _, name := range memberNames(Hubs(remaining)) {
		if !slices.Contains(memberNames(hubs), name) {
			added++
		}
	}
	if added != 1 {
		t.Errorf("%d new hubs after one hub left, want 1", added)
	}
}

// Each of many data centres has the minimum number of hubs.
func TestHubsInManyDataCentres(t *testing.T) {
	list := memberList(400)
	for i := range list {
		list[i].DataCentre = fmt.Sprint("dc", i%18)
		list[i].CPU = 0
	}
	if got := len(Hubs(list)); got != 18*minHubsPerDataCentre {
		t.Errorf("%d hubs", got)
	}
}

// largeMesh starts n entries that are not linked yet.
func largeMesh(t *testing.T, n int) (meshes []*Mesh, members []Member) {
	t.Helper()
	for _, m := range memberList(n) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		m.Address = l.Addr().String()
		mesh := New(Options{
			Self:    Identity{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre, CPU: m.CPU},
			Started: time.Now().Add(-time.Minute),
			Follower: follow.New(follow.Options{
				Kinds: []string{"servers"}, Logger: slog.New(slog.DiscardHandler),
				OnChange: func(follow.Change) {},
			}),
			OnPeersChanged: func() {}, Logger: slog.New(slog.DiscardHandler),
		})
		go mesh.Serve(t.Context(), l)
		members, meshes = append(members, m), append(meshes, mesh)
	}
	return meshes, members
}

// Above the size of a full mesh every entry links only to the hubs, all elect the same
// hub as dispatcher, and a state that one hub learns reaches all entries.
func TestLargeDeploymentLinksToHubs(t *testing.T) {
	meshes, members := largeMesh(t, 60)
	for _, m := range meshes {
		// As when a deployment starts, each entry knows a seed before the list.
		m.Add(t.Context(), []string{members[0].Address})
	}
	for _, m := range meshes {
		m.SetMembers(t.Context(), members)
	}
	hubs := Hubs(members)
	isHub := func(m *Mesh) bool { return slices.Contains(memberNames(hubs), m.o.Self.Name) }
	await(t, "every entry to be linked to the hubs", func() bool {
		for _, m := range meshes {
			want := len(hubs)
			if isHub(m) {
				want--
			}
			if len(m.LivePeers()) != want {
				return false
			}
		}
		return true
	})
	elected := map[string]bool{}
	for _, m := range meshes {
		if l := m.Dispatcher(t.Context(), nil); l != nil {
			elected[l.Peer.Name] = true
		} else {
			elected[m.o.Self.Name] = true
		}
	}
	if len(elected) != 1 || !slices.Contains(memberNames(hubs), slices.Collect(maps.Keys(elected))[0]) {
		t.Errorf("elected dispatchers %v, want one of the hubs %v", elected, memberNames(hubs))
	}
	for _, m := range meshes {
		if isHub(m) {
			m.o.Follower.ApplyStates([]follow.State{{
				Kind: "servers", Revision: 5, Full: true,
				Objects: []fleet.Object{{Name: "s", Revision: 5, Spec: json.RawMessage(`{}`)}},
			}})
			break
		}
	}
	await(t, "all entries to know the object", func() bool {
		return !slices.ContainsFunc(meshes, func(m *Mesh) bool { return !m.o.Follower.HasSynced() })
	})
}

// countingListener counts the bytes sent and read on the connections that it accepts.
type countingListener struct {
	net.Listener
	sent, read *atomic.Int64
}

type countingConn struct {
	net.Conn
	sent, read *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.sent, l.read}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// logBuffer collects log output.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// count returns how often a message was logged.
func (b *logBuffer) count(message string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), message)
}

// An entry that starts in a deployment with thousands of endpoints hears from all peers
// at once that they have newer states. It must fetch them from a few peers, not from
// every one.
func TestStateIsNotReadFromEveryPeer(t *testing.T) {
	const peers, endpoints = 24, 2000
	state := follow.State{Kind: "servers", Revision: 9, Full: true}
	for i := range endpoints {
		state.Objects = append(state.Objects, fleet.Object{Name: fmt.Sprint("e-", i), Revision: 9, Spec: json.RawMessage(`{"filler":"0123456789"}`)})
	}
	encoded, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	var sent atomic.Int64
	meshes, members := largeMesh(t, peers+1)
	for i, m := range meshes[1:] {
		m.o.Follower.ApplyStates([]follow.State{state})
		m.setHubs([]Member{}) // without dialling, so that no Hello is counted
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		members[i+1].Address = l.Addr().String()
		go m.Serve(t.Context(), countingListener{l, &sent, new(atomic.Int64)})
	}
	starting := meshes[0]
	var log logBuffer
	starting.o.Logger = slog.New(slog.NewTextHandler(&log, nil))
	starting.SetMembers(t.Context(), members)
	await(t, "the starting entry to sync", func() bool { return starting.o.Follower.HasSynced() })
	await(t, "all fetches to end", func() bool {
		starting.mu.Lock()
		defer starting.mu.Unlock()
		return starting.activeFetches == 0
	})
	// A fetch that timed out, as it may on a busy machine, is repeated.
	failed := log.count("fetching states from a peer failed")
	if limit := int64((maxConcurrentFetches + 1 + failed) * len(encoded)); sent.Load() > limit {
		t.Errorf("%d bytes sent for a state of %d bytes", sent.Load(), len(encoded))
	}
}

// Dropping a link must not end the links to entries that were reported over it.
func TestLinksOutliveTheirSource(t *testing.T) {
	meshes, members := largeMesh(t, 3)
	m, seed, other := meshes[1], members[0], members[2]
	linked := func(address string) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.links[address] != nil && m.links[address].conn != nil
	}
	meshes[0].Add(t.Context(), []string{other.Address})
	await(t, "the seed to be linked to the other entry", func() bool { return len(meshes[0].LivePeers()) == 1 })
	m.Add(t.Context(), []string{seed.Address})
	await(t, "all entries to be linked", func() bool { return linked(seed.Address) && linked(other.Address) })
	m.mu.Lock()
	first := m.links[other.Address].conn
	m.mu.Unlock()
	m.setHubs([]Member{other})
	if linked(seed.Address) {
		t.Error("the link to an entry that is not a hub was kept")
	}
	_ = first.Close()
	await(t, "the other entry to be linked again", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		l := m.links[other.Address]
		return l.conn != nil && l.conn != first
	})
}

// The removal of an unreachable peer is reported once; a link that was dropped before for
// another reason is not reported.
func TestRemovedPeersAreReportedOnce(t *testing.T) {
	var removed []string
	m := New(Options{OnPeerRemoved: func(address string) { removed = append(removed, address) }})
	l := &peerLink{address: "10.0.0.1:1", cancel: func() {}}
	m.links[l.address] = l
	m.remove(l)
	m.remove(l)
	if len(removed) != 1 || removed[0] != l.address || len(m.links) != 0 {
		t.Errorf("reported %v as removed, links %v", removed, m.links)
	}
}

// Messages of the JSON-RPC library go to the entry's log.
func TestRPCLibraryLogsThroughLogger(t *testing.T) {
	var output logBuffer
	m := New(Options{Logger: slog.New(slog.NewTextHandler(&output, &slog.HandlerOptions{Level: slog.LevelDebug}))})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go m.Serve(t.Context(), l)
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	if _, err := raw.Write([]byte("no JSON")); err != nil {
		t.Fatal(err)
	}
	await(t, "the protocol error to be logged", func() bool { return output.count("protocol error") == 1 })
}

// await waits for a condition until the test ends.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			t.Fatalf("gave up waiting for %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// A spoke reads the store itself while it has no link to a hub, and has its stages
// dispatched by a hub, however strong its own processor is.
func TestSpokesLeaveWorkToHubs(t *testing.T) {
	members := memberList(40)
	hubs := Hubs(members)
	var self Member
	for _, m := range members {
		if !slices.Contains(memberNames(hubs), m.Name) {
			self = m
		}
	}
	m := New(Options{
		Self:    Identity{Name: self.Name, Address: self.Address, DataCentre: self.DataCentre, CPU: 100},
		Started: time.Now().Add(-time.Hour), OnPeersChanged: func() {},
	})
	m.setHubs(hubs)
	if !m.IsSpoke() {
		t.Error("a spoke does not count as a spoke")
	}
	if !m.ReadsStore() {
		t.Error("no hub answers, but the spoke does not read the store")
	}
	if l, _ := m.electDispatcher(nil); l != nil {
		t.Error("a dispatcher was elected without a link to it")
	}
	for _, h := range hubs {
		m.links[h.Address] = &peerLink{
			address: h.Address, reconnecting: true, started: startedAt(time.Now().Add(-time.Minute)), lastStoreResponse: time.Now(),
			identity: Identity{Name: h.Name, CPU: h.CPU, DataCentre: h.DataCentre},
		}
	}
	if _, reconnecting := m.electDispatcher(nil); !reconnecting {
		t.Error("the spoke dispatches itself")
	}
}

// Most pings are between peers with the same states: these carry only a hash. After a
// change on either side, pings carry the digests.
func TestPingsCarryDigestsOnlyAfterChanges(t *testing.T) {
	meshes, _ := largeMesh(t, 2)
	a, b := meshes[0], meshes[1]
	state := func(revision int64) []follow.State {
		return []follow.State{{Kind: "servers", Revision: revision, Full: true, Objects: []fleet.Object{{Name: "s", Revision: revision}}}}
	}
	a.o.Follower.ApplyStates(state(1))
	b.o.Follower.ApplyStates(state(1))
	if p := a.ping(""); len(p.Digests) != 1 || p.Name != "e-0" {
		t.Errorf("first ping %+v, want one digest and the name", p)
	}
	reply := b.ping(a.ping("").DigestHash)
	if next := a.ping(reply.DigestHash); len(reply.Digests) != 0 || len(next.Digests) != 0 {
		t.Errorf("digests sent for a state that both have: %+v, %+v", reply, next)
	}
	a.o.Follower.ApplyStates(state(2))
	if p := a.ping(reply.DigestHash); len(b.o.Follower.StaleKinds(p.Digests)) != 1 {
		t.Errorf("the ping %+v does not announce the caller's newer state", p)
	}
	b.o.Follower.ApplyStates(state(3))
	if p := b.ping(a.ping(reply.DigestHash).DigestHash); len(a.o.Follower.StaleKinds(p.Digests)) != 1 {
		t.Errorf("the reply %+v does not announce the callee's newer state", p)
	}
}

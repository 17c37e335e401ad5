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
	"github.com/azurelead/azurelead/suspect"
)

// memberList is a deployment in which every third entry is a strong one.
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

func names(list []Member) []string {
	var out []string
	for _, m := range list {
		out = append(out, m.Name)
	}
	slices.Sort(out)
	return out
}

func TestHubs(t *testing.T) {
	if got := Hubs(memberList(maxFullMesh)); got != nil {
		t.Errorf("a small deployment has hubs: %v", names(got))
	}
	list := memberList(300)
	hubs := Hubs(list)
	count := map[string]int{}
	for _, h := range hubs {
		count[h.DataCentre]++
		if h.CPU < 0.8 {
			t.Errorf("%s is a weak one", h.Name)
		}
	}
	if len(hubs) != hubCount || len(count) != 4 || slices.Min([]int{count["dc0"], count["dc1"], count["dc2"], count["dc3"]}) != hubCount/4 {
		t.Errorf("%d hubs, by data centre %v", len(hubs), count)
	}
	shuffled := slices.Clone(list)
	random := rand.New(rand.NewPCG(1, 2))
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	if got := names(Hubs(shuffled)); !slices.Equal(got, names(hubs)) {
		t.Errorf("hubs depend on the order of the list: %v", got)
	}
	without := slices.DeleteFunc(list, func(m Member) bool { return m.Name == hubs[0].Name })
	changed := 0
	for _, name := range names(Hubs(without)) {
		if !slices.Contains(names(hubs), name) {
			changed++
		}
	}
	if changed != 1 {
		t.Errorf("%d new hubs for one that left", changed)
	}
}

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

// largeMesh runs entries that are not linked yet.
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
				OnChange: func(string, map[string]fleet.Object, bool) {},
			}),
			Suspects: suspect.New(suspect.Options{}), OnPeersChanged: func() {}, Logger: slog.New(slog.DiscardHandler),
		})
		go mesh.Serve(t.Context(), l)
		members, meshes = append(members, m), append(meshes, mesh)
	}
	return meshes, members
}

// In a deployment of more entries than link to all, every entry links to the
// hubs alone, all elect the same dispatcher among them, few ask the store, and
// what one learns reaches all.
func TestLargeDeploymentLinksToHubs(t *testing.T) {
	meshes, members := largeMesh(t, 60)
	for _, m := range meshes {
		// As at the start of a deployment: each knows a seed before the list.
		m.Add(t.Context(), []string{members[0].Address})
	}
	for _, m := range meshes {
		m.SetMembers(t.Context(), members)
	}
	hubs := Hubs(members)
	isHub := func(m *Mesh) bool { return slices.Contains(names(hubs), m.o.Self.Name) }
	await(t, "each entry is linked to the hubs", func() bool {
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
	if len(elected) != 1 || !slices.Contains(names(hubs), slices.Collect(maps.Keys(elected))[0]) {
		t.Errorf("dispatchers: %v of hubs %v", elected, names(hubs))
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
	await(t, "all know the object", func() bool {
		return !slices.ContainsFunc(meshes, func(m *Mesh) bool { return !m.o.Follower.HasSynced() })
	})
}

// counted counts the bytes that are sent and read on each connection.
type counted struct {
	net.Listener
	sent, read *atomic.Int64
}

type countedConn struct {
	net.Conn
	sent, read *atomic.Int64
}

func (l counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.sent, l.read}, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// lines keeps what was logged.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), message)
}

// The load pattern: an entry starts in a deployment of thousands of endpoints,
// and all peers tell it at once that they know more. It reads the state from a
// few of them, not from each.
func TestStateIsNotReadFromEveryPeer(t *testing.T) {
	const peers, endpoints = 24, 2000
	state := follow.State{Kind: "servers", Revision: 9, Full: true}
	for i := range endpoints {
		state.Objects = append(state.Objects, fleet.Object{Name: fmt.Sprint("e-", i), Revision: 9, Spec: json.RawMessage(`{"filler":"0123456789"}`)})
	}
	size, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	var sent atomic.Int64
	meshes, members := largeMesh(t, peers+1)
	for i, m := range meshes[1:] {
		m.o.Follower.ApplyStates([]follow.State{state})
		m.setHubs([]Member{}) // they dial nobody: greetings are not counted
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		members[i+1].Address = l.Addr().String()
		go m.Serve(t.Context(), counted{l, &sent, new(atomic.Int64)})
	}
	starts := meshes[0]
	var log lines
	starts.o.Logger = slog.New(slog.NewTextHandler(&log, nil))
	starts.SetMembers(t.Context(), members)
	await(t, "the state is known", func() bool { return starts.o.Follower.HasSynced() })
	await(t, "no state is being read", func() bool {
		starts.mu.Lock()
		defer starts.mu.Unlock()
		return starts.activeFetches == 0
	})
	// A read that was given up, as on a busy machine, is made again.
	failed := log.count("states of a peer not read")
	if most := int64((maxConcurrentFetches + 1 + failed) * len(size)); sent.Load() > most {
		t.Errorf("%d bytes were sent for a state of %d", sent.Load(), len(size))
	}
}

// A link that is given up takes none with it that was heard of over it.
func TestLinksOutliveTheOneThatToldOfThem(t *testing.T) {
	meshes, members := largeMesh(t, 3)
	m, seed, other := meshes[1], members[0], members[2]
	linked := func(address string) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.links[address] != nil && m.links[address].conn != nil
	}
	meshes[0].Add(t.Context(), []string{other.Address})
	await(t, "the seed knows the other", func() bool { return len(meshes[0].LivePeers()) == 1 })
	m.Add(t.Context(), []string{seed.Address})
	await(t, "all are linked", func() bool { return linked(seed.Address) && linked(other.Address) })
	m.mu.Lock()
	first := m.links[other.Address].conn
	m.mu.Unlock()
	m.setHubs([]Member{other})
	if linked(seed.Address) {
		t.Error("the link to an entry that is no hub is kept")
	}
	_ = first.Close()
	await(t, "the other is linked anew", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		l := m.links[other.Address]
		return l.conn != nil && l.conn != first
	})
}

// An entry that is dialled no more is told of once; a link that was dropped for
// another reason is not.
func TestForgottenEntriesAreToldOf(t *testing.T) {
	var told []string
	m := New(Options{OnPeerRemoved: func(address string) { told = append(told, address) }})
	l := &peerLink{address: "10.0.0.1:1", cancel: func() {}}
	m.links[l.address] = l
	m.remove(l)
	m.remove(l)
	if len(told) != 1 || told[0] != l.address || len(m.links) != 0 {
		t.Errorf("told of %v, links %v", told, m.links)
	}
}

// What the library below the links has to say comes as a line of the log.
func TestLibraryWritesToTheLog(t *testing.T) {
	var out lines
	m := New(Options{Logger: slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug}))})
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
	await(t, "the protocol error is logged", func() bool { return out.count("protocol error") == 1 })
}

func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for !is() {
		select {
		case <-ctx.Done():
			t.Fatalf("never: %s", what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// An entry that is no hub leaves the store to them while one of them hears it,
// and has its stages done by one of them, however strong it is itself.
func TestOthersLeaveTheWorkToHubs(t *testing.T) {
	members := memberList(40)
	hubs := Hubs(members)
	var self Member
	for _, m := range members {
		if !slices.Contains(names(hubs), m.Name) {
			self = m
		}
	}
	m := New(Options{
		Self:    Identity{Name: self.Name, Address: self.Address, DataCentre: self.DataCentre, CPU: 100},
		Started: time.Now().Add(-time.Hour), OnPeersChanged: func() {},
	})
	m.setHubs(hubs)
	if !m.IsSpoke() {
		t.Error("this entry asks for what the hubs will tell")
	}
	if !m.ReadsStore() {
		t.Error("no hub answers, and this entry does not ask the store")
	}
	if l, _ := m.electDispatcher(nil); l != nil {
		t.Error("a dispatcher without a link")
	}
	for _, h := range hubs {
		m.links[h.Address] = &peerLink{
			address: h.Address, reconnecting: true, started: time.Now().Add(-time.Minute), lastStoreResponse: time.Now(),
			identity: Identity{Name: h.Name, CPU: h.CPU, DataCentre: h.DataCentre},
		}
	}
	if _, relinking := m.electDispatcher(nil); !relinking {
		t.Error("this entry dispatches itself")
	}
}

// The load: many peers that all know the same. Their pings say so in a few
// bytes; a change is told by its digests, whichever side has it.
func TestPingsTellDigestsOfChangesOnly(t *testing.T) {
	meshes, _ := largeMesh(t, 2)
	a, b := meshes[0], meshes[1]
	state := func(revision int64) []follow.State {
		return []follow.State{{Kind: "servers", Revision: revision, Full: true, Objects: []fleet.Object{{Name: "s", Revision: revision}}}}
	}
	a.o.Follower.ApplyStates(state(1))
	b.o.Follower.ApplyStates(state(1))
	if p := a.ping(""); len(p.Digests) != 1 || p.Name != "e-0" {
		t.Errorf("a first ping is %+v", p)
	}
	answer := b.ping(a.ping("").DigestHash)
	if next := a.ping(answer.DigestHash); len(answer.Digests) != 0 || len(next.Digests) != 0 {
		t.Errorf("digests of a state that both know: %+v, %+v", answer, next)
	}
	a.o.Follower.ApplyStates(state(2))
	if p := a.ping(answer.DigestHash); len(b.o.Follower.StaleKinds(p.Digests)) != 1 {
		t.Errorf("a newer state of the caller: %+v", p)
	}
	b.o.Follower.ApplyStates(state(3))
	if p := b.ping(a.ping(answer.DigestHash).DigestHash); len(a.o.Follower.StaleKinds(p.Digests)) != 1 {
		t.Errorf("a newer state of the one that answers: %+v", p)
	}
}

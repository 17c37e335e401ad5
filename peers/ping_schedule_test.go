package peers

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/platform/fleet"
)

func TestRhythm(t *testing.T) {
	at := func(ms int) time.Time {
		return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	}
	cases := []struct {
		name string
		r    pingSchedule
		want int
	}{
		{"few peers", pingSchedule{links: 4, lastPing: at(0)}, 400},
		{"many peers", pingSchedule{links: 20, lastPing: at(0)}, 1200},
		{"the dispatcher of many", pingSchedule{links: 20, isDispatcher: true, lastPing: at(0)}, 400},
		{"a dispatcher that answered soon after the ping", pingSchedule{links: 20, isDispatcher: true, lastPing: at(0), lastJobAnswer: at(200)}, 400},
		{"a dispatcher that answered a job", pingSchedule{links: 20, isDispatcher: true, lastPing: at(0), lastJobAnswer: at(390)}, 540},
		{"a dispatcher that answers jobs all the time", pingSchedule{links: 20, isDispatcher: true, lastPing: at(0), lastJobAnswer: at(1190)}, 1200},
		{"a dispatcher that answered before the last ping", pingSchedule{links: 20, isDispatcher: true, lastPing: at(500), lastJobAnswer: at(300)}, 900},
		{"a dispatcher of few", pingSchedule{links: 3, isDispatcher: true, lastPing: at(0), lastJobAnswer: at(390)}, 400},
		{"a hub among hubs", pingSchedule{links: 24, lastPing: at(0)}, 1200},
		{"a quiet hub", pingSchedule{links: 24, lowPriority: true, lastPing: at(0)}, 3600},
		{"a quiet hub of many data centres", pingSchedule{links: 36, lowPriority: true, lastPing: at(0)}, 6000},
		{"an entry that starts", pingSchedule{links: 24, starting: true, lastPing: at(0)}, 200},
		{"a hub that dispatches", pingSchedule{links: 24, lowPriority: true, isDispatcher: true, lastPing: at(0)}, 400},
	}
	for _, c := range cases {
		if got := c.r.next(); !got.Equal(at(c.want)) {
			t.Errorf("%s: after %s, want %d ms", c.name, got.Sub(at(0)), c.want)
		}
	}
}

// An entry that is no hub is quiet to the hubs that do not ask the store, once it
// knows one that does; at the start, and when those that ask are gone, it looks for
// them as soon as ever. Hubs are quiet to nobody.
func TestQuietHubs(t *testing.T) {
	members := memberList(40)
	hubs := Hubs(members)
	f := follow.New(follow.Options{
		Kinds: []string{"servers"}, Logger: slog.New(slog.DiscardHandler), OnChange: func(string, map[string]fleet.Object, bool) {},
	})
	f.ApplyStates([]follow.State{{Kind: "servers", Revision: 1, Full: true}})
	m := New(Options{Self: Identity{Name: "self", Address: "self"}, Started: time.Now(), OnPeersChanged: func() {}, Follower: f})
	m.setHubs(hubs)
	for _, h := range hubs {
		m.links[h.Address] = &peerLink{address: h.Address}
	}
	asking, other := m.links[hubs[0].Address], m.links[hubs[1].Address]
	now := time.Now()
	wait := func(l *peerLink) time.Duration { return m.nextPing(l, now).Sub(now) }
	usual := pingSchedule{links: len(hubs)}.next().Sub(time.Time{})
	if a, b := wait(asking), wait(other); a != usual || b != usual {
		t.Errorf("at the start %s and %s", a, b)
	}
	asking.lastStoreResponse, other.pingAnswered = now, true
	if a, b := wait(asking), wait(other); a != usual || b != lowPriorityFactor*usual {
		t.Errorf("once one hears the store %s and %s", a, b)
	}
	if c := wait(m.links[hubs[2].Address]); c != usual {
		t.Errorf("before the first ping %s", c)
	}
	asking.lastStoreResponse = now.Add(-maxStoreAge)
	if b := wait(other); b != usual {
		t.Errorf("when nobody hears the store any more %s", b)
	}
	asking.lastStoreResponse = now
	m.o.Self.Address = hubs[3].Address
	if b := wait(other); b != usual {
		t.Errorf("at a hub %s", b)
	}
}

// A hub that is elected is pinged at once: it may have died while it was quiet,
// and its turn may be seconds away. One that stays elected is not.
func TestElectedHubIsPingedAtOnce(t *testing.T) {
	m := New(Options{Self: Identity{Name: "self"}, Started: time.Now(), OnPeersChanged: func() {}})
	for _, name := range []string{"a", "b", "c"} {
		m.links[name] = &peerLink{
			address: name, reconnecting: true, started: time.Now().Add(-time.Minute),
			identity: Identity{Name: name, CPU: 1}, pingRequests: make(chan struct{}, 1),
		}
	}
	poked := func() (names []string) {
		for name, l := range m.links {
			select {
			case <-l.pingRequests:
				names = append(names, name)
			default:
			}
		}
		return names
	}
	m.electDispatcher(nil)
	first := poked()
	m.electDispatcher(nil)
	if again := poked(); len(first) != 1 || len(again) != 0 {
		t.Fatalf("%v pinged at the election, %v after it", first, again)
	}
	m.links[first[0]].reconnecting = false
	m.electDispatcher(nil)
	if second := poked(); len(second) != 1 || second[0] == first[0] {
		t.Errorf("%v pinged after %v was lost", second, first)
	}
}

// The load: hundreds of entries start at once, and serve nobody until they know
// the configuration. A peer that knows it says so in its greeting, and is asked
// before any ping.
func TestGreetingTellsWhatIsKnown(t *testing.T) {
	meshes, _ := largeMesh(t, 2)
	known, starts := meshes[0], meshes[1]
	known.o.Follower.ApplyStates([]follow.State{{Kind: "servers", Revision: 1, Full: true, Objects: []fleet.Object{{Name: "s", Revision: 1}}}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	asked := make(chan string, 1)
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(raw), jsonrpc2.HandlerWithError(
			func(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
				if r.Method != methodHello {
					select {
					case asked <- r.Method:
					default:
					}
				}
				return known.handle(ctx, conn, r)
			}))
	}()
	starts.Add(t.Context(), []string{l.Addr().String()})
	if first := <-asked; first != methodStates {
		t.Errorf("%s came before the question for states", first)
	}
	await(t, "the states are known", starts.o.Follower.HasSynced)
	if n := len(starts.hello().Digests); n != 1 {
		t.Errorf("the greeting tells of %d kinds that were learnt", n)
	}
}

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

func TestPingSchedule(t *testing.T) {
	at := func(ms int) time.Time {
		return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	}
	cases := []struct {
		name     string
		schedule pingSchedule
		want     int
	}{
		{"few peers", pingSchedule{links: 4, lastPing: at(0)}, 400},
		{"many peers", pingSchedule{links: 20, lastPing: at(0)}, 1200},
		{"dispatcher among many peers", pingSchedule{links: 20, isDispatcher: true, lastPing: at(0)}, 400},
		{"dispatcher that answered a job soon after the ping", pingSchedule{links: 20, isDispatcher: true, lastPing: at(0), lastJobAnswer: at(200)}, 400},
		{"dispatcher that answered a job late", pingSchedule{links: 20, isDispatcher: true, lastPing: at(0), lastJobAnswer: at(390)}, 540},
		{"dispatcher that keeps answering jobs", pingSchedule{links: 20, isDispatcher: true, lastPing: at(0), lastJobAnswer: at(1190)}, 1200},
		{"dispatcher that answered a job before the last ping", pingSchedule{links: 20, isDispatcher: true, lastPing: at(500), lastJobAnswer: at(300)}, 900},
		{"dispatcher among few peers", pingSchedule{links: 3, isDispatcher: true, lastPing: at(0), lastJobAnswer: at(390)}, 400},
		{"hub among hubs", pingSchedule{links: 24, lastPing: at(0)}, 1200},
		{"low-priority hub", pingSchedule{links: 24, lowPriority: true, lastPing: at(0)}, 3600},
		{"low-priority hub of many data centres", pingSchedule{links: 36, lowPriority: true, lastPing: at(0)}, 6000},
		{"starting entry", pingSchedule{links: 24, starting: true, lastPing: at(0)}, 200},
		{"low-priority hub that dispatches", pingSchedule{links: 24, lowPriority: true, isDispatcher: true, lastPing: at(0)}, 400},
		{"hub that replies at once", pingSchedule{links: 24, lastPing: at(0), lastReplyTime: 50 * time.Millisecond}, 1200},
		{"starting entry, peer that replies at once", pingSchedule{links: 24, starting: true, lastPing: at(0), lastReplyTime: 50 * time.Millisecond}, 200},
		{"overloaded hub", pingSchedule{links: 24, lastPing: at(0), lastReplyTime: 800 * time.Millisecond}, 3200},
		{"starting entry, overloaded peer", pingSchedule{links: 24, starting: true, lastPing: at(0), lastReplyTime: 800 * time.Millisecond}, 3200},
		{"overloaded hub that dispatches", pingSchedule{links: 24, isDispatcher: true, lastPing: at(0), lastReplyTime: 800 * time.Millisecond}, 400},
	}
	for _, c := range cases {
		if got := c.schedule.next(); !got.Equal(at(c.want)) {
			t.Errorf("%s: next ping after %s, want %d ms", c.name, got.Sub(at(0)), c.want)
		}
	}
}

// A spoke pings the hubs that do not read the store less often once it knows a hub that
// does. At the start, and when no hub reads the store any more, it pings all of them at
// the usual interval. Hubs ping all hubs at the usual interval.
func TestLowPriorityHubs(t *testing.T) {
	members := memberList(40)
	hubs := Hubs(members)
	f := follow.New(follow.Options{
		Kinds: []string{"servers"}, Logger: slog.New(slog.DiscardHandler), OnChange: func(follow.Change) {},
	})
	f.ApplyStates([]follow.State{{Kind: "servers", Revision: 1, Full: true}})
	m := New(Options{Self: Identity{Name: "self", Address: "self"}, Started: time.Now(), OnPeersChanged: func() {}, Follower: f})
	m.setHubs(hubs)
	for _, h := range hubs {
		m.links[h.Address] = &peerLink{address: h.Address}
	}
	reader, other := m.links[hubs[0].Address], m.links[hubs[1].Address]
	now := time.Now()
	wait := func(l *peerLink) time.Duration { return m.nextPing(l, now).Sub(now) }
	usual := pingSchedule{links: len(hubs)}.next().Sub(time.Time{})
	if a, b := wait(reader), wait(other); a != usual || b != usual {
		t.Errorf("at the start the intervals are %s and %s", a, b)
	}
	reader.lastStoreResponse, other.pingAnswered = now, true
	if a, b := wait(reader), wait(other); a != usual || b != lowPriorityFactor*usual {
		t.Errorf("once the store answers one hub the intervals are %s and %s", a, b)
	}
	if c := wait(m.links[hubs[2].Address]); c != usual {
		t.Errorf("before the first reply to a ping the interval is %s", c)
	}
	reader.lastStoreResponse = now.Add(-maxStoreAge)
	if b := wait(other); b != usual {
		t.Errorf("when the store answers no hub any more the interval is %s", b)
	}
	reader.lastStoreResponse = now
	m.o.Self.Address = hubs[3].Address
	if b := wait(other); b != usual {
		t.Errorf("at a hub the interval is %s", b)
	}
}

// A hub is pinged at once when it is elected: it may have gone down while it was pinged
// rarely, and its next ping may be seconds away. A hub that stays elected is not.
func TestElectedHubIsPingedAtOnce(t *testing.T) {
	m := New(Options{Self: Identity{Name: "self"}, Started: time.Now(), OnPeersChanged: func() {}})
	for _, name := range []string{"a", "b", "c"} {
		m.links[name] = &peerLink{
			address: name, reconnecting: true, started: startedAt(time.Now().Add(-time.Minute)),
			identity: Identity{Name: name, CPU: 1}, pingRequests: make(chan struct{}, 1),
		}
	}
	pinged := func() (names []string) {
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
	first := pinged()
	m.electDispatcher(nil)
	if again := pinged(); len(first) != 1 || len(again) != 0 {
		t.Fatalf("pinged %v at the election and %v at the next one, want one hub and none", first, again)
	}
	m.links[first[0]].reconnecting = false
	m.electDispatcher(nil)
	if second := pinged(); len(second) != 1 || second[0] == first[0] {
		t.Errorf("pinged %v after %v was lost", second, first)
	}
}

// Hundreds of entries may start at once, and serve no requests until they know the
// configuration. A peer that knows it says so in its Hello, and its states are fetched
// before the first ping.
func TestHelloCarriesDigests(t *testing.T) {
	meshes, _ := largeMesh(t, 2)
	synced, starting := meshes[0], meshes[1]
	synced.o.Follower.ApplyStates([]follow.State{{Kind: "servers", Revision: 1, Full: true, Objects: []fleet.Object{{Name: "s", Revision: 1}}}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	synced.o.Self.Address = l.Addr().String() // the entry that starts may link to it twice, as it is dialled as well
	firstCall := make(chan string, 1)
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		if r.Method != methodHello {
			select {
			case firstCall <- r.Method:
			default:
			}
		}
		return synced.handle(ctx, conn, r)
	})
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(raw), handler)
		}
	}()
	starting.Add(t.Context(), []string{l.Addr().String()})
	if first := <-firstCall; first != methodStates {
		t.Errorf("%s was called before the states were fetched", first)
	}
	await(t, "the entry to sync", starting.o.Follower.HasSynced)
	if n := len(starting.hello().Digests); n != 1 {
		t.Errorf("the Hello carries %d digests of learnt kinds, want 1", n)
	}
}

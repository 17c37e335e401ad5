package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/platform/fleet"
)

// fakeStore answers with a fixed list and with the results of a watch function.
type fakeStore struct {
	mu        sync.Mutex
	list      fleet.Changes
	watch     func(ctx context.Context, after int64) (fleet.Changes, error)
	listCalls int
	// listDelay is how long a list takes.
	listDelay time.Duration
}

func (s *fakeStore) List(ctx context.Context, _ string, _ bool) (fleet.Changes, error) {
	if s.listDelay > 0 {
		select {
		case <-ctx.Done():
			return fleet.Changes{}, fleet.Unavailable.Wrap(ctx.Err())
		case <-time.After(s.listDelay):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listCalls++
	return s.list, nil
}

func (s *fakeStore) listCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCalls
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after int64, _ time.Duration) (fleet.Changes, error) {
	return s.watch(ctx, after)
}

func object(name string, revision int64) fleet.Object {
	return fleet.Object{Name: name, Revision: revision, Spec: json.RawMessage(`{}`)}
}

func newFollower(s Store, onChange func(map[string]fleet.Object, bool)) *Follower {
	return New(Options{
		Store: s, Kinds: []string{"k"}, Logger: slog.New(slog.DiscardHandler),
		OnChange: func(c Change) { onChange(c.Objects, c.Gap) },
	})
}

// A watch whose connection goes silent must end soon after its wait time, and the objects must be
// listed again.
func TestSilentWatchIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeStore{list: fleet.Changes{Revision: 5, Objects: []fleet.Object{object("a", 5)}}}
		s.watch = func(ctx context.Context, _ int64) (fleet.Changes, error) {
			s.mu.Lock()
			s.list = fleet.Changes{Revision: 9, Objects: []fleet.Object{object("a", 5), object("b", 9)}}
			s.mu.Unlock()
			<-ctx.Done()
			return fleet.Changes{}, fleet.Unavailable.Wrap(ctx.Err())
		}
		var changedAt time.Time
		f := newFollower(s, func(objects map[string]fleet.Object, _ bool) {
			if len(objects) == 2 && changedAt.IsZero() {
				changedAt = time.Now()
			}
		})
		start := time.Now()
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		if elapsed := changedAt.Sub(start); changedAt.IsZero() || elapsed > 2*time.Second {
			t.Errorf("the change was received after %v, want at most 2 s", elapsed)
		}
	})
}

// A list of many pages may take seconds over a slow link and must not be abandoned.
func TestSlowListCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeStore{list: fleet.Changes{Revision: 5, Objects: []fleet.Object{object("a", 5)}}, listDelay: 4 * time.Second}
		s.watch = func(ctx context.Context, _ int64) (fleet.Changes, error) {
			<-ctx.Done()
			return fleet.Changes{}, fleet.Unavailable.Wrap(ctx.Err())
		}
		f := newFollower(s, func(map[string]fleet.Object, bool) {})
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(5 * time.Second)
		if !f.HasSynced() {
			t.Error("not synced: the list was abandoned")
		}
		cancel()
		<-done
	})
}

// A starting entry whose peers are expected to send their states must read the store only if they
// do not.
func TestStartWaitsForPeers(t *testing.T) {
	for _, peersSend := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &fakeStore{list: fleet.Changes{Revision: 5}}
			s.watch = func(ctx context.Context, _ int64) (fleet.Changes, error) {
				<-ctx.Done()
				return fleet.Changes{}, fleet.Unavailable.Wrap(ctx.Err())
			}
			f := newFollower(s, func(map[string]fleet.Object, bool) {})
			start := time.Now()
			f.o.AwaitsPeers = func() bool { return time.Since(start) < 2*time.Second }
			f.o.ReadsStore = func() bool { return !peersSend }
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			time.Sleep(time.Second)
			if peersSend {
				f.ApplyStates([]State{{Kind: "k", Revision: 4, Full: true}})
			}
			if f.HasSynced() != peersSend || s.listCount() != 0 {
				t.Errorf("peers send states: %t; after one second synced: %t, %d lists", peersSend, f.HasSynced(), s.listCount())
			}
			time.Sleep(2 * time.Second)
			if !f.HasSynced() || (s.listCount() > 0) == peersSend {
				t.Errorf("peers send states: %t; after three seconds synced: %t, %d lists", peersSend, f.HasSynced(), s.listCount())
			}
			cancel()
			<-done
		})
	}
}

// The calls to a store that does not answer must become less frequent.
func TestOutageBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		calls := 0
		s := &fakeStore{list: fleet.Changes{Revision: 1}}
		s.watch = func(context.Context, int64) (fleet.Changes, error) {
			calls++
			return fleet.Changes{}, fleet.Unavailable.New("busy")
		}
		f := newFollower(s, func(map[string]fleet.Object, bool) {})
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if calls > 15 {
			t.Errorf("%d calls in ten seconds of outage, want at most 15", calls)
		}
	})
}

// A list that was answered took back the pause after a watch whose response could not be read, so that the store was
// listed again and again.
func TestUnreadableWatchesBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeStore{list: fleet.Changes{Revision: 1}}
		s.watch = func(context.Context, int64) (fleet.Changes, error) {
			return fleet.Changes{}, fleet.HistoryGone.New("unreadable response")
		}
		f := newFollower(s, func(map[string]fleet.Object, bool) {})
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if n := s.listCount(); n > 15 {
			t.Errorf("%d lists in ten seconds of unreadable watches, want at most 15", n)
		}
	})
}

// Whatever states arrive in whatever order, from the store or from peers, a follower must never go
// back to an older revision, and two followers that received the same newest state must agree.
func TestStatesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &fakeStore{}
		var latest int64
		f := newFollower(s, func(objects map[string]fleet.Object, _ bool) {
			for _, o := range objects {
				if o.Name == "version" {
					if o.Revision < latest {
						rt.Fatalf("object went back from revision %d to %d", latest, o.Revision)
					}
					latest = o.Revision
				}
			}
		})
		g := newFollower(s, func(map[string]fleet.Object, bool) {})
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			revision := int64(rapid.IntRange(1, 50).Draw(rt, "revision"))
			objects := []fleet.Object{object("version", revision), object("old", 1)}
			switch rapid.IntRange(0, 2).Draw(rt, "way") {
			case 0:
				f.replaceState("k", point{revision: revision}, objects, true)
			case 1:
				f.ApplyStates([]State{{Kind: "k", Revision: revision, Full: true, Objects: objects}})
			default:
				if f.HasSynced() {
					f.applyWatch("k", fleet.Changes{Revision: revision, Objects: objects[:1]})
				}
			}
			if stale := g.StaleKinds(f.Digests()); len(stale) > 0 {
				exchangeStates(f, g, stale)
			}
		}
		if d, e := f.Digests(), g.Digests(); len(d) > 0 && (len(e) == 0 || d[0].Checksum != e[0].Checksum) {
			rt.Fatalf("digests differ: %v and %v", d, e)
		}
	})
}

// exchangeStates lets one follower fetch states from another until it is up to date, and returns
// what was sent.
func exchangeStates(from, to *Follower, stale []Position) (sent []State) {
	for len(stale) > 0 && len(sent) < 3 {
		states := from.StatesSince(stale)
		sent = append(sent, states...)
		_, stale = to.ApplyStates(states)
	}
	return sent
}

// In a deployment of 3,000 endpoints, of which a few start, restart and end at a time, entries must
// exchange only the changed objects. The full state is sent only to an entry that has no earlier
// one.
func TestStatesCarryOnlyChanges(t *testing.T) {
	const endpoints = 3000
	f := newFollower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	g := newFollower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	var list []fleet.Object
	for i := range endpoints {
		list = append(list, object(fmt.Sprint("e-", i), 1))
	}
	f.replaceState("k", point{revision: 1}, list, true)
	if sent := exchangeStates(f, g, g.StaleKinds(f.Digests())); len(sent) != 1 || g.Digests()[0] != f.Digests()[0] {
		t.Fatalf("the first exchange took %d states, want 1", len(sent))
	}
	steps := []struct {
		name    string
		changes []fleet.Object
		steps   int
	}{
		{"endpoint starts", []fleet.Object{object("new", 10)}, 1},
		{"endpoint restarts", []fleet.Object{object("e-7", 11)}, 1},
		{"endpoint ends", []fleet.Object{{Name: "e-8", Revision: 12, Deleted: true}}, 1},
		{"endpoint ends and restarts", []fleet.Object{{Name: "e-9", Revision: 13, Deleted: true}, object("e-9", 14)}, 1},
	}
	for _, s := range steps {
		f.applyWatch("k", fleet.Changes{Revision: s.changes[len(s.changes)-1].Revision, Objects: s.changes})
		sent := exchangeStates(f, g, g.StaleKinds(f.Digests()))
		if len(sent) != s.steps || len(sent[0].Objects)+len(sent[0].Deletions)+len(sent[0].Names) > 2 {
			t.Errorf("%s: %d states sent, %d objects and %d names in the first", s.name, len(sent), len(sent[0].Objects), len(sent[0].Names))
		}
		if len(g.StaleKinds(f.Digests())) > 0 || g.Digests()[0] != f.Digests()[0] {
			t.Errorf("%s: digests differ: %v and %v", s.name, f.Digests(), g.Digests())
		}
	}
}

// An entry that started after a deletion has no record of it. An entry that is behind must receive
// the names of all objects from it, and no object a second time.
func TestMissedDeletionIsFoundByChecksum(t *testing.T) {
	behind := newFollower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	behind.replaceState("k", point{revision: 5}, []fleet.Object{object("a", 1), object("b", 2), object("c", 3)}, true)
	restarted := newFollower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	restarted.replaceState("k", point{revision: 9}, []fleet.Object{object("a", 1), object("c", 3)}, true)
	sent := exchangeStates(restarted, behind, behind.StaleKinds(restarted.Digests()))
	if len(sent) != 2 || len(sent[1].Names) != 2 || len(sent[1].Objects) != 0 {
		t.Errorf("sent %+v, want 2 states, the second with 2 names and no objects", sent)
	}
	if got := behind.Digests()[0]; got != restarted.Digests()[0] {
		t.Errorf("digests are %v, want %v", got, restarted.Digests()[0])
	}
}

// Hundreds of entries on slow links start at once and ask the hubs for thousands of endpoints. A
// compressed full state takes about a tenth of its size and must not take more than an eighth. A
// damaged one must be rejected.
func TestFullStatesAreCompressed(t *testing.T) {
	f := newFollower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	var list []fleet.Object
	for i := range 3000 {
		o := object(fmt.Sprint("i-", i*7919), int64(i))
		o.Spec = json.RawMessage(fmt.Sprintf(`{"address":"10.4.%d.%d:8689","service":"dispatch-api","zone":"portmore","state":"ready","slots":6,"coldRemainingMs":0,"seq":%d,"born":1767225600}`, i/200, i%200, i))
		list = append(list, o)
	}
	f.replaceState("k", point{revision: 3000}, list, true)
	states := f.StatesSince([]Position{{Kind: "k"}})
	sent, err := json.Marshal(states)
	if err != nil {
		t.Fatal(err)
	}
	uncompressed, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	if len(sent) > len(uncompressed)/8 {
		t.Errorf("compressed state has %d bytes, uncompressed objects have %d", len(sent), len(uncompressed))
	}
	var received []State
	if err := json.Unmarshal(sent, &received); err != nil {
		t.Fatal(err)
	}
	g := newFollower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	damaged := received[0]
	damaged.Compressed = damaged.Compressed[:len(damaged.Compressed)/2]
	if newer, _ := g.ApplyStates([]State{damaged}); len(newer) != 0 || g.HasSynced() {
		t.Error("a truncated state was accepted")
	}
	g.ApplyStates(received)
	if len(g.Digests()) != 1 || g.Digests()[0] != f.Digests()[0] {
		t.Errorf("digests are %v, want %v", g.Digests(), f.Digests())
	}
}

// A store that was restored from a backup issues revisions again. Its older state must replace the
// known one, whether a watch is refused, or answers with events of the new era only.
func TestRestoredStoreIsListedAgain(t *testing.T) {
	answers := map[string]func() (fleet.Changes, error){
		"watch refused": func() (fleet.Changes, error) { return fleet.Changes{}, fleet.HistoryGone.New("410") },
		"watch answers in the new era": func() (fleet.Changes, error) {
			return fleet.Changes{Era: 2, Revision: 12, Objects: []fleet.Object{object("late", 12)}}, nil
		},
	}
	for name, answer := range answers {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &fakeStore{list: fleet.Changes{Era: 1, Revision: 10, Objects: []fleet.Object{object("a", 3), object("lost", 10)}}}
			restored := fleet.Changes{Era: 2, Revision: 7, Objects: []fleet.Object{object("a", 3), object("back", 7)}}
			watches := 0
			s.watch = func(ctx context.Context, after int64) (fleet.Changes, error) {
				if watches++; watches == 1 {
					s.mu.Lock()
					s.list = restored
					s.mu.Unlock()
					return answer()
				}
				if after != restored.Revision {
					t.Errorf("%s: watch from revision %d, want %d", name, after, restored.Revision)
				}
				<-ctx.Done()
				return fleet.Changes{}, fleet.Unavailable.Wrap(ctx.Err())
			}
			var last Change
			f := newFollower(s, nil)
			f.o.OnChange = func(c Change) { last = c }
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			time.Sleep(time.Second)
			cancel()
			<-done
			if _, found := last.Objects["back"]; !found || len(last.Objects) != 2 || !last.Restored {
				t.Errorf("%s: last change is %+v, want the restored state", name, last)
			}
		})
	}
}

// A list that answers in an earlier era than the known one must not replace the state, and the store
// must not be called without a pause.
func TestOutdatedEraIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeStore{list: fleet.Changes{Era: 1, Revision: 50, Objects: []fleet.Object{object("old", 50)}}}
		s.watch = func(context.Context, int64) (fleet.Changes, error) { return fleet.Changes{Era: 1, Revision: 50}, nil }
		f := newFollower(s, func(map[string]fleet.Object, bool) {})
		f.ApplyStates([]State{{Kind: "k", Era: 2, Revision: 4, Full: true, Objects: []fleet.Object{object("new", 4)}}})
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if d := f.Digests()[0]; d.Era != 2 || d.Revision != 4 {
			t.Errorf("digest is %+v, want era 2, revision 4", d)
		}
		if n := s.listCount(); n > 20 {
			t.Errorf("%d lists in ten seconds", n)
		}
	})
}

// Entries that reach the restored store tell those that do not. States of the earlier era must not
// be taken any more, whatever their revision, and an object whose revision was issued again for
// another content must be replaced.
func TestErasAreExchanged(t *testing.T) {
	reissued := object("b", 8)
	reissued.Spec = json.RawMessage(`{"state":"another"}`)
	restored := newFollower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	restored.replaceState("k", point{2, 8}, []fleet.Object{object("a", 3), reissued}, true)
	behind := newFollower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	behind.replaceState("k", point{1, 8}, []fleet.Object{object("a", 3), object("b", 8)}, true)
	if stale := restored.StaleKinds(behind.Digests()); len(stale) != 0 {
		t.Errorf("the restored state asks for the earlier era: %+v", stale)
	}
	if newer, missing := restored.ApplyStates(behind.StatesSince([]Position{{Kind: "k"}})); len(newer)+len(missing) != 0 {
		t.Errorf("a state of the earlier era was taken: %v, %v", newer, missing)
	}
	exchangeStates(restored, behind, behind.StaleKinds(restored.Digests()))
	if got, want := behind.Digests()[0], restored.Digests()[0]; got != want {
		t.Errorf("digest is %+v, want %+v", got, want)
	}
	if got := string(behind.kinds["k"].objects["b"].Spec); got != string(reissued.Spec) {
		t.Errorf("the reissued object is %s, want %s", got, reissued.Spec)
	}
}

// An entry that has read only one kind, because its state was overdue, does not follow the store: its
// peers must not rely on it.
func TestLastContactIsOfAllKinds(t *testing.T) {
	for range 20 { // the order of a map is random
		f := New(Options{Kinds: []string{"k", "other"}, OnChange: func(Change) {}, Logger: slog.New(slog.DiscardHandler)})
		f.replaceState("k", point{revision: 1}, nil, true)
		if at := f.LastContact(); !at.IsZero() {
			t.Fatalf("last contact %v, although the store never answered for one kind", at)
		}
		f.replaceState("other", point{revision: 1}, nil, true)
		if f.LastContact().IsZero() {
			t.Fatal("no last contact after the store answered for all kinds")
		}
	}
}

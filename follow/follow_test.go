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

// fakeStore answers from a script.
type fakeStore struct {
	mu    sync.Mutex
	list  fleet.Changes
	watch func(ctx context.Context, after int64) (fleet.Changes, error)
	lists int
	// takes is how long a list takes.
	takes time.Duration
}

func (s *fakeStore) List(ctx context.Context, _ string, _ bool) (fleet.Changes, error) {
	if s.takes > 0 {
		select {
		case <-ctx.Done():
			return fleet.Changes{}, fleet.Unavailable.Wrap(ctx.Err())
		case <-time.After(s.takes):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.list, nil
}

func (s *fakeStore) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after int64, _ time.Duration) (fleet.Changes, error) {
	return s.watch(ctx, after)
}

func object(name string, revision int64) fleet.Object {
	return fleet.Object{Name: name, Revision: revision, Spec: json.RawMessage(`{}`)}
}

func follower(s Store, changed func(map[string]fleet.Object, bool)) *Follower {
	return New(Options{
		Store: s, Kinds: []string{"k"}, Logger: slog.New(slog.DiscardHandler),
		OnChange: func(_ string, objects map[string]fleet.Object, gap bool) { changed(objects, gap) },
	})
}

// A connection that goes silent for good ends the watch soon after its wait, and
// the list is read again.
func TestSilentWatchIsLeft(t *testing.T) {
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
		var learnt time.Time
		f := follower(s, func(objects map[string]fleet.Object, _ bool) {
			if len(objects) == 2 && learnt.IsZero() {
				learnt = time.Now()
			}
		})
		began := time.Now()
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		if took := learnt.Sub(began); learnt.IsZero() || took > 2*time.Second {
			t.Errorf("the change was learnt after %v", took)
		}
	})
}

// A list of many pages may take seconds over a slow link.
func TestLongListIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeStore{list: fleet.Changes{Revision: 5, Objects: []fleet.Object{object("a", 5)}}, takes: 4 * time.Second}
		s.watch = func(ctx context.Context, _ int64) (fleet.Changes, error) {
			<-ctx.Done()
			return fleet.Changes{}, fleet.Unavailable.Wrap(ctx.Err())
		}
		f := follower(s, func(map[string]fleet.Object, bool) {})
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(5 * time.Second)
		if !f.HasSynced() {
			t.Error("the list was given up")
		}
		cancel()
		<-done
	})
}

// An entry that others are about to tell what it does not know asks the store
// only when they have not.
func TestStartWaitsForOthers(t *testing.T) {
	for _, told := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &fakeStore{list: fleet.Changes{Revision: 5}}
			s.watch = func(ctx context.Context, _ int64) (fleet.Changes, error) {
				<-ctx.Done()
				return fleet.Changes{}, fleet.Unavailable.Wrap(ctx.Err())
			}
			f := follower(s, func(map[string]fleet.Object, bool) {})
			began := time.Now()
			f.o.AwaitsPeers = func() bool { return time.Since(began) < 2*time.Second }
			f.o.ReadsStore = func() bool { return !told }
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			time.Sleep(time.Second)
			if told {
				f.ApplyStates([]State{{Kind: "k", Revision: 4, Full: true}})
			}
			if f.HasSynced() != told || s.listed() != 0 {
				t.Errorf("told %t: known %t after a second, %d lists", told, f.HasSynced(), s.listed())
			}
			time.Sleep(2 * time.Second)
			if !f.HasSynced() || (s.listed() > 0) == told {
				t.Errorf("told %t: known %t at the end, %d lists", told, f.HasSynced(), s.listed())
			}
			cancel()
			<-done
		})
	}
}

// A store that does not answer is asked ever more rarely.
func TestOutageIsAskedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		calls := 0
		s := &fakeStore{list: fleet.Changes{Revision: 1}}
		s.watch = func(context.Context, int64) (fleet.Changes, error) {
			calls++
			return fleet.Changes{}, fleet.Unavailable.New("busy")
		}
		f := follower(s, func(map[string]fleet.Object, bool) {})
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		if calls > 15 {
			t.Errorf("%d calls in ten seconds of outage", calls)
		}
	})
}

// Whatever states come in whatever order, from the store or from others, a
// follower never goes back to an older revision, and two that have heard the
// same newest state agree.
func TestStatesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &fakeStore{}
		var seen int64
		f := follower(s, func(objects map[string]fleet.Object, _ bool) {
			for _, o := range objects {
				if o.Name == "version" {
					if o.Revision < seen {
						rt.Fatalf("went back from %d to %d", seen, o.Revision)
					}
					seen = o.Revision
				}
			}
		})
		g := follower(s, func(map[string]fleet.Object, bool) {})
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			revision := int64(rapid.IntRange(1, 50).Draw(rt, "revision"))
			objects := []fleet.Object{object("version", revision), object("old", 1)}
			switch rapid.IntRange(0, 2).Draw(rt, "way") {
			case 0:
				f.replace("k", revision, objects, true)
			case 1:
				f.ApplyStates([]State{{Kind: "k", Revision: revision, Full: true, Objects: objects}})
			default:
				if f.HasSynced() {
					f.update("k", fleet.Changes{Revision: revision, Objects: objects[:1]})
				}
			}
			if behind := g.StaleKinds(f.Digests()); len(behind) > 0 {
				learnAll(f, g, behind)
			}
		}
		if d, e := f.Digests(), g.Digests(); len(d) > 0 && (len(e) == 0 || d[0].Checksum != e[0].Checksum) {
			rt.Fatalf("%v and %v", d, e)
		}
	})
}

// learnAll has one follower learn from another, and returns what was sent.
func learnAll(from, to *Follower, behind []Position) (sent []State) {
	for len(behind) > 0 && len(sent) < 3 {
		states := from.StatesSince(behind)
		sent = append(sent, states...)
		_, behind = to.ApplyStates(states)
	}
	return sent
}

// The load: a deployment of 3,000 endpoints of which a few start, restart and
// end at a time. Entries tell each other those few, and everything only when
// one of them knows nothing of the other's past.
func TestStatesCarryChangesOnly(t *testing.T) {
	const endpoints = 3000
	f := follower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	g := follower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	var list []fleet.Object
	for i := range endpoints {
		list = append(list, object(fmt.Sprint("e-", i), 1))
	}
	f.replace("k", 1, list, true)
	if sent := learnAll(f, g, g.StaleKinds(f.Digests())); len(sent) != 1 || g.Digests()[0] != f.Digests()[0] {
		t.Fatalf("the first state came in %d steps", len(sent))
	}
	steps := []struct {
		name    string
		changes []fleet.Object
		steps   int
	}{
		{"one starts", []fleet.Object{object("new", 10)}, 1},
		{"one restarts", []fleet.Object{object("e-7", 11)}, 1},
		{"one ends", []fleet.Object{{Name: "e-8", Revision: 12, Deleted: true}}, 1},
		{"one ends and starts anew", []fleet.Object{{Name: "e-9", Revision: 13, Deleted: true}, object("e-9", 14)}, 1},
	}
	for _, s := range steps {
		f.update("k", fleet.Changes{Revision: s.changes[len(s.changes)-1].Revision, Objects: s.changes})
		sent := learnAll(f, g, g.StaleKinds(f.Digests()))
		if len(sent) != s.steps || len(sent[0].Objects)+len(sent[0].Deletions)+len(sent[0].Names) > 2 {
			t.Errorf("%s: %d steps, %d objects, %d names", s.name, len(sent), len(sent[0].Objects), len(sent[0].Names))
		}
		if len(g.StaleKinds(f.Digests())) > 0 || g.Digests()[0] != f.Digests()[0] {
			t.Errorf("%s: %v and %v", s.name, f.Digests(), g.Digests())
		}
	}
}

// An entry that started after a deletion does not know of it: one that is behind
// is told the names, and no object again.
func TestMissedDeletionIsFoundByTheSum(t *testing.T) {
	behind := follower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	behind.replace("k", 5, []fleet.Object{object("a", 1), object("b", 2), object("c", 3)}, true)
	started := follower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	started.replace("k", 9, []fleet.Object{object("a", 1), object("c", 3)}, true)
	sent := learnAll(started, behind, behind.StaleKinds(started.Digests()))
	if len(sent) != 2 || len(sent[1].Names) != 2 || len(sent[1].Objects) != 0 {
		t.Errorf("sent %+v", sent)
	}
	if got := behind.Digests()[0]; got != started.Digests()[0] {
		t.Errorf("%v instead of %v", got, started.Digests()[0])
	}
}

// The load pattern: hundreds of entries on slow links start at once and ask the
// hubs for thousands of endpoints. A whole state takes a tenth of its size, and
// a damaged one is not taken.
func TestWholeStatesArePacked(t *testing.T) {
	f := follower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	var list []fleet.Object
	for i := range 3000 {
		o := object(fmt.Sprint("i-", i*7919), int64(i))
		o.Spec = json.RawMessage(fmt.Sprintf(`{"address":"10.4.%d.%d:8689","service":"dispatch-api","zone":"portmore","state":"ready","slots":6,"coldRemainingMs":0,"seq":%d,"born":1767225600}`, i/200, i%200, i))
		list = append(list, o)
	}
	f.replace("k", 3000, list, true)
	states := f.StatesSince([]Position{{Kind: "k"}})
	sent, err := json.Marshal(states)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	if len(sent) > len(plain)/8 {
		t.Errorf("%d bytes instead of %d", len(sent), len(plain))
	}
	var read []State
	if err := json.Unmarshal(sent, &read); err != nil {
		t.Fatal(err)
	}
	g := follower(&fakeStore{}, func(map[string]fleet.Object, bool) {})
	damaged := read[0]
	damaged.Compressed = damaged.Compressed[:len(damaged.Compressed)/2]
	if newer, _ := g.ApplyStates([]State{damaged}); len(newer) != 0 || g.HasSynced() {
		t.Error("half a state was taken for the whole")
	}
	g.ApplyStates(read)
	if len(g.Digests()) != 1 || g.Digests()[0] != f.Digests()[0] {
		t.Errorf("%v instead of %v", g.Digests(), f.Digests())
	}
}

package follow

import (
	"context"
	"encoding/json"
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
}

func (s *fakeStore) List(context.Context, string, bool) (fleet.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.list, nil
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
		Changed: func(_ string, objects map[string]fleet.Object, gap bool) { changed(objects, gap) },
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
				f.Learn([]State{{Kind: "k", Revision: revision, Names: []string{"version", "old"}, Objects: objects}})
			default:
				if f.Known() {
					f.update("k", fleet.Changes{Revision: revision, Objects: objects[:1]})
				}
			}
			if behind := g.Behind(f.Digests()); len(behind) > 0 {
				_, lacking := g.Learn(f.States(behind))
				if len(lacking) > 0 {
					g.Learn(f.States(lacking))
				}
			}
		}
		if d, e := f.Digests(), g.Digests(); len(d) > 0 && (len(e) == 0 || d[0].Sum != e[0].Sum) {
			rt.Fatalf("%v and %v", d, e)
		}
	})
}

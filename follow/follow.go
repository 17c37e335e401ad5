// Package follow keeps what a process believes of the platform's objects: it
// lists and watches each kind, and takes newer states from other entries, so
// that a process that cannot reach the store still learns of changes. A state
// never goes back to an older revision.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
)

const (
	// watchWait is how long one watch waits; it is a fraction of the operators'
	// bound on applying a configuration, as a watch may hear nothing.
	watchWait = 1400 * time.Millisecond
	// answerSlack is how much longer than its wait a watch may take.
	answerSlack = 400 * time.Millisecond
	// listTimeout bounds one list, which may have many pages with their own bounds.
	listTimeout = 10 * time.Second
	// gather lets changes that come in quick succession be read in one call.
	gather = 80 * time.Millisecond
	// idlePoll is how often an entry that leaves the store to others looks
	// whether they still hear it.
	idlePoll = 200 * time.Millisecond
	// startPoll is how often an entry that knows nothing yet looks whether others
	// told it.
	startPoll = 10 * time.Millisecond
	// minBackoff and maxBackoff pace the calls while the store does not answer.
	minBackoff = 150 * time.Millisecond
	maxBackoff = time.Second
)

// Store is the part of the platform's store that a follower needs.
type Store interface {
	List(ctx context.Context, kind string, stale bool) (fleet.Changes, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (fleet.Changes, error)
}

// Options configures a Follower.
type Options struct {
	Store Store
	Kinds []string
	// ReadsStore reports whether this entry asks the store itself; one that does not
	// learns from other entries. Nil asks always.
	ReadsStore func() bool
	// AwaitsPeers reports whether other entries are about to tell what this one does
	// not know yet, so that it need not ask the store. Nil never waits.
	AwaitsPeers func() bool
	// OnChange is called after a kind's objects changed, with the objects by
	// name; gap is set when the store was not heard for a while before. Calls do
	// not overlap.
	OnChange func(kind string, objects map[string]fleet.Object, gap bool)
	Logger   *slog.Logger
}

// Follower follows some kinds of objects. It is safe for concurrent use.
type Follower struct {
	o Options

	mu    sync.Mutex
	kinds map[string]*kind
	apply sync.Mutex
}

type kind struct {
	known    bool
	revision int64
	objects  map[string]fleet.Object
	// sum is that of the objects.
	sum   uint64
	heard time.Time
	told  bool
	// pack is the compressed form of all objects while their sum is packSum.
	pack    []byte
	packSum uint64
	// gone are the latest deletions, oldest first.
	gone []Deletion
}

// set replaces the objects at a revision and notes which names vanished.
func (k *kind) set(revision int64, objects map[string]fleet.Object) {
	for name := range k.objects {
		if _, found := objects[name]; !found {
			k.gone = append(k.gone, Deletion{Name: name, Revision: revision})
		}
	}
	if n := len(k.gone) - maxGone; n > 0 {
		k.gone = slices.Delete(k.gone, 0, n)
	}
	k.known, k.revision, k.objects, k.sum = true, revision, objects, sum(objects)
}

// New returns a follower that knows nothing.
func New(o Options) *Follower {
	if o.ReadsStore == nil {
		o.ReadsStore = func() bool { return true }
	}
	if o.AwaitsPeers == nil {
		o.AwaitsPeers = func() bool { return false }
	}
	f := &Follower{o: o, kinds: make(map[string]*kind)}
	for _, k := range o.Kinds {
		f.kinds[k] = &kind{objects: make(map[string]fleet.Object)}
	}
	return f
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, name := range f.o.Kinds {
		all.Go(func() { f.follow(ctx, name) })
	}
	all.Wait()
}

// HasSynced reports whether every kind was learnt of.
func (f *Follower) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.kinds {
		if !k.known {
			return false
		}
	}
	return true
}

// LastContact returns when the store last answered for all kinds.
func (f *Follower) LastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var oldest time.Time
	for _, k := range f.kinds {
		if oldest.IsZero() || k.heard.Before(oldest) {
			oldest = k.heard
		}
	}
	return oldest
}

func (f *Follower) follow(ctx context.Context, name string) {
	backoff := minBackoff
	mustList := true
	for ctx.Err() == nil {
		_, known := f.position(name)
		switch {
		case known && !f.o.ReadsStore():
			pause(ctx, idlePoll)
			continue
		case !known && f.o.AwaitsPeers():
			pause(ctx, startPoll)
			continue
		}
		err := f.step(ctx, name, mustList)
		switch {
		case err == nil:
			mustList, backoff = false, minBackoff
			continue
		case ctx.Err() != nil:
			return
		case fleet.HistoryGone.Has(err):
			f.o.Logger.Info("store history gone, listing again", "kind", name)
			mustList = true
			continue
		}
		if backoff == minBackoff {
			f.o.Logger.Warn("store does not answer", "kind", name, "error", err)
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// step makes one call: a list, or a watch from the revision that is known.
func (f *Follower) step(ctx context.Context, name string, list bool) error {
	revision, known := f.position(name)
	if list || !known {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		changes, err := f.o.Store.List(ctx, name, false)
		if err == nil {
			f.replace(name, changes.Revision, changes.Objects, true)
		}
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+answerSlack)
	defer cancel()
	changes, err := f.o.Store.Watch(ctx, name, revision, watchWait)
	if errors.Is(err, context.DeadlineExceeded) {
		return fleet.HistoryGone.New("a watch was silent for longer than it waits")
	}
	if err != nil {
		return err
	}
	f.update(name, changes)
	if len(changes.Objects) > 0 {
		pause(ctx, gather)
	}
	return nil
}

func (f *Follower) position(name string) (revision int64, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[name]
	return k.revision, k.known
}

// replace takes a whole state if it is newer than the one that is known.
func (f *Follower) replace(name string, revision int64, objects []fleet.Object, fromStore bool) bool {
	f.apply.Lock()
	defer f.apply.Unlock()
	f.mu.Lock()
	k := f.kinds[name]
	if k.known && revision < k.revision || k.known && revision == k.revision && !fromStore {
		f.mu.Unlock()
		return false
	}
	gap := f.hear(k, fromStore)
	before := k.sum
	byName := make(map[string]fleet.Object, len(objects))
	for _, o := range objects {
		byName[o.Name] = o
	}
	k.set(revision, byName)
	f.publish(name, k, before, gap)
	return true
}

// update takes the changes that a watch brought.
func (f *Follower) update(name string, changes fleet.Changes) {
	f.apply.Lock()
	defer f.apply.Unlock()
	f.mu.Lock()
	k := f.kinds[name]
	gap := f.hear(k, true)
	before := k.sum
	if len(changes.Objects) > 0 {
		k.set(max(k.revision, changes.Revision), applied(k.objects, changes.Objects))
	}
	k.revision = max(k.revision, changes.Revision)
	f.publish(name, k, before, gap)
}

// applied are the objects after changes, of which older ones are passed over.
func applied(objects map[string]fleet.Object, changes []fleet.Object) map[string]fleet.Object {
	after := make(map[string]fleet.Object, len(objects)+len(changes))
	maps.Copy(after, objects)
	for _, o := range changes {
		known, found := after[o.Name]
		switch {
		case found && known.Revision > o.Revision:
		case o.Deleted:
			delete(after, o.Name)
		default:
			after[o.Name] = o
		}
	}
	return after
}

// outage is how long the store is not heard before entries may have expired
// although their endpoints live.
const outage = 3 * time.Second

// hear notes that the store answered and reports whether it had been silent.
func (f *Follower) hear(k *kind, fromStore bool) bool {
	now := time.Now()
	gap := !k.heard.IsZero() && now.Sub(k.heard) > outage
	if fromStore {
		k.heard = now
	}
	return gap
}

// publish tells of a changed state. It unlocks f.mu.
func (f *Follower) publish(name string, k *kind, before uint64, gap bool) {
	objects, first := k.objects, k.revision
	changed := !k.told || k.sum != before
	k.told = true
	f.mu.Unlock()
	if changed {
		f.o.Logger.Info("objects changed", "kind", name, "revision", first, "objects", len(objects))
		f.o.OnChange(name, objects, gap)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Package follow keeps a local copy of the platform's objects. It lists and watches each kind in
// the store and merges newer states from other entries, so that a process that cannot reach the
// store still receives changes. A state never goes back to an older revision, unless the store
// itself was restored from a backup, which shows as a new era.
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
	// watchTimeout is how long one watch waits for changes. It is a fraction of the operators'
	// limit on the time to apply a configuration, because a watch whose connection has gone silent
	// delivers nothing until it ends.
	watchTimeout = 1400 * time.Millisecond
	// watchSlack is how much longer than watchTimeout a watch may take to answer. Once it answers, it
	// may take as long as it makes progress.
	watchSlack = 400 * time.Millisecond
	// coalesceDelay is the pause after a change, so that further changes in quick succession are
	// read in one call.
	coalesceDelay = 80 * time.Millisecond
	// idlePollInterval is how often an entry that leaves the store to others checks whether it has
	// to read the store itself.
	idlePollInterval = 200 * time.Millisecond
	// startPollInterval is how often a starting entry checks whether it still has to wait for
	// states of other entries.
	startPollInterval = 10 * time.Millisecond
	// maxBehind is how long a peer may be known to have a newer state before an entry that leaves the
	// store to others reads the store itself. Together with a read over a slow link it is less than the
	// operators' limit on the time to apply a configuration.
	maxBehind = 700 * time.Millisecond
	// overdueReadLead is how long such a read has the link to itself before peers are asked again.
	overdueReadLead = time.Second
	// minBackoff and maxBackoff bound the delay between calls while the store does not answer.
	minBackoff = 150 * time.Millisecond
	maxBackoff = time.Second
)

// Store is the part of the platform's store that a Follower needs.
type Store interface {
	// List returns all objects of a kind. It ends by itself if the store does not answer.
	List(ctx context.Context, kind string, stale bool) (fleet.Changes, error)
	// Watch returns the changes after a revision. It records its progress in ctx.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (fleet.Changes, error)
}

// Options configures a Follower.
type Options struct {
	Store Store
	Kinds []string
	// ReadsStore reports whether this entry reads the store itself; otherwise it receives changes
	// from other entries. If it is nil, the entry always reads the store.
	ReadsStore func() bool
	// AwaitsPeers reports whether other entries are expected to send the states that this entry
	// lacks, so that it need not read the store. If it is nil, the entry never waits.
	AwaitsPeers func() bool
	// PeersContact returns when the store last answered a peer. If it is nil, only answers to this entry
	// are known.
	PeersContact func() time.Time
	// OnChange is called after the objects of a kind have changed. Calls do not overlap.
	OnChange func(Change)
	Logger   *slog.Logger
}

// Change is a new state of one kind of objects.
type Change struct {
	Kind string
	// Objects are all objects of the kind by name.
	Objects map[string]fleet.Object
	// Gap is set if the store has just answered again after several seconds in which it answered no
	// entry.
	Gap bool
	// Restored is set if the store was restored from a backup since the last change. Acknowledged
	// writes may be missing until their writers repeat them.
	Restored bool
}

// Follower keeps a local copy of some kinds of objects. It is safe for concurrent use.
type Follower struct {
	o Options

	mu    sync.Mutex
	kinds map[string]*kindState
	// applyMu serialises changes of state and their calls of OnChange. It is taken before mu.
	applyMu sync.Mutex
	// contents holds the compressed states that peers read.
	contents contentCache
	// outage is guarded by mu.
	outage outageDetector
}

// kindState is what is known of one kind of objects.
type kindState struct {
	synced  bool
	at      point
	objects map[string]fleet.Object
	// checksum is the checksum of the era and the objects.
	checksum    uint64
	lastContact time.Time
	published   bool
	// announced and announcedChecksum are of the newest state that a peer has announced, announcedAt is
	// when one first did. behindSince is when a peer first announced a newer state than the known one;
	// zero if none has.
	announced         point
	announcedChecksum uint64
	announcedAt       time.Time
	behindSince       time.Time
	// overdueReadStart is when the current read of the store because of an overdue state began; zero if
	// there is none.
	overdueReadStart time.Time
	// deletions are the latest deletions, oldest first, at most maxDeletions.
	deletions []Deletion
}

// point is a point in the history of the store.
type point struct{ era, revision int64 }

// before reports whether p is an earlier point than other.
func (p point) before(other point) bool {
	return p.era < other.era || p.era == other.era && p.revision < other.revision
}

// set replaces the objects and their point in the store's history, and records the objects that are
// no longer present as deletions. Deletions of an earlier era are dropped: their revisions mean
// nothing in the new one.
func (k *kindState) set(at point, objects map[string]fleet.Object) {
	if at.era != k.at.era {
		k.deletions = nil
	} else {
		k.recordDeletions(at.revision, objects)
	}
	k.synced, k.at, k.objects, k.checksum = true, at, objects, checksumOf(at.era, objects)
}

// recordAnnouncement notes that a peer has a newer state.
func (k *kindState) recordAnnouncement(at point, checksum uint64, now time.Time) {
	if k.announced.before(at) {
		if checksum != k.announcedChecksum {
			k.announcedAt = now
		}
		k.announced, k.announcedChecksum = at, checksum
	}
	if k.behindSince.IsZero() {
		k.behindSince = now
	}
}

// recordProgress notes that a newer state was taken. If a peer has announced one that is newer still,
// this entry is behind since that announcement.
func (k *kindState) recordProgress() {
	if k.behindSince.IsZero() {
		return
	}
	k.behindSince = k.announcedAt
	if !k.at.before(k.announced) || k.checksum == k.announcedChecksum {
		k.behindSince = time.Time{}
	}
}

// recordDeletions records the known objects that are not among the new ones.
func (k *kindState) recordDeletions(revision int64, objects map[string]fleet.Object) {
	for name := range k.objects {
		if _, found := objects[name]; !found {
			k.deletions = append(k.deletions, Deletion{Name: name, Revision: revision})
		}
	}
	if n := len(k.deletions) - maxDeletions; n > 0 {
		k.deletions = slices.Delete(k.deletions, 0, n)
	}
}

// New returns a follower without any state.
func New(o Options) *Follower {
	if o.ReadsStore == nil {
		o.ReadsStore = func() bool { return true }
	}
	if o.AwaitsPeers == nil {
		o.AwaitsPeers = func() bool { return false }
	}
	if o.PeersContact == nil {
		o.PeersContact = func() time.Time { return time.Time{} }
	}
	f := &Follower{o: o, kinds: make(map[string]*kindState)}
	for _, k := range o.Kinds {
		f.kinds[k] = &kindState{objects: make(map[string]fleet.Object)}
	}
	return f
}

// Run follows every kind until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, name := range f.o.Kinds {
		wg.Go(func() { f.followKind(ctx, name) })
	}
	wg.Wait()
}

// HasSynced reports whether the state of every kind is known, from the store or from another entry.
func (f *Follower) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.kinds {
		if !k.synced {
			return false
		}
	}
	return true
}

// LastContact returns when the store last answered for every kind: the oldest of the kinds' last
// answers, or zero if it never answered for one of them.
func (f *Follower) LastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := time.Now()
	for _, k := range f.kinds {
		if k.lastContact.Before(oldest) {
			oldest = k.lastContact
		}
	}
	return oldest
}

// followKind lists and watches one kind until ctx is done.
func (f *Follower) followKind(ctx context.Context, name string) {
	backoff := minBackoff
	mustList, justListed := true, false
	for ctx.Err() == nil {
		_, synced := f.position(name)
		switch {
		case synced && !f.o.ReadsStore() && !f.isOverdue(name):
			f.recordPeersContact()
			sleep(ctx, idlePollInterval)
			continue
		case !synced && f.o.AwaitsPeers():
			sleep(ctx, startPollInterval)
			continue
		}
		listing := mustList || !synced
		f.setOverdueRead(name, f.isOverdue(name))
		began := time.Now()
		err := f.listOrWatch(ctx, name, listing)
		f.setOverdueRead(name, false)
		switch {
		case err == nil:
			mustList, justListed = false, listing
			if !listing {
				backoff = minBackoff // a list does not show that watches are answered
			}
			continue
		case ctx.Err() != nil:
			return
		case fleet.HistoryGone.Has(err):
			f.o.Logger.Info("store history gone, listing again", "kind", name, "error", err)
			mustList = true
			if !justListed {
				continue
			}
			// The list did not help, so the next one is made after a pause.
			justListed = false
			if time.Since(began) >= maxBackoff {
				backoff = minBackoff // the watch has taken as long as the pause would
			}
		case backoff == minBackoff:
			f.o.Logger.Warn("store does not answer", "kind", name, "error", err)
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// Behind returns for how long peers have announced a newer state of some kind that has not arrived; 0 if
// there is none.
func (f *Follower) Behind() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest time.Duration
	for _, k := range f.kinds {
		longest = max(longest, k.behind())
	}
	return longest
}

// behind returns for how long peers have announced a newer state that has not arrived.
func (k *kindState) behind() time.Duration {
	if k.behindSince.IsZero() {
		return 0
	}
	return time.Since(k.behindSince)
}

// isOverdue reports whether the peers have announced a newer state for maxBehind without it having
// arrived.
func (f *Follower) isOverdue(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[name].behind() > maxBehind
}

// setOverdueRead records that a read of the store because of an overdue state begins or ends.
func (f *Follower) setOverdueRead(name string, begins bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds[name].overdueReadStart = time.Time{}
	if begins {
		f.kinds[name].overdueReadStart = time.Now()
	}
}

// listOrWatch makes one call: a list, or a watch from the current revision. A watch that does not
// answer in time, or that answers in another era, counts as lost history, so that the objects are
// listed again.
func (f *Follower) listOrWatch(ctx context.Context, name string, list bool) error {
	at, _ := f.position(name)
	if list {
		changes, err := f.o.Store.List(ctx, name, false)
		if err != nil {
			return err
		}
		if changes.Era < at.era {
			return fleet.Unavailable.New("list of era %d, era %d is known", changes.Era, at.era)
		}
		f.logUnidentified(name, changes)
		f.replaceState(name, point{changes.Era, changes.Revision}, changes.Objects, true)
		return nil
	}
	watchCtx, cancel := fleet.WithStallTimeout(ctx, watchTimeout+watchSlack)
	defer cancel()
	changes, err := f.o.Store.Watch(watchCtx, name, at.revision, watchTimeout)
	switch {
	case err != nil && errors.Is(context.Cause(watchCtx), context.DeadlineExceeded):
		return fleet.HistoryGone.New("watch did not answer within its wait time")
	case err != nil:
		return err
	case !f.applyWatch(name, changes):
		return fleet.HistoryGone.New("watch of era %d answered in era %d", at.era, changes.Era)
	}
	f.logUnidentified(name, changes)
	if len(changes.Objects) > 0 {
		sleep(ctx, coalesceDelay)
	}
	return nil
}

// logUnidentified logs that there are objects without a readable name or revision.
func (f *Follower) logUnidentified(name string, changes fleet.Changes) {
	if n := len(changes.Unidentified); n > 0 {
		f.o.Logger.Warn("skipped objects without a readable name or revision", "kind", name, "objects", n, "error", changes.Unidentified[0])
	}
}

// position returns the point up to which a kind is known.
func (f *Follower) position(name string) (at point, synced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[name]
	return k.at, k.synced
}

// replaceState replaces the state of a kind if the new one is newer. A list of the store at the
// same point is taken as well. It reports whether the state was replaced.
func (f *Follower) replaceState(name string, at point, objects []fleet.Object, fromStore bool) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	peersContact := f.o.PeersContact()
	f.mu.Lock()
	k := f.kinds[name]
	if k.synced && (at.before(k.at) || at == k.at && !fromStore) {
		f.mu.Unlock()
		return false
	}
	change := Change{Kind: name, Gap: f.recordContact(k, fromStore, peersContact), Restored: k.synced && at.era != k.at.era}
	oldChecksum := k.checksum
	byName := make(map[string]fleet.Object, len(objects))
	for _, o := range objects {
		byName[o.Name] = o
	}
	k.set(at, byName)
	k.recordProgress()
	f.publish(change, k, oldChecksum)
	return true
}

// applyWatch applies the changes that a watch returned. It reports false for a watch that answered
// in another era than that of the known state, because changes may be missing before those that it
// returned.
func (f *Follower) applyWatch(name string, changes fleet.Changes) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	peersContact := f.o.PeersContact()
	f.mu.Lock()
	k := f.kinds[name]
	if changes.Era != k.at.era {
		f.mu.Unlock()
		return false
	}
	change := Change{Kind: name, Gap: f.recordContact(k, true, peersContact)}
	oldChecksum := k.checksum
	at := point{changes.Era, max(k.at.revision, changes.Revision)}
	if len(changes.Objects) > 0 {
		k.set(at, applyChanges(k.objects, changes.Objects))
	}
	k.at = at
	k.recordProgress()
	f.publish(change, k, oldChecksum)
	return true
}

// applyChanges returns the objects with the changes applied. A change that is older than the object
// is ignored.
func applyChanges(objects map[string]fleet.Object, changes []fleet.Object) map[string]fleet.Object {
	merged := make(map[string]fleet.Object, len(objects)+len(changes))
	maps.Copy(merged, objects)
	for _, o := range changes {
		current, found := merged[o.Name]
		switch {
		case found && current.Revision > o.Revision:
		case o.Deleted:
			delete(merged, o.Name)
		default:
			merged[o.Name] = o
		}
	}
	return merged
}

// recordContact notes an answer of the store, to this entry if the state came from there or else to its
// peers, and reports whether the store has just recovered from an outage. The caller holds mu.
func (f *Follower) recordContact(k *kindState, fromStore bool, peersContact time.Time) (gap bool) {
	now := time.Now()
	f.outage.recordAnswer(peersContact, now)
	if fromStore {
		k.lastContact = now
		f.outage.recordAnswer(now, now)
	}
	return f.outage.recovers(now)
}

// recordPeersContact notes when the store last answered a peer.
func (f *Follower) recordPeersContact() {
	at := f.o.PeersContact()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage.recordAnswer(at, time.Now())
}

// publish completes a change, logs it and calls OnChange if the state has changed. The caller holds
// f.mu and applyMu; publish unlocks f.mu.
func (f *Follower) publish(change Change, k *kindState, oldChecksum uint64) {
	at := k.at
	change.Objects = k.objects
	changed := !k.published || k.checksum != oldChecksum
	k.published = true
	f.mu.Unlock()
	if change.Restored {
		f.o.Logger.Warn("store was restored from a backup", "kind", change.Kind, "era", at.era)
	}
	if changed {
		f.o.Logger.Info("objects changed", "kind", change.Kind, "revision", at.revision, "objects", len(change.Objects))
		f.o.OnChange(change)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

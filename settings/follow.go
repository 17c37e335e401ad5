package settings

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/azurelead/azurelead/membership"
	"github.com/azurelead/azurelead/platform"
)

// AgeUnknown is the class of errors of a Renew that found nobody to ask.
var AgeUnknown = errs.Class("settings age unknown")

// Defaults of FollowerOptions, and the bounds of retries.
const (
	defaultWatchers     = 2
	defaultWatchTimeout = 3 * time.Second
	defaultPeerFetchAge = 7 * time.Second
	defaultStoreReadAge = 20 * time.Second
	peerTimeout         = 3 * time.Second
	watchMargin         = 2 * time.Second
	minRetryInterval    = 200 * time.Millisecond
	maxRetryInterval    = 6 * time.Second
	storeCallsPerSec    = 2
	storeCallsBurst     = 8
)

func (o *FollowerOptions) setDefaults() {
	o.Watchers = cmp.Or(o.Watchers, defaultWatchers)
	o.WatchTimeout = cmp.Or(o.WatchTimeout, defaultWatchTimeout)
	o.PeerFetchAge = cmp.Or(o.PeerFetchAge, defaultPeerFetchAge)
	o.StoreReadAge = cmp.Or(o.StoreReadAge, defaultStoreReadAge)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}

// Run follows until ctx ends. It returns after all its work has ended.
func (f *Follower) Run(ctx context.Context) {
	var g errgroup.Group
	g.Go(func() error { f.fetchOffers(ctx); return nil })
	if f.o.FetchFromPeer != nil {
		g.Go(func() error { f.pollPeers(ctx); return nil })
	}
	if f.o.Store != nil {
		g.Go(func() error { f.followStore(ctx); return nil })
	}
	_ = g.Wait()
}

// fetchOffers gets newer versions from the peers that named them.
func (f *Follower) fetchOffers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wakeUp:
		}
		for o, ok := f.nextOffer(); ok && ctx.Err() == nil; o, ok = f.nextOffer() {
			f.fetchChanges(ctx, o.fetch)
		}
	}
}

// nextOffer takes the best offer out of the list. One that fails comes again
// with the peer's next word.
func (f *Follower) nextOffer() (offer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.offers) == 0 {
		return offer{}, false
	}
	o := f.offers[0]
	f.offers = f.offers[1:]
	return o, o.version > f.Version()
}

func (f *Follower) fetchChanges(ctx context.Context, fetch FetchFunc) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sentAt := time.Now()
	res, err := fetch(ctx, f.Version())
	if err == nil {
		err = f.applyResult(res, sentAt)
	}
	f.m.peerFetches.WithLabelValues(outcomeLabel(err)).Inc()
	return err == nil
}

// pollPeers asks a linked peer whenever the version in force has gone
// unconfirmed for a while.
func (f *Follower) pollPeers(ctx context.Context) {
	for {
		wait := max(f.o.PeerFetchAge-f.Age(), f.o.PeerFetchAge/4)
		if !sleep(ctx, jitter(wait)) {
			return
		}
		if f.Age() >= f.o.PeerFetchAge {
			f.fetchChanges(ctx, f.o.FetchFromPeer)
		}
	}
}

// followStore watches the manifest while this process is one of the watchers,
// and turns to the store as well when nobody else has confirmed the version.
func (f *Follower) followStore(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryInterval, maxRetryInterval
	limiter := rate.NewLimiter(storeCallsPerSec, storeCallsBurst)
	for ctx.Err() == nil {
		timeout, due := f.watchTimeout()
		if !due {
			sleep(ctx, jitter(time.Second))
			continue
		}
		if limiter.Wait(ctx) != nil {
			return
		}
		err := f.watch(ctx, timeout)
		f.logStoreReachability(ctx, err)
		if err != nil {
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
}

// logStoreReachability logs when the store is lost and when it is back.
func (f *Follower) logStoreReachability(ctx context.Context, err error) {
	if ctx.Err() != nil || f.storeUnreachable == (err != nil) {
		return
	}
	f.storeUnreachable = err != nil
	f.o.Logger.Warn("settings store", "reachable", err == nil, "version", f.Version(), "error", err)
}

// watchTimeout returns how long to watch now, and whether to watch at all.
func (f *Follower) watchTimeout() (time.Duration, bool) {
	if f.isWatcher() {
		return f.o.WatchTimeout, true
	}
	return time.Millisecond, f.Age() > f.o.StoreReadAge
}

// isWatcher reports whether this process is one of the data centre's watchers.
func (f *Follower) isWatcher() bool {
	if f.o.Candidates == nil {
		return true
	}
	return slices.Contains(membership.RendezvousTop(ManifestKey, f.o.Candidates(), f.o.Watchers), f.o.Instance)
}

// watch waits for a manifest above the one held, and takes it. A watch that
// ends unchanged confirms the version, counted from before it was sent.
func (f *Follower) watch(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(platform.WithWatchTimeout(ctx, timeout), timeout+watchMargin)
	defer cancel()
	current := f.current.Load()
	after := max(current.storeVersionOrZero(), f.observeStoreVersion(0))
	sentAt := time.Now()
	o, err := f.o.Store.Watch(ctx, ManifestKey, after)
	switch {
	case platform.NoChange.Has(err):
		err = nil
		if after == current.storeVersionOrZero() {
			f.confirm(current.version(), sentAt)
		}
	case err == nil:
		err = f.applyManifest(ctx, o, sentAt)
	}
	f.m.storeWatches.WithLabelValues(outcomeLabel(err)).Inc()
	return err
}

// observeStoreVersion raises the highest version of the manifest seen, and returns it.
func (f *Follower) observeStoreVersion(v uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxStoreVersion = max(f.maxStoreVersion, v)
	return f.maxStoreVersion
}

func (f *Follower) applyManifest(ctx context.Context, o platform.Object, sentAt time.Time) error {
	m, err := decodeManifest(o.Value)
	if err != nil {
		return err
	}
	current := f.current.Load()
	if m.Version < current.version() || m.Version == current.version() && current != nil && m.Root != current.rootDigest {
		// A store that was put back to an earlier state contradicts what was
		// accepted: it neither takes this process back nor confirms anything.
		f.m.outdated.Inc()
		f.observeStoreVersion(o.Version)
		return nil
	}
	if m.Version > current.version() {
		d, err := f.readDelta(ctx, m, o.Version)
		if err != nil {
			return err
		}
		if err := f.install(d); err != nil {
			return err
		}
	}
	f.observeStoreVersion(o.Version)
	f.confirm(m.Version, sentAt)
	return nil
}

// readDelta reads from the store what leads from the version held to m.
func (f *Follower) readDelta(ctx context.Context, m Manifest, storeVersion uint64) (Delta, error) {
	current := f.current.Load()
	if current == nil {
		current = &replica{}
	}
	if err := m.loadObjectRefs(ctx, f.o.Store, current.version(), current.refs); err != nil {
		return Delta{}, err
	}
	values, err := fetchValues(ctx, f.o.Store, m.objects, current.refs, current.values)
	if err != nil {
		return Delta{}, err
	}
	d := Delta{From: current.version(), To: m.Version, StoreVersion: storeVersion, Root: m.Root, Changed: map[ObjectName]Content{}}
	for n, r := range m.objects {
		if current.refs[n] != r {
			d.Changed[n] = Content{Ref: r, Value: values[n]}
		}
	}
	for n := range current.refs {
		if _, ok := m.objects[n]; !ok {
			d.Removed = append(d.Removed, n)
		}
	}
	return d, nil
}

// Renew confirms the version in force now, or gets a newer one: from a peer
// that confirmed it at most maxAge ago, or from the store, whichever answers
// first, since the peer may be frozen or the store down. A process that wakes
// from a pause calls it before it acts on anything that it read before.
func (f *Follower) Renew(ctx context.Context, maxAge time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources := []func() bool{
		func() bool {
			return f.o.FetchFromPeer != nil && f.fetchChanges(ctx, f.o.FetchFromPeer) && f.Fresh(maxAge)
		},
		func() bool { return f.o.Store != nil && f.watch(ctx, time.Millisecond) == nil },
	}
	renewed := make(chan bool, len(sources))
	for _, source := range sources {
		go func() { renewed <- source() }()
	}
	for range sources {
		if <-renewed {
			return nil
		}
	}
	return AgeUnknown.New("neither a fresh peer nor the store answers")
}

func (r *replica) storeVersionOrZero() uint64 {
	if r == nil {
		return 0
	}
	return r.storeVersion
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

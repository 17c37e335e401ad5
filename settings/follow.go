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

// AgeUnknown is the class of errors of Renew when neither a peer nor the store confirms the
// version.
var AgeUnknown = errs.Class("settings age unknown")

// Defaults of FollowerOptions, and bounds of calls and retries.
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

// Run follows the settings until ctx ends. It returns after all its goroutines have ended.
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

// fetchOffers fetches newer versions from the peers that offer them.
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

// nextOffer removes and returns the offer of the highest version, and whether it is above the
// version in force. A failed offer is not retried: the peer offers the version again in its next
// announcement.
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

// fetchChanges fetches and installs the changes that a peer has, and reports whether that
// succeeded.
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

// pollPeers asks a linked peer whenever the version in force has not been confirmed for
// PeerFetchAge.
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

// followStore watches the manifest while this process is one of the watchers. Other processes
// read the manifest only if nothing has confirmed the version for StoreReadAge.
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

// logStoreReachability logs when the store becomes unreachable and when it is reachable again.
func (f *Follower) logStoreReachability(ctx context.Context, err error) {
	if ctx.Err() != nil || f.storeUnreachable == (err != nil) {
		return
	}
	f.storeUnreachable = err != nil
	f.o.Logger.Warn("reachability of the settings store changed", "reachable", err == nil, "version", f.Version(), "error", err)
}

// watchTimeout returns the timeout of the next watch, and whether to watch now. Processes that
// are not watchers read the manifest with a minimal timeout.
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

// watch waits for a manifest newer than the one held and applies it. A watch that ends without a
// change confirms the version as of the time at which the watch was sent.
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

// observeStoreVersion raises maxStoreVersion to v if v is higher, and returns it.
func (f *Follower) observeStoreVersion(v uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxStoreVersion = max(f.maxStoreVersion, v)
	return f.maxStoreVersion
}

// applyManifest installs the version of a manifest that the store returned to a call sent at
// sentAt, and confirms it.
func (f *Follower) applyManifest(ctx context.Context, o platform.Object, sentAt time.Time) error {
	m, err := decodeManifest(o.Value)
	if err != nil {
		return err
	}
	current := f.current.Load()
	if m.Version < current.version() || m.Version == current.version() && current != nil && m.Root != current.rootDigest {
		// A store that was restored to an earlier state contradicts the accepted version. Such
		// a manifest neither takes this process back to an older version nor confirms any.
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

// readDelta reads from the store the changes from the version held to that of m.
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

// Renew confirms the version in force now, or gets a newer one. It asks a peer, whose
// confirmation must be at most maxAge old, and the store, and uses the first success, since the
// peer may be frozen or the store unavailable. A process that resumes after a pause calls Renew
// before it acts on anything that it read before the pause.
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

// storeVersionOrZero returns the version that the store gave to the manifest, or 0 for a nil
// replica.
func (r *replica) storeVersionOrZero() uint64 {
	if r == nil {
		return 0
	}
	return r.storeVersion
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// sleep waits for d and reports whether it elapsed before ctx ended.
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

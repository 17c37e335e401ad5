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
	defaultWatchers    = 2
	defaultWatchBound  = 3 * time.Second
	defaultAskAfter    = 7 * time.Second
	defaultRepairAfter = 20 * time.Second
	peerTimeout        = 3 * time.Second
	watchMargin        = 2 * time.Second
	firstRetry         = 200 * time.Millisecond
	maxRetry           = 6 * time.Second
	storeCallsPerSec   = 2
	storeCallsBurst    = 8
)

func (o *FollowerOptions) setDefaults() {
	o.Watchers = cmp.Or(o.Watchers, defaultWatchers)
	o.WatchTimeout = cmp.Or(o.WatchTimeout, defaultWatchBound)
	o.PeerFetchAge = cmp.Or(o.PeerFetchAge, defaultAskAfter)
	o.StoreReadAge = cmp.Or(o.StoreReadAge, defaultRepairAfter)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}

// Run follows until ctx ends. It returns after all its work has ended.
func (f *Follower) Run(ctx context.Context) {
	var g errgroup.Group
	g.Go(func() error { f.fetchOffers(ctx); return nil })
	if f.o.FetchFromPeer != nil {
		g.Go(func() error { f.askPeers(ctx); return nil })
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
		case <-f.wake:
		}
		for o, ok := f.nextOffer(); ok && ctx.Err() == nil; o, ok = f.nextOffer() {
			f.ask(ctx, o.fetch)
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

func (f *Follower) ask(ctx context.Context, fetch FetchFunc) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	asked := time.Now()
	res, err := fetch(ctx, f.Version())
	if err == nil {
		err = f.take(res, asked)
	}
	f.m.asked.WithLabelValues(outcome(err)).Inc()
	return err == nil
}

// askPeers asks a linked peer whenever the version in force has gone
// unconfirmed for a while.
func (f *Follower) askPeers(ctx context.Context) {
	for {
		wait := max(f.o.PeerFetchAge-f.Age(), f.o.PeerFetchAge/4)
		if !sleep(ctx, jitter(wait)) {
			return
		}
		if f.Age() >= f.o.PeerFetchAge {
			f.ask(ctx, f.o.FetchFromPeer)
		}
	}
}

// followStore watches the manifest while this process is one of the watchers,
// and turns to the store as well when nobody else has confirmed the version.
func (f *Follower) followStore(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstRetry, maxRetry
	budget := rate.NewLimiter(storeCallsPerSec, storeCallsBurst)
	for ctx.Err() == nil {
		bound, due := f.watchBound()
		if !due {
			sleep(ctx, jitter(time.Second))
			continue
		}
		if budget.Wait(ctx) != nil {
			return
		}
		err := f.watch(ctx, bound)
		f.noteStore(ctx, err)
		if err != nil {
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
}

// noteStore logs when the store is lost and when it is back.
func (f *Follower) noteStore(ctx context.Context, err error) {
	if ctx.Err() != nil || f.storeLost == (err != nil) {
		return
	}
	f.storeLost = err != nil
	f.o.Logger.Warn("settings store", "reachable", err == nil, "version", f.Version(), "error", err)
}

// watchBound returns how long to watch now, and whether to watch at all.
func (f *Follower) watchBound() (time.Duration, bool) {
	if f.watches() {
		return f.o.WatchTimeout, true
	}
	return time.Millisecond, f.Age() > f.o.StoreReadAge
}

// watches reports whether this process is one of the data centre's watchers.
func (f *Follower) watches() bool {
	if f.o.Candidates == nil {
		return true
	}
	return slices.Contains(membership.RendezvousTop(ManifestKey, f.o.Candidates(), f.o.Watchers), f.o.Instance)
}

// watch waits for a manifest above the one held, and takes it. A watch that
// ends unchanged confirms the version, counted from before it was sent.
func (f *Follower) watch(ctx context.Context, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(platform.WithWatchTimeout(ctx, bound), bound+watchMargin)
	defer cancel()
	held := f.current.Load()
	after := max(held.storeVersion(), f.seenStore(0))
	asked := time.Now()
	o, err := f.o.Store.Watch(ctx, ManifestKey, after)
	switch {
	case platform.NoChange.Has(err):
		err = nil
		if after == held.storeVersion() {
			f.confirm(held.version(), asked)
		}
	case err == nil:
		err = f.takeManifest(ctx, o, asked)
	}
	f.m.watched.WithLabelValues(outcome(err)).Inc()
	return err
}

// seenStore raises the highest version of the manifest seen, and returns it.
func (f *Follower) seenStore(v uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = max(f.seen, v)
	return f.seen
}

func (f *Follower) takeManifest(ctx context.Context, o platform.Object, asked time.Time) error {
	m, err := decodeManifest(o.Value)
	if err != nil {
		return err
	}
	held := f.current.Load()
	if m.Version < held.version() || m.Version == held.version() && held != nil && m.Root != held.root {
		// A store that was put back to an earlier state contradicts what was
		// accepted: it neither takes this process back nor confirms anything.
		f.m.outdated.Inc()
		f.seenStore(o.Version)
		return nil
	}
	if m.Version > held.version() {
		d, err := f.deltaOf(ctx, m, o.Version)
		if err != nil {
			return err
		}
		if err := f.install(d); err != nil {
			return err
		}
	}
	f.seenStore(o.Version)
	f.confirm(m.Version, asked)
	return nil
}

// deltaOf reads from the store what leads from the version held to m.
func (f *Follower) deltaOf(ctx context.Context, m Manifest, store uint64) (Delta, error) {
	held := f.current.Load()
	if held == nil {
		held = &replica{}
	}
	if err := m.complete(ctx, f.o.Store, held.version(), held.refs); err != nil {
		return Delta{}, err
	}
	values, err := fetchValues(ctx, f.o.Store, m.objects, held.refs, held.values)
	if err != nil {
		return Delta{}, err
	}
	d := Delta{From: held.version(), To: m.Version, StoreVersion: store, Root: m.Root, Changed: map[ObjectName]Content{}}
	for n, r := range m.objects {
		if held.refs[n] != r {
			d.Changed[n] = Content{Ref: r, Value: values[n]}
		}
	}
	for n := range held.refs {
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
	ways := []func() bool{
		func() bool { return f.o.FetchFromPeer != nil && f.ask(ctx, f.o.FetchFromPeer) && f.Fresh(maxAge) },
		func() bool { return f.o.Store != nil && f.watch(ctx, time.Millisecond) == nil },
	}
	renewed := make(chan bool, len(ways))
	for _, way := range ways {
		go func() { renewed <- way() }()
	}
	for range ways {
		if <-renewed {
			return nil
		}
	}
	return AgeUnknown.New("neither a fresh peer nor the store answers")
}

func (r *replica) storeVersion() uint64 {
	if r == nil {
		return 0
	}
	return r.store
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

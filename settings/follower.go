package settings

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/platform"
)

// maxOffers is how many peers' offers of a newer version are kept.
const maxOffers = 4

// FetchFunc asks one peer for the changes above have.
type FetchFunc = func(ctx context.Context, have Version) (link.SettingsResult, error)

// FollowerOptions configure a Follower. The zero value of each duration means
// its default.
type FollowerOptions struct {
	// Store is read when this process watches, and when no peer helps.
	Store platform.Store
	// Instance is the name of this process among Candidates.
	Instance string
	// Candidates returns the processes of the data centre that may watch the
	// store. A nil func makes this process watch always.
	Candidates func() []string
	// Watchers is how many of the candidates watch.
	Watchers int
	// FetchFromPeer asks any one linked peer. It fails when there is none.
	FetchFromPeer FetchFunc
	// OnChange is called after a newer version is in force, for links that pass
	// the word on at once. It must not block.
	OnChange func()
	// WatchTimeout bounds one watch, so that a silent connection is left.
	WatchTimeout time.Duration
	// PeerFetchAge is the age at which a peer is asked.
	PeerFetchAge time.Duration
	// StoreReadAge is the age at which a process that does not watch turns to the store.
	StoreReadAge time.Duration
	Logger       *slog.Logger
	Registerer   prometheus.Registerer
}

// Follower is a Source that follows the settings in force. The version that it
// serves only grows, whatever the store, a watch or a peer offers.
type Follower struct {
	o FollowerOptions
	m *metrics

	current atomic.Pointer[replica]
	wakeUp  chan struct{}
	// storeUnreachable belongs to followStore.
	storeUnreachable bool
	// lastRejected is the version that was lastRejected last.
	lastRejected atomic.Uint64

	mu sync.Mutex
	// offers are newer versions that peers named, best first.
	offers []offer
	// maxAnnouncedVersion is the highest version that anyone named.
	maxAnnouncedVersion Version
	// maxStoreVersion is the highest of the store's own versions of the manifest that a
	// watch brought here.
	maxStoreVersion uint64
	// confirmedAt is when the version in force was last known to be the latest
	// accepted; zero if never.
	confirmedAt time.Time
}

type offer struct {
	version Version
	fetch   FetchFunc
}

var _ Source = (*Follower)(nil)

// NewFollower returns a Follower that knows no version yet. Run makes it follow.
func NewFollower(o FollowerOptions) *Follower {
	o.setDefaults()
	f := &Follower{o: o, wakeUp: make(chan struct{}, 1)}
	f.m = newMetrics(o.Registerer, f.Age)
	return f
}

// Current implements Source.
func (f *Follower) Current() *Snapshot {
	if r := f.current.Load(); r != nil {
		return r.snapshot
	}
	return nil
}

// Version returns the version in force in this process, or 0.
func (f *Follower) Version() Version { return f.current.Load().version() }

// ObserveVersion tells the follower that a peer named a version, and how to get it from
// there. It returns at once.
func (f *Follower) ObserveVersion(v Version, fetch FetchFunc) {
	if v <= f.Version() {
		return
	}
	f.mu.Lock()
	f.maxAnnouncedVersion = max(f.maxAnnouncedVersion, v)
	f.offers = append(f.offers, offer{version: v, fetch: fetch})
	slices.SortStableFunc(f.offers, func(a, b offer) int { return int(int64(b.version) - int64(a.version)) })
	f.offers = f.offers[:min(len(f.offers), maxOffers)]
	f.mu.Unlock()
	f.wakeFetcher()
}

func (f *Follower) wakeFetcher() {
	select {
	case f.wakeUp <- struct{}{}:
	default:
	}
}

// ChangesSince answers a peer that holds version have.
func (f *Follower) ChangesSince(have Version) (link.SettingsResult, error) {
	r := f.current.Load()
	res := link.SettingsResult{Version: r.version(), AgeMS: ageMS(f.Age())}
	if res.Version <= have {
		return res, nil
	}
	raw, err := json.Marshal(r.since(have))
	res.Delta = raw
	return res, Corrupt.Wrap(err)
}

// ageMS rounds up, so that an age never shrinks on its way; 0 is unknown.
func ageMS(age time.Duration) int64 {
	if age == math.MaxInt64 {
		return 0
	}
	return age.Milliseconds() + 1
}

// Age returns how long ago the version in force was last known to be the
// latest accepted, by the store's word or by that of a peer that had it from
// the store. It is math.MaxInt64 before the first.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return math.MaxInt64
	}
	return time.Since(f.confirmedAt)
}

// Fresh reports whether no newer version is known of, and the one in force was
// the latest accepted at most maxAge ago.
func (f *Follower) Fresh(maxAge time.Duration) bool { return !f.Behind() && f.Age() <= maxAge }

// Behind reports whether a version above the one in force has been named.
func (f *Follower) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxAnnouncedVersion > f.Version()
}

// confirm records that v was the latest accepted version at the time at.
func (f *Follower) confirm(v Version, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxAnnouncedVersion = max(f.maxAnnouncedVersion, v)
	if v <= f.Version() && at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// applyResult puts a peer's answer in force. Asked is when the question was sent: the
// age in the answer counts from there, since an answer may have lain in a
// buffer while this process was paused.
func (f *Follower) applyResult(res link.SettingsResult, sentAt time.Time) error {
	if res.Version > f.Version() {
		var d Delta
		if err := decodeStrict(res.Delta, &d); err != nil {
			return err
		}
		if err := f.install(d); err != nil {
			return err
		}
	}
	// A peer that holds an older version confirms nothing.
	if res.AgeMS > 0 && res.Version == f.Version() {
		f.confirm(res.Version, sentAt.Add(-time.Duration(res.AgeMS)*time.Millisecond))
	}
	return nil
}

// install puts a delta in force unless it leads to an older version.
func (f *Follower) install(d Delta) error {
	changed, err := f.replace(d)
	if err != nil {
		f.logRejected(d.To, err)
		return err
	}
	if !changed {
		return nil
	}
	f.o.Logger.Info("settings in force", "version", d.To)
	if f.o.OnChange != nil {
		f.o.OnChange()
	}
	return nil
}

// logRejected logs the first refusal of each version; peers offer it again and again.
func (f *Follower) logRejected(v Version, err error) {
	if f.lastRejected.Swap(v) != v {
		f.o.Logger.Warn("settings refused", "version", v, "error", err)
	}
}

func (f *Follower) replace(d Delta) (changed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if d.To <= current.version() {
		f.m.outdated.Inc()
		return false, nil
	}
	next, err := current.apply(d)
	if err != nil {
		f.m.rejected.Inc()
		return false, err
	}
	f.current.Store(next)
	f.offers = slices.DeleteFunc(f.offers, func(o offer) bool { return o.version <= d.To })
	f.m.version.Set(float64(d.To))
	f.m.installed.Inc()
	return true, nil
}

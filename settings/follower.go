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

// maxOffers is the maximum number of peers' offers of newer versions that are kept.
const maxOffers = 4

// FetchFunc fetches from a peer the changes since version have.
type FetchFunc = func(ctx context.Context, have Version) (link.SettingsResult, error)

// FollowerOptions configures a Follower. The zero value of each duration, and of Watchers,
// selects its default.
type FollowerOptions struct {
	// Store is watched if this process is a watcher, and read if no peer confirms the version.
	Store platform.Store
	// Instance is the name of this process among Candidates.
	Instance string
	// Candidates returns the names of the processes of the data centre that may watch the store.
	// If it is nil, this process always watches.
	Candidates func() []string
	// Watchers is the number of candidates that watch the store.
	Watchers int
	// FetchFromPeer fetches from any linked peer. It fails if there is none.
	FetchFromPeer FetchFunc
	// OnChange is called after a newer version has come into force, so that links can announce it
	// at once. It must not block.
	OnChange func()
	// WatchTimeout bounds a watch, so that an unresponsive connection is abandoned.
	WatchTimeout time.Duration
	// PeerFetchAge is the age of the version at which a peer is asked.
	PeerFetchAge time.Duration
	// StoreReadAge is the age of the version at which a process that is not a watcher reads the
	// store.
	StoreReadAge time.Duration
	Logger       *slog.Logger
	Registerer   prometheus.Registerer
}

// Follower is a Source that follows the settings in force. The version that it serves never
// decreases, whatever a watch of the store or a peer returns.
type Follower struct {
	o FollowerOptions
	m *metrics

	current atomic.Pointer[replica]
	wakeUp  chan struct{}
	// storeUnreachable is used by followStore only.
	storeUnreachable bool
	// lastRejected is the version that was rejected last.
	lastRejected atomic.Uint64

	mu sync.Mutex
	// offers are newer versions that peers announced, highest first.
	offers []offer
	// maxAnnouncedVersion is the highest version that a peer or the store announced.
	maxAnnouncedVersion Version
	// maxStoreVersion is the highest store version among the manifests that watches returned.
	maxStoreVersion uint64
	// confirmedAt is the latest time at which the version in force was known to be the latest
	// accepted one; zero if never.
	confirmedAt time.Time
}

// offer is a version that a peer announced, and the function to fetch it from there.
type offer struct {
	version Version
	fetch   FetchFunc
}

var _ Source = (*Follower)(nil)

// NewFollower returns a Follower without a version. Run starts following.
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

// ObserveVersion records that a peer announced a version, and how to fetch it from that peer. It
// does not block.
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

// wakeFetcher wakes fetchOffers.
func (f *Follower) wakeFetcher() {
	select {
	case f.wakeUp <- struct{}{}:
	default:
	}
}

// ChangesSince returns the answer to a peer that holds version have: the version in force, its
// age, and a delta if the version is above have.
func (f *Follower) ChangesSince(have Version) (link.SettingsResult, error) {
	r := f.current.Load()
	res := link.SettingsResult{Version: r.version(), AgeMS: ageMS(f.Age())}
	if res.Version <= have {
		return res, nil
	}
	raw, err := json.Marshal(r.deltaSince(have))
	res.Delta = raw
	return res, Corrupt.Wrap(err)
}

// ageMS returns age in milliseconds, rounded up so that an age never decreases in transit; 0
// means unknown.
func ageMS(age time.Duration) int64 {
	if age == math.MaxInt64 {
		return 0
	}
	return age.Milliseconds() + 1
}

// Age returns the time since the version in force was last known to be the latest accepted one,
// according to the store or to a peer that had confirmed it with the store. It is math.MaxInt64
// before the first confirmation.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return math.MaxInt64
	}
	return time.Since(f.confirmedAt)
}

// Fresh reports whether no newer version is known and the version in force was confirmed at most
// maxAge ago.
func (f *Follower) Fresh(maxAge time.Duration) bool { return !f.Behind() && f.Age() <= maxAge }

// Behind reports whether a version above the one in force has been announced.
func (f *Follower) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxAnnouncedVersion > f.Version()
}

// confirm records that v was the latest accepted version at time at.
func (f *Follower) confirm(v Version, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxAnnouncedVersion = max(f.maxAnnouncedVersion, v)
	if v <= f.Version() && at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// applyResult installs the answer of a peer. The age in the answer counts from sentAt, the time
// at which the request was sent, since the answer may have been buffered while this process was
// paused.
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
	// A peer with an older version cannot confirm the version in force.
	if res.AgeMS > 0 && res.Version == f.Version() {
		f.confirm(res.Version, sentAt.Add(-time.Duration(res.AgeMS)*time.Millisecond))
	}
	return nil
}

// install puts the version of a delta in force unless it is not newer.
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

// logRejected logs the first rejection of each version; peers offer it repeatedly.
func (f *Follower) logRejected(v Version, err error) {
	if f.lastRejected.Swap(v) != v {
		f.o.Logger.Warn("received settings rejected", "version", v, "error", err)
	}
}

// replace applies a delta to the replica in force and reports whether that made a newer version.
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

// Package canary carries out roll-outs at one entry: it divides the entry's requests between the versions of a service,
// reports their answers to the entry that dispatches, and there writes the decisions to the store. What is decided, and
// why, is in package rollout.
package canary

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/rollout"
	"github.com/azurelead/azurelead/roster"
)

const (
	// initialSlackShare is the share of the allowed slack that the entries together may use before they have sent any
	// requests. Streams that go on at the version at which they began use some of the rest.
	initialSlackShare = 0.3
	// directionTTL is how long the word of the dispatching entry counts.
	directionTTL = 2 * time.Second
	// resumeGrace is how long after a roll-back streams may still go on at the version at which they began.
	resumeGrace = 2 * time.Second
	// moveTime is how long after a success the earlier servers get no requests: they stop, and may still be listed. Later on
	// all versions serve, as in a release without an order.
	moveTime = 15 * time.Second
	// retainRejected is how long a version that was rolled back gets no requests after its order was withdrawn. Its
	// servers drain meanwhile.
	retainRejected = 10 * time.Minute
)

// StoredOrder is an order as the store holds it.
type StoredOrder struct {
	rollout.Order
	// State is that of the stored status; empty if there is none for the order's target.
	State rollout.State
	// Revision is that of the object.
	Revision int64
}

// Store writes the status of roll-outs.
type Store interface {
	// PutRolloutStatus writes a status if the object still has the revision.
	PutRolloutStatus(ctx context.Context, service string, revision int64, state rollout.State, target string) error
}

// Roster is the part of the roster that a Tracker needs.
type Roster interface {
	// Endpoints returns the endpoints of a service that may receive work.
	Endpoints(now time.Time, service string) []catalog.Endpoint
}

// Exchange passes the reports of this entry to the dispatching entry and returns its directions. local is set if that is
// this entry itself.
type Exchange func(ctx context.Context, reports []rollout.Report) (directions []rollout.Direction, local bool, err error)

// Options configures a Tracker.
type Options struct {
	Exposure rollout.Exposure
	// Incarnation identifies this process among the entries.
	Incarnation string
	Roster      Roster
	Store       Store
	Exchange    Exchange
	// EntryCount returns the number of entries; nil stands for one.
	EntryCount func() int
	// OnChange is called after a version has been admitted or rejected; it may be nil.
	OnChange func()
	Logger   *slog.Logger
	Metrics  *Metrics
}

// Tracker tracks the roll-outs at one entry. It is safe for concurrent use. A nil Tracker has no roll-outs.
type Tracker struct {
	o Options
	// active is set while there are orders or rejected versions, so that requests of other services cost nothing.
	active atomic.Bool

	mu sync.Mutex
	// orders and rejected are by service.
	orders   map[string]*order
	rejected map[string]rejection
	deciders map[string]*rollout.Decider
	// writtenAt is when the status of a service was last written.
	writtenAt map[string]time.Time
}

// order is an order in force.
type order struct {
	StoredOrder
	seenAt  time.Time
	limiter *rollout.Limiter
	// answers are those of this entry, judge compares them while the dispatching entry is not reached.
	answers *rollout.Recorder
	judge   rollout.Judge
	// reported are the answers of the report that is under way, acknowledged those that the dispatching entry knows; nil if
	// it may know none.
	reported, acknowledged []rollout.Row
	// verdict is set to RolledBack before the store says so.
	verdict rollout.State
	// decided is the final state that the store has shown; it stays when the store is restored from a backup.
	decided rollout.State
	// movedAt is when this entry, which knew the order before, learned of its success; zero if it did not.
	movedAt time.Time
	// directedAt is when the dispatching entry last gave a share.
	directedAt time.Time
	// canaries are the servers of the target that a trial uses, capacity counts all that may get work.
	canaries map[string]bool
	capacity rollout.Capacity
	// firstSeen is when each server of the target was first listed.
	firstSeen map[string]time.Time
	// inFlight counts the requests at servers of earlier versions.
	inFlight int
}

// rejection is a version that was rolled back.
type rejection struct {
	target string
	at     time.Time
}

// New returns a tracker without orders.
func New(o Options) *Tracker {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	if o.OnChange == nil {
		o.OnChange = func() {}
	}
	if o.EntryCount == nil {
		o.EntryCount = func() int { return 1 }
	}
	return &Tracker{
		o: o, orders: make(map[string]*order), rejected: make(map[string]rejection),
		deciders: make(map[string]*rollout.Decider), writtenAt: make(map[string]time.Time),
	}
}

// SetOrders replaces the orders. After the store was restored from a backup, orders that it lacks stay in force: the
// operator writes them again.
func (t *Tracker) SetOrders(now time.Time, list []StoredOrder, restored bool) {
	t.mu.Lock()
	defer t.o.OnChange()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.Service] = true
		t.setOrder(now, s, restored)
	}
	for service := range t.orders {
		if !listed[service] && !restored {
			delete(t.orders, service)
			delete(t.deciders, service)
		}
	}
	t.active.Store(len(t.orders)+len(t.rejected) > 0)
}

// Orders returns the services that have orders, sorted.
func (t *Tracker) Orders() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.orders))
}

// setOrder updates an order or begins one. The caller holds mu.
func (t *Tracker) setOrder(now time.Time, s StoredOrder, restored bool) {
	old := t.orders[s.Service]
	again := old != nil && old.isDecided() && s.State == "" && !restored // deleted and given again
	if old != nil && old.Order == s.Order && !again {
		if !old.isDecided() && s.State == rollout.Succeeded {
			old.movedAt = now
		}
		old.setStored(s)
		t.noteRejected(now, old)
		return
	}
	initial := initialSlackShare * t.o.Exposure.Slack / float64(max(t.o.EntryCount(), 1))
	o := &order{seenAt: now, limiter: rollout.NewLimiter(initial), answers: rollout.NewRecorder(), firstSeen: make(map[string]time.Time)}
	o.setStored(s)
	o.limiter.SetShare(t.o.Exposure.TrialShare())
	t.orders[s.Service] = o
	delete(t.deciders, s.Service)
	delete(t.rejected, s.Service)
	t.noteRejected(now, o)
	t.pickCanaries(now, o)
	t.o.Logger.Info("roll-out ordered", "service", s.Service, "target", s.Target, "duration_ms", s.Duration.Milliseconds(), "state", string(s.State))
}

// setStored takes in what the store holds.
func (o *order) setStored(s StoredOrder) {
	o.StoredOrder = s
	if s.State.Final() {
		o.decided = s.State
	}
}

// isDecided reports whether the store shows, or has shown, that the roll-out has ended.
func (o *order) isDecided() bool { return o.decided != "" }

// noteRejected records the target of an order that was rolled back. The caller holds mu.
func (t *Tracker) noteRejected(now time.Time, o *order) {
	if o.decided == rollout.RolledBack || o.verdict == rollout.RolledBack {
		if t.rejected[o.Service].target != o.Target {
			t.rejected[o.Service] = rejection{target: o.Target, at: now}
		}
	}
}

// reject ends the trial of a version at this entry at once. The caller holds mu.
func (t *Tracker) reject(now time.Time, o *order, reason string) {
	if o.isDecided() || o.verdict == rollout.RolledBack {
		return
	}
	o.verdict = rollout.RolledBack
	t.noteRejected(now, o)
	t.o.Metrics.Verdicts.WithLabelValues(o.Service, string(rollout.RolledBack)).Inc()
	t.o.Logger.Warn("version rejected", "service", o.Service, "target", o.Target, "reason", reason, "answers", o.answers.Rows())
}

// pickCanaries counts the servers of both versions, and picks those of the target that a trial uses by hashing. The
// caller holds mu.
func (t *Tracker) pickCanaries(now time.Time, o *order) {
	var targets []catalog.Endpoint
	o.capacity = rollout.Capacity{Entries: max(t.o.EntryCount(), 1)}
	for _, e := range t.o.Roster.Endpoints(now, o.Service) {
		if e.Version != o.Target {
			o.capacity.Earlier++
			continue
		}
		targets = append(targets, e)
		if _, seen := o.firstSeen[e.ID]; !seen {
			o.firstSeen[e.ID] = now
		}
	}
	o.capacity.New = len(targets)
	slices.SortFunc(targets, func(a, b catalog.Endpoint) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	o.canaries = make(map[string]bool)
	for _, e := range targets[:rollout.CanaryCount(len(targets))] {
		o.canaries[e.ID] = true
	}
}

// Access says which versions of a service may get requests.
type Access struct {
	// Target is the version of the order; empty if there is none.
	Target string
	// Share is the share of the requests that the target gets; 1 stands for all, 0 for none.
	Share float64
	// Canaries are the servers of the target that may get requests; nil allows all.
	Canaries map[string]bool
}

// Allows reports whether an endpoint may get requests at all.
func (a Access) Allows(e catalog.Endpoint) bool {
	switch {
	case a.Target == "":
		return true
	case e.Version != a.Target:
		return a.Share < 1
	}
	return a.Share > 0 && (a.Canaries == nil || a.Canaries[e.ID])
}

// Access returns which versions of a service may get requests.
func (t *Tracker) Access(now time.Time, service string) Access {
	if t == nil || !t.active.Load() {
		return Access{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.access(now, service)
}

// access implements Access. The caller holds mu.
func (t *Tracker) access(now time.Time, service string) Access {
	o := t.orders[service]
	switch r, rejected := t.rejected[service]; {
	case rejected && (o == nil || o.Target == r.target):
		if o == nil && now.Sub(r.at) > retainRejected {
			return Access{}
		}
		return Access{Target: r.target}
	case o == nil:
		return Access{}
	case o.decided == rollout.Succeeded:
		if now.Sub(o.movedAt) > moveTime || !t.hasTarget(now, o) {
			return Access{}
		}
		return Access{Target: o.Target, Share: 1}
	case o.capacity.New == 0:
		return Access{} // there is no choice
	case o.limiter.Open() || o.capacity.Earlier == 0:
		return Access{Target: o.Target, Share: 1}
	}
	return Access{Target: o.Target, Share: t.o.Exposure.TrialShare(), Canaries: o.canaries}
}

// hasTarget reports whether a server of the target may get requests. The caller holds mu.
func (t *Tracker) hasTarget(now time.Time, o *order) bool {
	return slices.ContainsFunc(t.o.Roster.Endpoints(now, o.Service), func(e catalog.Endpoint) bool { return e.Version == o.Target })
}

// Rejected reports whether a version was rolled back so long ago that streams which began there may not go on there.
func (t *Tracker) Rejected(now time.Time, service, version string) bool {
	if t == nil || !t.active.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, found := t.rejected[service]
	return found && r.target == version && now.Sub(r.at) > resumeGrace
}

// Assignment is the version that a request is sent to. A nil Assignment allows all.
type Assignment struct {
	tracker *Tracker
	service string
	// canary is set if the request has taken credit for the target, until it is sent there.
	canary atomic.Bool
}

// Assign chooses the version for a request. available reports whether the filter selects an endpoint that takes the
// request.
func (t *Tracker) Assign(now time.Time, service string, available func(roster.Filter) bool) *Assignment {
	access := t.Access(now, service)
	if access.Target == "" {
		return nil
	}
	a := &Assignment{tracker: t, service: service}
	if access.Share <= 0 || access.Share >= 1 || !available(roster.Filter{Service: service, Version: access.Target, Only: access.Canaries}) {
		return a
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.orders[service]; o != nil {
		a.canary.Store(o.limiter.TryTake())
	}
	return a
}

// Filter restricts a filter to the version of the assignment, unless it names a version already.
func (a *Assignment) Filter(f roster.Filter) roster.Filter {
	if a == nil || f.Version != "" {
		return f
	}
	access := a.tracker.Access(time.Now(), a.service)
	switch {
	case access.Target == "":
	case access.Share >= 1:
		f.Version = access.Target
	case access.Share > 0 && a.canary.Load():
		f.Version, f.Only = access.Target, access.Canaries
	default:
		f.Excluded = access.Target
	}
	return f
}

// GiveUp makes a request for the target go to the earlier versions. It reports false if that was not to go to the target,
// or has been sent already.
func (a *Assignment) GiveUp() bool {
	if a == nil || !a.canary.Swap(false) {
		return false
	}
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.orders[a.service]; o != nil {
		o.limiter.Refund()
	}
	return true
}

// Use records that the request is sent to an endpoint. A request that is sent again goes to the earlier versions.
func (a *Assignment) Use(e catalog.Endpoint) {
	if a == nil {
		return
	}
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[a.service]
	if o == nil {
		return
	}
	if e.Version == o.Target && !a.canary.Swap(false) {
		o.limiter.Take()
	}
}

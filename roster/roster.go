// Package roster tracks the endpoints: which are listed, which may receive work, which are cold,
// and how recent requests to them ended. It does no I/O; every method that depends on the time
// receives it as an argument.
package roster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/upstream"
)

const (
	// missingGracePeriod is how long an endpoint stays in use that disappeared from the list while
	// the store did not answer. If it is alive, the store lists it again within two seconds.
	missingGracePeriod = 1800 * time.Millisecond
	// maxColdSenders bounds the entries that send to one cold endpoint. Each of them may send one
	// request at once, and these together must stay below what the endpoint can handle.
	maxColdSenders = 6
	// coldRateShare is the share of the declared cold rate that is used.
	coldRateShare = 0.9
	// restoreConfirmTime is how long a restored store needs to show what holds: operators and
	// endpoints write again what was lost, and records of endpoints that have ended expire.
	restoreConfirmTime = 5 * time.Second
	// departedTTL is how long what an endpoint demanded is kept after it was removed, in case that
	// its record comes back.
	departedTTL = 10 * time.Minute
	// idleConnectionShare is the share of an endpoint's connection limit that the idle connections
	// of all entries may take. The rest is left for requests, because an endpoint resets
	// connections above its limit.
	idleConnectionShare = 0.5
)

// Continuity says how a list of endpoints or evacuations follows the one before it.
type Continuity int

// The ways in which a list can follow the one before it.
const (
	// Continuous: the store has answered all the while.
	Continuous Continuity = iota
	// AfterGap: the store had not answered for a while, in which records of live endpoints may have
	// expired.
	AfterGap
	// AfterRestore: the store was restored from a backup. Records may be missing, outdated, or of
	// endpoints that have ended.
	AfterRestore
)

// demands are what an endpoint demanded of this entry. They hold for one incarnation, also while
// its record is missing from the list or outdated.
type demands struct {
	// leaving is set once the endpoint has announced that it leaves.
	leaving bool
	// statedColdUntil is the end of the cold time that responses have stated.
	statedColdUntil time.Time
	// pausedUntil is the time before which the endpoint wants no requests.
	pausedUntil time.Time
	// rateLimit is the rate limit that the endpoint stated at limitAt. noticedLimit is the one that was last made
	// a notice to the peers, at limitNoticedAt.
	rateLimit, noticedLimit RateLimit
	limitAt, limitNoticedAt time.Time
	// noticeNumber is the number of the latest notice of these demands; 0 if there is none.
	noticeNumber uint64
}

// departedMember is kept of an endpoint that was removed.
type departedMember struct {
	demands
	incarnation int64
	removedAt   time.Time
}

// member is the state of one endpoint.
type member struct {
	catalog.Endpoint
	demands
	health
	listed       bool
	missingSince time.Time
	// unconfirmedUntil is the time before which a restored record of a removed endpoint is not
	// taken as a sign of life.
	unconfirmedUntil time.Time
	coldUntil        time.Time
	inFlight         int
	// reportedLoad is the number of requests that the endpoint reported at reportedLoadAt.
	reportedLoad   int
	reportedLoadAt time.Time
	// lastSend is when this entry last sent a request to the endpoint.
	lastSend time.Time
	// rank is this entry's rank for the endpoint, computed when entriesVersion was
	// rankVersion.
	rank        int
	rankVersion int
}

// Roster holds the state of all endpoints. It is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex
	members map[string]*member
	// byService lists the members of each service in the order of their ids. A deployment has
	// thousands of endpoints, and each request considers only those of one service.
	byService map[string][]*member
	// departed holds the endpoints that were removed within departedTTL.
	departed  map[string]departedMember
	evacuated map[string]bool
	// presumedEvacuated maps data centres that a restored store no longer lists as evacuated to the
	// time until which they are kept out of service.
	presumedEvacuated map[string]time.Time
	services          map[string]*catalog.Service
	regions           map[string]string
	// initialised is set after the first list of endpoints.
	initialised bool
	// rankFor returns this entry's rank among the entries that share an endpoint's rate.
	// entriesVersion counts the changes of the entries.
	entryCount     int
	rankFor        func(endpoint string) int
	entriesVersion int
	// noticeCount is the number of the latest notice.
	noticeCount uint64
	// versionListedAt is when each service last had a listed endpoint of each software version.
	versionListedAt map[string]map[string]time.Time
	// versionsKnownSince is when the time began for which versionListedAt is complete; zero if nothing is known.
	versionsKnownSince time.Time
}

// New returns an empty roster. regions maps data centres to their regions.
func New(regions map[string]string) *Roster {
	return &Roster{
		members: make(map[string]*member), departed: make(map[string]departedMember),
		evacuated: make(map[string]bool), presumedEvacuated: make(map[string]time.Time),
		services: make(map[string]*catalog.Service), regions: regions, entryCount: 1,
		rankFor: func(string) int { return 0 }, versionListedAt: make(map[string]map[string]time.Time),
	}
}

// SetServices replaces the declared services.
func (r *Roster) SetServices(services map[string]*catalog.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = services
}

// SetEntries sets the number of entries that share the rates of cold and limited endpoints, and the
// function that returns this entry's rank among them for an endpoint.
func (r *Roster) SetEntries(n int, rankFor func(endpoint string) int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entryCount, r.rankFor = max(n, 1), rankFor
	r.entriesVersion++
}

// SetEndpoints replaces the list of endpoints. Unless the list is Continuous, endpoints that are no
// longer listed stay in use for missingGracePeriod, because their records may be missing although
// they are alive.
func (r *Roster) SetEndpoints(now time.Time, list []catalog.Endpoint, c Continuity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordVersions(now)
	for _, m := range r.members {
		m.listed = false
	}
	for _, e := range list {
		r.setListed(now, e, c)
	}
	for id, m := range r.members {
		if m.listed {
			continue
		}
		if c != Continuous && m.State == catalog.Ready && m.missingSince.IsZero() {
			m.missingSince = now
		}
		if m.missingSince.IsZero() || now.Sub(m.missingSince) > missingGracePeriod {
			r.remove(now, id, m)
		}
	}
	r.forgetDeparted(now)
	r.initialised = true
	r.rebuildIndex()
	r.recordVersions(now)
	if r.versionsKnownSince.IsZero() {
		r.versionsKnownSince = now
	}
}

// setListed updates the member of a listed endpoint, or adds one. The caller holds mu.
func (r *Roster) setListed(now time.Time, e catalog.Endpoint, c Continuity) {
	m := r.incarnation(e)
	if m == nil {
		m = r.newMember(now, e, c)
		r.members[e.ID] = m
	}
	if e.ColdRemaining > 0 {
		m.coldUntil = now.Add(e.ColdRemaining)
	}
	if e.Incarnation == 0 && c == Continuous {
		m.leaving = false // without a start time, a restart shows only by the state
	}
	m.leaving = m.leaving || e.State == catalog.Draining
	m.Endpoint, m.listed, m.missingSince = e, true, time.Time{}
}

// incarnation returns the member of an endpoint, or nil if the endpoint is not known or has started again since e was
// listed. The caller holds mu.
func (r *Roster) incarnation(e catalog.Endpoint) *member {
	if m := r.members[e.ID]; m != nil && m.Incarnation == e.Incarnation && m.Address == e.Address {
		return m
	}
	return nil
}

// newMember returns the member of an endpoint that is listed for the first time or again. The caller
// holds mu.
func (r *Roster) newMember(now time.Time, e catalog.Endpoint, c Continuity) *member {
	m := &member{}
	if r.initialised && e.ColdRemaining == 0 && e.Incarnation == 0 {
		// An endpoint that reports neither a cold time nor its start time is taken to be
		// as cold as one that has just started.
		m.coldUntil = now.Add(r.coldPeriod(e.Service))
	}
	if old := r.members[e.ID]; old != nil && old.Incarnation == e.Incarnation {
		m.demands = old.demands
	}
	if d, found := r.departed[e.ID]; found && d.incarnation == e.Incarnation {
		m.demands = d.demands
		if c == AfterRestore {
			m.unconfirmedUntil = now.Add(restoreConfirmTime)
		}
	}
	delete(r.departed, e.ID)
	return m
}

// remove removes an endpoint and keeps its demands. The caller holds mu.
func (r *Roster) remove(now time.Time, id string, m *member) {
	delete(r.members, id)
	r.departed[id] = departedMember{demands: m.demands, incarnation: m.Incarnation, removedAt: now}
}

// forgetDeparted drops the endpoints that were removed longer ago than departedTTL. The caller
// holds mu.
func (r *Roster) forgetDeparted(now time.Time) {
	for id, d := range r.departed {
		if now.Sub(d.removedAt) > departedTTL {
			delete(r.departed, id)
		}
	}
}

// rebuildIndex groups the members by service. The caller holds mu.
func (r *Roster) rebuildIndex() {
	r.byService = make(map[string][]*member)
	for _, m := range r.members {
		r.byService[m.Service] = append(r.byService[m.Service], m)
	}
	for _, list := range r.byService {
		slices.SortFunc(list, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
	}
}

func (r *Roster) coldPeriod(service string) time.Duration {
	if s := r.services[service]; s != nil {
		return s.ColdPeriod
	}
	return 0
}

// SetEvacuated replaces the data centres that receive no work. The endpoints of a data centre that
// comes back count as cold, because they may have become cold shortly before. A data centre that is
// missing AfterRestore stays out for restoreConfirmTime, in which the operators write its evacuation
// again.
func (r *Roster) SetEvacuated(now time.Time, dataCentres map[string]bool, c Continuity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for dc := range r.evacuated {
		switch {
		case dataCentres[dc]:
		case c == AfterRestore:
			r.presumedEvacuated[dc] = now.Add(restoreConfirmTime)
		default:
			r.returnToService(now, dc)
		}
	}
	for dc := range dataCentres {
		delete(r.presumedEvacuated, dc)
	}
	r.evacuated = dataCentres
}

// returnToService makes the endpoints of a data centre that comes back count as cold. The caller
// holds mu.
func (r *Roster) returnToService(now time.Time, dataCentre string) {
	for _, m := range r.members {
		if m.DataCentre == dataCentre {
			m.coldUntil = laterOf(m.coldUntil, now.Add(r.coldPeriod(m.Service)))
		}
	}
}

// isEvacuated reports whether a data centre receives no work. The caller holds mu.
func (r *Roster) isEvacuated(now time.Time, dataCentre string) bool {
	if r.evacuated[dataCentre] {
		return true
	}
	until, presumed := r.presumedEvacuated[dataCentre]
	if presumed && !now.Before(until) {
		delete(r.presumedEvacuated, dataCentre)
		r.returnToService(now, dataCentre)
		return false
	}
	return presumed
}

// Usable reports whether an endpoint may receive work. Callers check it again just before they
// send, because the work may have been queued for a while.
func (r *Roster) Usable(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	return m != nil && r.usable(now, m)
}

// usable reports whether a member may receive work. The caller holds mu.
func (r *Roster) usable(now time.Time, m *member) bool {
	return !now.Before(m.pausedUntil) && r.inService(now, m)
}

// inService reports whether a member may receive work apart from a pause that it asked for. The
// caller holds mu.
func (r *Roster) inService(now time.Time, m *member) bool {
	if m.State != catalog.Ready || m.leaving || r.isEvacuated(now, m.DataCentre) || now.Before(m.unconfirmedUntil) {
		return false
	}
	return m.missingSince.IsZero() || now.Sub(m.missingSince) <= missingGracePeriod
}

// Endpoints returns the endpoints of a service that may receive work.
func (r *Roster) Endpoints(now time.Time, service string) []catalog.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []catalog.Endpoint
	for _, m := range r.byService[service] {
		if r.usable(now, m) {
			list = append(list, m.Endpoint)
		}
	}
	return list
}

// Engines returns the model engines of a service that may receive work and are not in backoff. If all
// of them are, it returns these.
func (r *Roster) Engines(now time.Time, service string) []dispatch.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list, failed []dispatch.Engine
	for _, m := range r.byService[service] {
		if !r.usable(now, m) {
			continue
		}
		e := dispatch.Engine{Endpoint: m.Endpoint, Cold: r.cold(now, m)}
		if l := m.limit(now); l.Active {
			e.RequestInterval = l.interval(bookingLimitShare)
		}
		if m.inBackoff(now) {
			failed = append(failed, e)
			continue
		}
		list = append(list, e)
	}
	if len(list) == 0 {
		return failed
	}
	return list
}

// MaxIdleConnections returns how many idle connections this entry may keep to an endpoint: its
// share of those that the endpoint accepts from all entries.
func (r *Roster) MaxIdleConnections(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil {
		return 0
	}
	s := r.services[m.Service]
	if s == nil || s.MaxConnections <= 0 {
		return upstream.DefaultMaxIdle
	}
	return min(max(int(idleConnectionShare*float64(s.MaxConnections))/r.entryCount, 1), upstream.DefaultMaxIdle)
}

// Count returns the number of known endpoints and how many of them may receive work.
func (r *Roster) Count(now time.Time) (listed, usable int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if r.usable(now, m) {
			usable++
		}
	}
	return len(r.members), usable
}

// Known reports whether an endpoint is listed, or has been missing for no longer than its grace
// period.
func (r *Roster) Known(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[id] != nil
}

// Candidate is an endpoint that may receive a request now.
type Candidate struct {
	catalog.Endpoint
	// Load is the estimated number of requests at the endpoint.
	Load int
	// FailureRate is the recent rate of failures, 0 to 1.
	FailureRate float64
	// Latency is the average time to the first byte; 0 if not known.
	Latency time.Duration
	Cold    bool
	// TurnBooked is set if the dispatcher has booked a turn for the request within the endpoint's limit.
	TurnBooked bool
}

// candidate returns a member as a candidate. The caller holds mu.
func (r *Roster) candidate(now time.Time, m *member) Candidate {
	return Candidate{
		Endpoint: m.Endpoint, Load: m.load(now), FailureRate: m.currentFailureRate(now),
		Latency: time.Duration(m.latency * float64(time.Second)), Cold: r.cold(now, m),
	}
}

// BookedCandidate returns a selected endpoint for which the dispatcher has booked a turn within its limit,
// if it may receive the request otherwise.
func (r *Roster) BookedCandidate(now time.Time, f Filter, id string) (Candidate, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil || m.Service != f.Service || !r.usable(now, m) || !r.matches(f, m) || m.down || r.coldDelay(now, m) > 0 {
		return Candidate{}, false
	}
	c := r.candidate(now, m)
	c.TurnBooked = true
	return c, true
}

// Filter selects endpoints.
type Filter struct {
	Service string
	// Regions are the regions that may serve; none allows all.
	Regions []string
	// Version is the only software version that may serve; empty allows all.
	Version string
	// Excluded is a software version that may not serve; empty allows all.
	Excluded string
	// Only holds the IDs of the endpoints that may serve; nil allows all.
	Only map[string]bool
	// Tried holds the IDs of endpoints that are left out.
	Tried map[string]bool
	// Healthy leaves out endpoints in backoff, which are selected otherwise if there are no others.
	Healthy bool
}

// matches reports whether the filter selects a member of its service. The caller holds mu.
func (r *Roster) matches(f Filter, m *member) bool {
	return (len(f.Regions) == 0 || slices.Contains(f.Regions, r.regions[m.DataCentre])) && (f.Version == "" || f.Version == m.Version) &&
		(f.Excluded == "" || f.Excluded != m.Version) && (f.Only == nil || f.Only[m.ID]) && !f.Tried[m.ID]
}

// Serves reports whether any selected endpoint may receive work.
func (r *Roster) Serves(now time.Time, f Filter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.byService[f.Service], func(m *member) bool { return r.inService(now, m) && r.matches(f, m) })
}

// Candidates returns the selected endpoints that may receive one more request now: they are usable, not
// backed off, and within the rates that the entries share while an endpoint is cold or has a limit. If
// there are none, it returns those in backoff.
func (r *Roster) Candidates(now time.Time, f Filter) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list, failed []Candidate
	for _, m := range r.byService[f.Service] {
		if !r.usable(now, m) || !r.matches(f, m) {
			continue
		}
		if r.sendDelay(now, m) > 0 {
			continue
		}
		c := r.candidate(now, m)
		if m.inBackoff(now) {
			failed = append(failed, c)
			continue
		}
		list = append(list, c)
	}
	if len(list) == 0 && !f.Healthy {
		// If all have failed, any of them may have recovered first.
		list = failed
	}
	return list
}

func (r *Roster) cold(now time.Time, m *member) bool {
	s := r.services[m.Service]
	return s != nil && s.ColdRate > 0 && now.Before(m.coldUntil)
}

// rank returns this entry's rank for an endpoint. It is computed once per set of entries, because
// it hashes each of them.
func (r *Roster) rank(m *member) int {
	if m.rankVersion != r.entriesVersion {
		m.rank, m.rankVersion = r.rankFor(m.ID), r.entriesVersion
	}
	return m.rank
}

// load combines the load that the endpoint reported with this entry's own requests in flight.
func (m *member) load(now time.Time) int {
	if now.Sub(m.reportedLoadAt) > reportedLoadTTL {
		return m.inFlight
	}
	return max(m.reportedLoad, m.inFlight)
}

// reportedLoadTTL is how long a reported load is used.
const reportedLoadTTL = time.Second

// Begin counts a request that is about to be sent and reports whether the endpoint may still receive it. If
// not, as when it has started again since it was chosen, the request is not counted.
func (r *Roster) Begin(now time.Time, c Candidate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.sendDelay
	if c.TurnBooked {
		delay = r.coldDelay
	}
	return r.begin(now, r.incarnation(c.Endpoint), delay)
}

// begin counts a request to a member, or returns false if m is nil or must not receive it. The caller holds mu.
func (r *Roster) begin(now time.Time, m *member, delay func(time.Time, *member) time.Duration) bool {
	if m == nil || !r.usable(now, m) || delay(now, m) > 0 {
		return false
	}
	m.lastSend = now
	if m.down {
		m.probing = true
	}
	m.inFlight++
	return true
}

// Report records the outcome of a request that was counted, once it is known. firstByte is the time from
// sending to the first byte of the response. Like all reports of requests, it is ignored if the endpoint has started
// again since the request was sent.
func (r *Roster) Report(now time.Time, e catalog.Endpoint, o Outcome, firstByte time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.incarnation(e)
	if m == nil {
		return
	}
	if m.record(now, o, firstByte) {
		m.coldUntil = laterOf(m.coldUntil, now.Add(r.coldPeriod(m.Service)))
	}
}

// ReportProgress records that the response to a request that was counted is a stream that has begun soundly. The
// outcome of the request is reported later.
func (r *Roster) ReportProgress(e catalog.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.incarnation(e); m != nil {
		m.recordProgress()
	}
}

// End removes a request that was counted.
func (r *Roster) End(e catalog.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.incarnation(e); m != nil && m.inFlight > 0 {
		m.inFlight--
		m.probing = false
	}
}

// Status is what an endpoint reported of itself in a response.
type Status struct {
	// Load is the number of requests at the endpoint; negative if none was reported.
	Load int
	// ColdRemaining is how long the endpoint remains cold.
	ColdRemaining time.Duration
	// Leaving is set if the endpoint is about to leave.
	Leaving bool
	// RetryAfter is how long the endpoint wants no requests from this entry.
	RetryAfter time.Duration
	// Limit is the rate limit that the response states. A response that may not be the endpoint's own sets
	// LimitUnknown.
	Limit        RateLimit
	LimitUnknown bool
	// SentAt is when the request was sent that the response answers.
	SentAt time.Time
}

// RecordStatus records what an endpoint reported of itself, and reports whether that changed what the
// other entries need to know. A cold time or a pause that ends sooner than the known one does not
// shorten it.
func (r *Roster) RecordStatus(now time.Time, e catalog.Endpoint, s Status) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.incarnation(e)
	if m == nil {
		return false
	}
	if s.Load >= 0 {
		m.reportedLoad, m.reportedLoadAt = s.Load, now
	}
	if s.ColdRemaining > 0 && r.setCold(m, now.Add(s.ColdRemaining)) {
		changed = true
	}
	if s.Leaving && r.setLeaving(m) {
		changed = true
	}
	if s.RetryAfter > 0 {
		m.pausedUntil = laterOf(m.pausedUntil, now.Add(s.RetryAfter))
	}
	if !s.LimitUnknown && r.recordLimit(now, m, s.SentAt, s.Limit) {
		changed = true
	}
	return changed
}

// PausedFor returns how long an endpoint wants no requests from this entry; 0 if it takes them.
func (r *Roster) PausedFor(now time.Time, id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil {
		return max(m.pausedUntil.Sub(now), 0)
	}
	if d, found := r.departed[id]; found {
		return max(d.pausedUntil.Sub(now), 0)
	}
	return 0
}

// Delay returns the time until the first of the selected endpoints takes a request of this entry, if only
// pauses and shared rates keep all of them out of use. It returns 0 otherwise.
func (r *Roster) Delay(now time.Time, f Filter) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var shortest time.Duration
	for _, m := range r.byService[f.Service] {
		if !r.inService(now, m) || !r.matches(f, m) {
			continue
		}
		delay := max(m.pausedUntil.Sub(now), r.sendDelay(now, m))
		if delay <= 0 {
			return 0
		}
		if shortest == 0 || delay < shortest {
			shortest = delay
		}
	}
	return shortest
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

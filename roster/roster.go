// Package roster keeps what is believed of the endpoints: which there are,
// which may get work, which are cold, and how they did lately. It has no I/O;
// every method takes the time.
package roster

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/upstream"
)

const (
	// missingGrace is how long an endpoint that vanished while the store was not
	// heard stays in use; the store lists it again within two seconds if it lives.
	missingGrace = 1800 * time.Millisecond
	// firstBackoff doubles with each failure in a row to reach an endpoint.
	firstBackoff = 300 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// outcomeMemory is the time constant with which failures are forgotten.
	outcomeMemory = 4 * time.Second
	// outcomeWeight is the weight of the latest outcome.
	outcomeWeight = 0.3
	// coldEntries bounds the entries that send to one cold endpoint, so that
	// their single requests together stay below what it bears.
	coldEntries = 6
	// coldShare of the declared rate is used.
	coldShare = 0.9
	// idleShare of the connections that an endpoint takes may be idle ones of all
	// entries: the rest is for requests, and an endpoint resets those beyond.
	idleShare = 0.5
)

// Outcome is how a request to an endpoint ended, as far as it tells of the
// endpoint's health.
type Outcome int

// The outcomes.
const (
	// Answered: the endpoint did its work.
	Answered Outcome = iota
	// Failed: the endpoint answered with a failure of its own.
	Failed
	// Refused: the endpoint did not run the request.
	Refused
	// Unreachable: no connection, or no byte was sent.
	Unreachable
	// ConnectionLost: the request was sent, and the connection failed or stayed silent.
	ConnectionLost
)

// member is one endpoint with what this process knows of it.
type member struct {
	catalog.Endpoint
	listed    bool
	missing   time.Time
	coldUntil time.Time
	inFlight  int
	// told is the load that the endpoint told, at the time toldAt.
	told   int
	toldAt time.Time
	// failing is the share of failures, forgotten with time; latency is of
	// first bytes, in seconds.
	failing   float64
	failingAt time.Time
	latency   float64
	failures  int
	retryAt   time.Time
	// down is set while the endpoint counts as failed, trial while the one
	// request is out that tries it.
	down  bool
	trial bool
	// coldToken is when the next request to the cold endpoint may be sent.
	coldToken time.Time
	// rank is this entry's for the endpoint among the entries of a time.
	rank       int
	rankedWith int
}

// Roster is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex
	members map[string]*member
	// ofService are the members of each service by id: a deployment has thousands
	// of endpoints, and each request looks at those of one service.
	ofService map[string][]*member
	evacuate  map[string]bool
	services  map[string]*catalog.Service
	regions   map[string]string
	seeded    bool
	// ranked gives this entry's place among those that share out a cold endpoint;
	// entriesSet counts how often they changed.
	entries    int
	ranked     func(endpoint string) int
	entriesSet int
}

// New returns an empty roster. The regions are those of data centres.
func New(regions map[string]string) *Roster {
	return &Roster{
		members: make(map[string]*member), evacuate: make(map[string]bool),
		services: make(map[string]*catalog.Service), regions: regions, entries: 1,
		ranked: func(string) int { return 0 },
	}
}

// SetServices replaces the declared services.
func (r *Roster) SetServices(services map[string]*catalog.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = services
}

// SetEntries tells how many entries share out what a cold endpoint bears, and
// this entry's rank among them for each endpoint.
func (r *Roster) SetEntries(n int, ranked func(endpoint string) int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries, r.ranked = max(n, 1), ranked
	r.entriesSet++
}

// SetEndpoints replaces the list of endpoints. After a gap, in which the store
// was not heard, vanished ones stay for a moment, as their entries may have
// expired while they live.
func (r *Roster) SetEndpoints(now time.Time, list []catalog.Endpoint, gap bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		m.listed = false
	}
	for _, e := range list {
		m := r.members[e.ID]
		if m == nil || m.Incarnation != e.Incarnation || m.Address != e.Address {
			m = &member{}
			r.members[e.ID] = m
			if r.seeded && e.ColdRemaining == 0 && e.Incarnation == 0 {
				// An endpoint that does not tell is taken to be as cold as one that just started.
				m.coldUntil = now.Add(r.coldFor(e.Service))
			}
		}
		if e.ColdRemaining > 0 {
			m.coldUntil = now.Add(e.ColdRemaining)
		}
		m.Endpoint, m.listed, m.missing = e, true, time.Time{}
	}
	for id, m := range r.members {
		if m.listed {
			continue
		}
		if gap && m.State == catalog.Ready && m.missing.IsZero() {
			m.missing = now
		}
		if m.missing.IsZero() || now.Sub(m.missing) > missingGrace {
			delete(r.members, id)
		}
	}
	r.seeded = true
	r.index()
}

// index sorts the members by service. The caller holds mu.
func (r *Roster) index() {
	r.ofService = make(map[string][]*member)
	for _, m := range r.members {
		r.ofService[m.Service] = append(r.ofService[m.Service], m)
	}
	for _, list := range r.ofService {
		slices.SortFunc(list, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
	}
}

func (r *Roster) coldFor(service string) time.Duration {
	if s := r.services[service]; s != nil {
		return s.ColdPeriod
	}
	return 0
}

// SetEvacuated replaces the data centres that get no work. The endpoints of
// one that comes back may have become cold shortly before.
func (r *Roster) SetEvacuated(now time.Time, dataCentres map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if r.evacuate[m.DataCentre] && !dataCentres[m.DataCentre] {
			m.coldUntil = later(m.coldUntil, now.Add(r.coldFor(m.Service)))
		}
	}
	r.evacuate = dataCentres
}

// Usable reports whether an endpoint may still get work: it is asked again at
// the moment of sending, as work may have waited.
func (r *Roster) Usable(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	return m != nil && r.usable(now, m)
}

func (r *Roster) usable(now time.Time, m *member) bool {
	if m.State != catalog.Ready || r.evacuate[m.DataCentre] {
		return false
	}
	return m.missing.IsZero() || now.Sub(m.missing) <= missingGrace
}

// Endpoints lists the endpoints of a service that may get work.
func (r *Roster) Endpoints(now time.Time, service string) []catalog.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []catalog.Endpoint
	for _, m := range r.ofService[service] {
		if r.usable(now, m) {
			list = append(list, m.Endpoint)
		}
	}
	return list
}

// Engines lists the model engines of a service that may get work and answer.
func (r *Roster) Engines(now time.Time, service string) []dispatch.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list, down []dispatch.Engine
	for _, m := range r.ofService[service] {
		if !r.usable(now, m) {
			continue
		}
		e := dispatch.Engine{Endpoint: m.Endpoint, Cold: r.cold(now, m)}
		if m.down {
			down = append(down, e)
			continue
		}
		list = append(list, e)
	}
	if len(list) == 0 {
		return down
	}
	return list
}

// MaxIdleConnections is how many idle connections this entry may keep to an
// endpoint: its share of those that the endpoint takes from all.
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
	return min(max(int(idleShare*float64(s.MaxConnections))/r.entries, 1), upstream.DefaultMaxIdle)
}

// Count returns how many endpoints there are, and how many may get work.
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

// Known reports whether an endpoint is listed or was a moment ago.
func (r *Roster) Known(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[id] != nil
}

// Candidate is an endpoint that may get a request now.
type Candidate struct {
	catalog.Endpoint
	// Load is the number of requests believed to be there.
	Load int
	// FailureRate is the recent share of failures, 0 to 1.
	FailureRate float64
	// Latency is the usual time to the first byte; 0 when not known.
	Latency time.Duration
	Cold    bool
}

// Candidates lists the endpoints of a service that may get one more request
// now: usable, not in backoff, and not beyond what they bear while cold.
func (r *Roster) Candidates(now time.Time, service string, regions []string) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list, failed []Candidate
	for _, m := range r.ofService[service] {
		if !r.usable(now, m) {
			continue
		}
		if len(regions) > 0 && !slices.Contains(regions, r.regions[m.DataCentre]) {
			continue
		}
		cold := r.cold(now, m)
		if cold && !r.bears(now, m) {
			continue
		}
		c := Candidate{
			Endpoint: m.Endpoint, Load: m.load(now), FailureRate: m.failingNow(now),
			Latency: time.Duration(m.latency * float64(time.Second)), Cold: cold,
		}
		if m.down && (m.trial || now.Before(m.retryAt)) {
			failed = append(failed, c)
			continue
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		// Where all have failed, each may be the first that is back.
		list = failed
	}
	return list
}

func (r *Roster) cold(now time.Time, m *member) bool {
	s := r.services[m.Service]
	return s != nil && s.ColdRate > 0 && now.Before(m.coldUntil)
}

// bears reports whether this entry may send one request to a cold endpoint now.
func (r *Roster) bears(now time.Time, m *member) bool {
	return r.rank(m) < coldEntries && !now.Before(m.coldToken)
}

// rank is worked out once for each set of entries: it takes a hash for each of them.
func (r *Roster) rank(m *member) int {
	if m.rankedWith != r.entriesSet {
		m.rank, m.rankedWith = r.ranked(m.ID), r.entriesSet
	}
	return m.rank
}

// coldSpacing is the time between two requests of this entry to a cold endpoint.
func (r *Roster) coldSpacing(m *member) time.Duration {
	rate := r.services[m.Service].ColdRate * coldShare / float64(min(r.entries, coldEntries))
	return time.Duration(float64(time.Second) / rate)
}

// load combines what the endpoint told with this entry's own requests.
func (m *member) load(now time.Time) int {
	if now.Sub(m.toldAt) > toldFresh {
		return m.inFlight
	}
	return max(m.told, m.inFlight)
}

// toldFresh is how long a told load says something.
const toldFresh = time.Second

func (m *member) failingNow(now time.Time) float64 {
	return m.failing * math.Exp(-now.Sub(m.failingAt).Seconds()/outcomeMemory.Seconds())
}

// Begin books a request that is about to be sent, if the endpoint may still get it.
func (r *Roster) Begin(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil || !r.usable(now, m) {
		return false
	}
	if r.cold(now, m) {
		if !r.bears(now, m) {
			return false
		}
		m.coldToken = now.Add(r.coldSpacing(m))
	}
	if m.down {
		m.trial = true
	}
	m.inFlight++
	return true
}

// Report takes the outcome of a request that Begin booked, when its fate is known.
func (r *Roster) Report(now time.Time, id string, o Outcome, firstByte time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil {
		return
	}
	m.trial = false
	m.failing = m.failingNow(now)
	m.failingAt = now
	bad := 0.0
	switch o {
	case Answered:
		m.failures, m.down = 0, false
		if m.latency == 0 {
			m.latency = firstByte.Seconds()
		}
		m.latency += outcomeWeight * (firstByte.Seconds() - m.latency)
	case Failed:
		m.failures, m.down = 0, false
		bad = 1
	case Refused:
		bad = 0.5
	case Unreachable, ConnectionLost:
		bad = 1
		m.failures++
		// One lost answer alone does not take an endpoint out.
		if o == Unreachable || m.failures > 1 {
			m.down = true
			m.retryAt = now.Add(min(firstBackoff<<min(m.failures-1, 5), maxBackoff))
			m.coldUntil = later(m.coldUntil, now.Add(r.coldFor(m.Service)))
		}
	}
	m.failing += outcomeWeight * (bad - m.failing)
}

// End books the end of a request that Begin booked.
func (r *Roster) End(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil && m.inFlight > 0 {
		m.inFlight--
		m.trial = false
	}
}

// RecordStatus takes what an endpoint said of itself in a response.
func (r *Roster) RecordStatus(now time.Time, id string, load int, cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil {
		return
	}
	if load >= 0 {
		m.told, m.toldAt = load, now
	}
	if cold > 0 {
		m.coldUntil = later(m.coldUntil, now.Add(cold))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package suspect

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// maxExplainedCrashes is the number of crashes up to which another request may explain those of a request.
const maxExplainedCrashes = 5

// Requests finds the requests that crash each endpoint that runs them, and come again at any entry. It counts
// the endpoints that crashed while they ran a request, however many copies of it ran there. A request is
// refused from minPartCrashes endpoints on that nothing else explains: a blamed part of other requests' prompts
// explains the crashes that it has in common with the request, and so does another request with at least as
// many crashes, as long as the request has fewer than maxExplainedCrashes. A run to a good end at any entry
// clears the request. It is safe for concurrent use.
//
// The load pattern it answers: copies of a few sound requests are in flight at all endpoints all the while, and
// another request, a part of other prompts, or nothing that is sent crashes endpoints beside them.
type Requests struct {
	crashMarks
	parts            *Parts
	refused, cleared prometheus.Counter
}

// NewRequests returns an empty table whose crashes the parts may explain. It registers its metrics with reg
// unless that is nil.
func NewRequests(parts *Parts, reg prometheus.Registerer) *Requests {
	t := &Requests{
		crashMarks: crashMarks{marks: newLRU[crashMark](partCapacity)}, parts: parts,
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_suspect_requests_refused_total", Help: "Requests refused because they crash endpoints.",
		}),
		cleared: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "azurelead_suspect_requests_cleared_total", Help: "Marked requests that ran to a good end at this entry.",
		}),
	}
	if reg != nil {
		reg.MustRegister(t.refused, t.cleared, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "azurelead_suspect_requests", Help: "Requests under which enough endpoints crashed to refuse them, unless something else explains that.",
		}, func() float64 { return float64(t.countBlamed()) }))
	}
	return t
}

// Crashed records that an endpoint crashed while it ran a request. An endpoint that starts again goes by
// another name here.
func (t *Requests) Crashed(endpoint, digest string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addCrash(digest, endpoint, nil, time.Now())
}

// EndedWell records that a request has run to a good end, which clears its mark.
func (t *Requests) EndedWell(digest string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clear(digest, time.Now()) {
		t.cleared.Inc()
	}
}

// Refused reports whether a request with the parts is refused.
func (t *Requests) Refused(digest string, parts []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	m, _ := t.marks.Get(digest) // keeps the mark from being evicted
	if !m.isBlamed(now) {
		return false
	}
	rest := t.parts.unexplained(m.endpoints, parts)
	if len(m.endpoints) < maxExplainedCrashes {
		rest = t.unexplained(rest, digest, len(m.endpoints), now)
	}
	if len(rest) < minPartCrashes {
		return false
	}
	t.refused.Inc()
	return true
}

// unexplained returns those of the crashed endpoints that no other request with as many crashes explains. The
// caller holds mu.
func (t *Requests) unexplained(endpoints []string, digest string, crashes int, now time.Time) []string {
	for _, other := range t.marks.Keys() {
		if o, _ := t.marks.Peek(other); other != digest && len(o.endpoints) >= crashes && o.isBlamed(now) {
			endpoints = without(endpoints, o.endpoints)
		}
	}
	return endpoints
}

// Merge merges a peer's marks into the table.
func (t *Requests) Merge(marks []PartMark) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, s := range marks[:min(len(marks), partCapacity)] {
		t.merge(s, now)
	}
}

// Marks returns the marks to send to linked peers: those that changed within partGossipPeriod.
func (t *Requests) Marks() []PartMark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recentMarks()
}

// AllMarks returns the marks to send to a peer when it is linked.
func (t *Requests) AllMarks() []PartMark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allMarks()
}

package roster

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
)

// The outcomes of requests to an endpoint that has started again since, and what it stated before, were recorded for
// the new incarnation: that was down and cold, its requests were miscounted, or it counted as leaving, paused or limited.
func TestReportsAboutFormerIncarnationAreIgnored(t *testing.T) {
	now := epoch.Add(time.Second)
	former, restarted, moved := makeEndpoints(1, "a"), makeEndpoints(1, "a"), makeEndpoints(1, "a")
	restarted[0].Incarnation++
	moved[0].Address = "10.0.0.2:1"
	status := func(s Status) func(*Roster) bool {
		return func(r *Roster) bool { return r.RecordStatus(now, former[0], s) }
	}
	outcomes := func(list ...Outcome) func(*Roster) bool {
		return func(r *Roster) bool {
			for _, o := range list {
				r.Report(now, former[0], o, time.Second)
			}
			return false
		}
	}
	cases := []struct {
		name   string
		report func(r *Roster) (changed bool)
	}{
		{"unreachable", outcomes(Unreachable)},
		{"connections lost", outcomes(ConnectionLost, ConnectionLost)},
		{"failed", outcomes(Failed)},
		{"refused", outcomes(Refused)},
		{"answered", outcomes(Answered)},
		{"ended", func(r *Roster) bool { r.End(former[0]); return false }},
		{"load", status(Status{Load: 9, LimitUnknown: true})},
		{"cold", status(Status{Load: -1, ColdRemaining: time.Minute, LimitUnknown: true})},
		{"leaving", status(Status{Load: -1, Leaving: true, LimitUnknown: true})},
		{"paused", status(Status{Load: -1, RetryAfter: time.Minute, LimitUnknown: true})},
		{"limited", status(Status{Load: -1, Limit: RateLimit{Active: true, PerSecond: 1}, SentAt: now})},
	}
	for _, c := range cases {
		for _, latter := range [][]catalog.Endpoint{restarted, moved} {
			r := newRoster(former)
			begin(r, epoch, "e0")
			r.SetEndpoints(now, latter, Continuous)
			begin(r, now, "e0")
			before := *r.members["e0"]
			if changed := c.report(r); changed || *r.members["e0"] != before {
				t.Errorf("%s: changed the new incarnation from %+v to %+v, or made a notice", c.name, before, *r.members["e0"])
			}
		}
	}
}

// A request to an endpoint that has started again since it was chosen went to the former address, and counted as in
// flight at the new incarnation.
func TestRequestToFormerIncarnationIsNotBegun(t *testing.T) {
	endpoints := makeEndpoints(1, "a")
	r := newRoster(endpoints)
	chosen := r.Candidates(epoch, Filter{Service: "llm"})[0]
	endpoints[0].Incarnation++
	r.SetEndpoints(epoch, endpoints, Continuous)
	for _, booked := range []bool{false, true} {
		chosen.TurnBooked = booked
		if r.Begin(epoch, chosen) || r.members["e0"].inFlight != 0 {
			t.Errorf("turn booked %v: the request was begun, %d in flight", booked, r.members["e0"].inFlight)
		}
	}
	if again := r.Candidates(epoch, Filter{Service: "llm"})[0]; !r.Begin(epoch, again) {
		t.Error("a request to the new incarnation was not begun")
	}
}

package roster

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/upstream"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func makeEndpoints(n int, dataCentres ...string) []catalog.Endpoint {
	var endpoints []catalog.Endpoint
	for i := range n {
		endpoints = append(endpoints, catalog.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "llm", Address: "10.0.0.1:1", DataCentre: dataCentres[i%len(dataCentres)], Incarnation: 1,
		})
	}
	return endpoints
}

func newRoster(endpoints []catalog.Endpoint) *Roster {
	r := New(map[string]string{"a": "r1", "b": "r2"})
	r.SetServices(map[string]*catalog.Service{"llm": {Name: "llm", ColdPeriod: 3 * time.Second, ColdRate: 9}})
	r.SetEndpoints(epoch, endpoints, Continuous)
	return r
}

// begin counts a request to an endpoint as it is listed now. beginBooked does so for a booked turn.
func begin(r *Roster, now time.Time, id string) bool {
	return r.Begin(now, Candidate{Endpoint: listed(r, id)})
}

func beginBooked(r *Roster, now time.Time, id string) bool {
	return r.Begin(now, Candidate{Endpoint: listed(r, id), TurnBooked: true})
}

// listed returns an endpoint as it is listed now.
func listed(r *Roster, id string) catalog.Endpoint { return r.members[id].Endpoint }

func TestCandidatesAreUsable(t *testing.T) {
	draining := makeEndpoints(2, "a")
	draining[0].State = catalog.Draining
	cases := []struct {
		name   string
		change func(r *Roster)
		want   int
	}{
		{"all", func(*Roster) {}, 2},
		{"one endpoint drains", func(r *Roster) { r.SetEndpoints(epoch, draining, Continuous) }, 1},
		{"one endpoint is no longer listed", func(r *Roster) { r.SetEndpoints(epoch, makeEndpoints(1, "a"), Continuous) }, 1},
		{"the data centre is evacuated", func(r *Roster) { r.SetEvacuated(epoch, map[string]bool{"a": true}, Continuous) }, 0},
		{"the data centre comes back", func(r *Roster) {
			r.SetEvacuated(epoch, map[string]bool{"a": true}, Continuous)
			r.SetEvacuated(epoch, nil, Continuous)
		}, 2},
		{"one endpoint is unreachable", func(r *Roster) {
			begin(r, epoch, "e0")
			r.Report(epoch, listed(r, "e0"), Unreachable, 0)
			r.End(listed(r, "e0"))
		}, 1},
		{"one connection was lost", func(r *Roster) {
			begin(r, epoch, "e0")
			r.Report(epoch, listed(r, "e0"), ConnectionLost, 0)
			r.End(listed(r, "e0"))
		}, 2},
		{"all endpoints are unreachable: any may have recovered", func(r *Roster) {
			for _, id := range []string{"e0", "e1"} {
				r.Report(epoch, listed(r, id), Unreachable, 0)
			}
		}, 2},
	}
	for _, c := range cases {
		r := newRoster(makeEndpoints(2, "a"))
		c.change(r)
		if got := len(r.Candidates(epoch, Filter{Service: "llm"})); got != c.want {
			t.Errorf("%s: %d candidates, want %d", c.name, got, c.want)
		}
	}
}

// Endpoints whose records expired while the store did not answer stay in use for the grace period.
// Endpoints that a reachable store no longer lists are removed at once.
func TestUnlistedEndpointsExpire(t *testing.T) {
	r := newRoster(makeEndpoints(2, "a"))
	r.SetEndpoints(epoch, makeEndpoints(1, "a"), AfterGap)
	if !r.Usable(epoch.Add(time.Second), "e1") {
		t.Error("an endpoint whose record may have expired is not usable")
	}
	if r.Usable(epoch.Add(2*time.Second), "e1") {
		t.Error("an endpoint is usable although its record did not come back within the grace period")
	}
	r.SetEndpoints(epoch, nil, Continuous)
	if r.Known("e0") {
		t.Error("a removed endpoint is still known")
	}
}

func TestRegions(t *testing.T) {
	r := newRoster(makeEndpoints(2, "a", "b"))
	if c := r.Candidates(epoch, Filter{Service: "llm", Regions: []string{"r2"}}); len(c) != 1 || c[0].DataCentre != "b" {
		t.Errorf("candidates are %v, want only the one in data centre b", c)
	}
}

// A failed endpoint gets a single request as a probe, and further ones only after the probe was
// answered.
func TestFailedEndpointIsProbedOnce(t *testing.T) {
	r := newRoster(makeEndpoints(2, "a"))
	r.Report(epoch, listed(r, "e0"), Unreachable, 0)
	now := epoch.Add(minBackoff + time.Millisecond)
	if len(r.Candidates(now, Filter{Service: "llm"})) != 2 || !begin(r, now, "e0") {
		t.Fatal("the failed endpoint is not probed")
	}
	if len(r.Candidates(now, Filter{Service: "llm"})) != 1 {
		t.Error("the failed endpoint gets a second request during the probe")
	}
	r.Report(now, listed(r, "e0"), Answered, time.Millisecond)
	now = now.Add(time.Second) // a failed endpoint also counts as cold for a while
	if len(r.Candidates(now, Filter{Service: "llm"})) != 2 {
		t.Error("the endpoint gets no requests after it answered the probe")
	}
}

// The endpoints of a data centre come back cold and all entries send at once. In any second a cold
// endpoint must receive at most 1.5 times its rate plus five requests, for any number of entries
// and any times of the requests.
func TestColdEndpointsStayWithinTheirRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(rt, "entries")
		var entries []*Roster
		for i := range n {
			cold := makeEndpoints(1, "a")
			cold[0].ColdRemaining = 3 * time.Second
			r := newRoster(cold)
			r.SetEntries(n, func(string) int { return i })
			entries = append(entries, r)
		}
		var sent []time.Time
		for range rapid.IntRange(50, 400).Draw(rt, "requests") {
			at := epoch.Add(time.Duration(rapid.IntRange(0, 2900).Draw(rt, "ms")) * time.Millisecond)
			r := entries[rapid.IntRange(0, n-1).Draw(rt, "entry")]
			if len(sent) > 0 && at.Before(sent[len(sent)-1]) {
				at = sent[len(sent)-1]
			}
			if begin(r, at, "e0") {
				sent = append(sent, at)
			}
		}
		for i := range sent {
			count := 0
			for _, other := range sent[i:] {
				if other.Sub(sent[i]) < time.Second {
					count++
				}
			}
			if float64(count) > 9*1.5+5 {
				rt.Fatalf("%d requests in one second from %d entries", count, n)
			}
		}
	})
}

// An endpoint counts as cold whether a response or its record says so.
func TestColdStatusFromResponseAndRecord(t *testing.T) {
	r := newRoster(makeEndpoints(1, "a"))
	r.RecordStatus(epoch, listed(r, "e0"), Status{Load: 3, ColdRemaining: time.Second})
	if c := r.Candidates(epoch, Filter{Service: "llm"}); !c[0].Cold || c[0].Load != 3 {
		t.Errorf("after the response: candidate %+v, want cold with load 3", c)
	}
	if c := r.Candidates(epoch.Add(1100*time.Millisecond), Filter{Service: "llm"}); c[0].Cold || c[0].Load != 0 {
		t.Errorf("after the cold time: candidate %+v, want warm with load 0", c)
	}
	restarted := makeEndpoints(1, "a")
	restarted[0].Incarnation, restarted[0].ColdRemaining = 2, 2*time.Second
	r.SetEndpoints(epoch, restarted, Continuous)
	if c := r.Candidates(epoch, Filter{Service: "llm"}); !c[0].Cold {
		t.Error("a restarted endpoint is not cold")
	}
}

// Many entries each keep the connections of a burst to an endpoint that accepts few connections
// from all of them together. Each entry must stay within its share.
func TestIdleConnectionsAreShared(t *testing.T) {
	cases := []struct {
		name           string
		maxConnections int
		entries        int
		id             string
		want           int
	}{
		{"few entries", 100, 4, "e0", 12},
		{"many entries", 100, 20, "e0", 2},
		{"more entries than connections", 100, 300, "e0", 1},
		{"plenty", 10_000, 4, "e0", upstream.DefaultMaxIdle},
		{"no limit declared", 0, 300, "e0", upstream.DefaultMaxIdle},
		{"endpoint not listed", 100, 4, "gone", 0},
	}
	for _, c := range cases {
		r := newRoster(makeEndpoints(1, "a"))
		r.SetServices(map[string]*catalog.Service{"llm": {Name: "llm", MaxConnections: c.maxConnections}})
		r.SetEntries(c.entries, func(string) int { return 0 })
		if got := r.MaxIdleConnections(c.id); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// What an endpoint has announced holds for its whole incarnation: when its record is outdated, is
// missing for a while, or comes back from a restored store.
func TestLeavingEndpointStaysOut(t *testing.T) {
	ready := makeEndpoints(2, "a")
	draining := makeEndpoints(2, "a")
	draining[0].State = catalog.Draining
	restarted := makeEndpoints(2, "a")
	restarted[0].Incarnation = 2
	saysLeaving := func(r *Roster) { r.RecordStatus(epoch, listed(r, "e0"), Status{Load: -1, Leaving: true}) }
	cases := []struct {
		name   string
		change func(r *Roster)
		usable bool
	}{
		{"a response says so", saysLeaving, false},
		{"the next list still says ready", func(r *Roster) {
			saysLeaving(r)
			r.SetEndpoints(epoch, ready, Continuous)
		}, false},
		{"its record was missing for a while", func(r *Roster) {
			saysLeaving(r)
			r.SetEndpoints(epoch, ready[1:], Continuous)
			r.SetEndpoints(epoch, ready, Continuous)
		}, false},
		{"a restored store has the record from before", func(r *Roster) {
			r.SetEndpoints(epoch, draining, Continuous)
			r.SetEndpoints(epoch, ready, AfterRestore)
		}, false},
		{"a restored store has the record of an endpoint that has left", func(r *Roster) {
			r.SetEndpoints(epoch, draining, Continuous)
			r.SetEndpoints(epoch, ready[1:], Continuous)
			r.SetEndpoints(epoch, ready, AfterRestore)
		}, false},
		{"the endpoint has restarted", func(r *Roster) {
			saysLeaving(r)
			r.SetEndpoints(epoch, restarted, Continuous)
		}, true},
	}
	for _, c := range cases {
		r := newRoster(ready)
		c.change(r)
		for _, now := range []time.Time{epoch, epoch.Add(time.Minute)} {
			if r.Usable(now, "e0") != c.usable || begin(r, now, "e0") != c.usable {
				t.Errorf("%s, after %v: usable %t, want %t", c.name, now.Sub(epoch), !c.usable, c.usable)
			}
		}
	}
}

// An endpoint that asks for a pause gets no request until its end, even if no other endpoint is
// left.
func TestPausedEndpointGetsNothing(t *testing.T) {
	r := newRoster(makeEndpoints(2, "a"))
	r.RecordStatus(epoch, listed(r, "e0"), Status{Load: -1, RetryAfter: 2 * time.Second})
	r.RecordStatus(epoch, listed(r, "e0"), Status{Load: -1, RetryAfter: time.Second})
	r.RecordStatus(epoch, listed(r, "e1"), Status{Load: -1, RetryAfter: 3 * time.Second})
	steps := []struct {
		after      time.Duration
		candidates int
		pause      time.Duration
	}{
		{0, 0, 2 * time.Second},
		{1999 * time.Millisecond, 0, time.Millisecond},
		{2 * time.Second, 1, 0},
		{3 * time.Second, 2, 0},
	}
	for _, s := range steps {
		now := epoch.Add(s.after)
		r.SetEndpoints(now, makeEndpoints(2, "a"), AfterRestore)
		if got := len(r.Candidates(now, Filter{Service: "llm"})); got != s.candidates || len(r.Endpoints(now, "llm")) != s.candidates {
			t.Errorf("after %v: %d candidates, want %d", s.after, got, s.candidates)
		}
		if got := r.Delay(now, Filter{Service: "llm"}); got != s.pause {
			t.Errorf("after %v: paused for %v, want %v", s.after, got, s.pause)
		}
	}
}

// A store that was restored from a backup may list endpoints that have ended and lack some that are
// alive. It gets time to show which.
func TestRestoredEndpointsAreConfirmed(t *testing.T) {
	r := newRoster(makeEndpoints(2, "a"))
	r.SetEndpoints(epoch, makeEndpoints(1, "a"), Continuous) // e1 has ended
	started := append(makeEndpoints(1, "a"), catalog.Endpoint{ID: "new", Service: "llm", Address: "10.0.0.1:2", DataCentre: "a", Incarnation: 1})
	r.SetEndpoints(epoch, started, Continuous)
	r.SetEndpoints(epoch, makeEndpoints(2, "a"), AfterRestore) // with e1, without the new endpoint
	for _, s := range []struct {
		after  time.Duration
		id     string
		usable bool
	}{
		{0, "e0", true},
		{0, "e1", false},
		{restoreConfirmTime - time.Millisecond, "e1", false},
		{restoreConfirmTime, "e1", true}, // it would have expired
		{time.Second, "new", true},
		{2 * time.Second, "new", false}, // it would have registered again
	} {
		if got := r.Usable(epoch.Add(s.after), s.id); got != s.usable {
			t.Errorf("%s after %v: usable %t, want %t", s.id, s.after, got, s.usable)
		}
	}
}

// An evacuation that a restored store has lost holds until the operators have had time to repeat it.
func TestLostEvacuationHolds(t *testing.T) {
	out := map[string]bool{"a": true}
	r := newRoster(makeEndpoints(1, "a"))
	r.SetEvacuated(epoch, out, Continuous)
	r.SetEvacuated(epoch, nil, AfterRestore)
	if r.Usable(epoch.Add(restoreConfirmTime-time.Millisecond), "e0") {
		t.Error("the data centre is back in service before its evacuation could be repeated")
	}
	later := epoch.Add(restoreConfirmTime)
	if c := r.Candidates(later, Filter{Service: "llm"}); len(c) != 1 || !c[0].Cold {
		t.Errorf("candidates are %+v, want one cold endpoint", c)
	}
	r.SetEvacuated(later, out, Continuous) // repeated
	r.SetEvacuated(later, nil, Continuous) // and ended
	if !r.Usable(later, "e0") {
		t.Error("the data centre is out of service after its repeated evacuation has ended")
	}
}

// An endpoint that counts as failed is tried when a request has tried all others.
func TestFailedEndpointIsTriedLast(t *testing.T) {
	r := newRoster(makeEndpoints(2, "a"))
	r.Report(epoch, listed(r, "e1"), Unreachable, 0)
	for _, c := range []struct {
		tried map[string]bool
		want  string
	}{
		{nil, "e0"},
		{map[string]bool{"e0": true}, "e1"},
		{map[string]bool{"e0": true, "e1": true}, ""},
	} {
		got := ""
		for _, candidate := range r.Candidates(epoch, Filter{Service: "llm", Tried: c.tried}) {
			got += candidate.ID
		}
		if got != c.want {
			t.Errorf("after %v: candidates %q, want %q", c.tried, got, c.want)
		}
	}
}

// The dispatcher never booked an engine again that had failed once and had not restarted.
func TestFailedEngineIsBookedAgain(t *testing.T) {
	r := newRoster(makeEndpoints(2, "a"))
	r.Report(epoch, listed(r, "e0"), Unreachable, 0)
	due := epoch.Add(minBackoff)
	for _, step := range []struct {
		name string
		at   time.Time
		do   func()
		want int
	}{
		{"in its backoff", due.Add(-time.Millisecond), func() {}, 1},
		{"after its backoff", due, func() {}, 2},
		{"during the probe", due, func() { begin(r, due, "e0") }, 1},
		{"after the probe ended without an outcome", due, func() { r.End(listed(r, "e0")) }, 2},
	} {
		step.do()
		engines := r.Engines(step.at, "llm")
		if len(engines) != step.want || step.want == 2 && !engines[0].Cold {
			t.Errorf("%s: engines %+v, want %d, one of them cold", step.name, engines, step.want)
		}
	}
}

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

func list(n int, dataCentres ...string) []catalog.Endpoint {
	var out []catalog.Endpoint
	for i := range n {
		out = append(out, catalog.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "llm", Address: "10.0.0.1:1", DataCentre: dataCentres[i%len(dataCentres)], Incarnation: 1,
		})
	}
	return out
}

func newRoster(endpoints []catalog.Endpoint) *Roster {
	r := New(map[string]string{"a": "r1", "b": "r2"})
	r.SetServices(map[string]*catalog.Service{"llm": {Name: "llm", ColdPeriod: 3 * time.Second, ColdRate: 9}})
	r.SetEndpoints(epoch, endpoints, false)
	return r
}

func TestWhatMayGetWork(t *testing.T) {
	draining := list(2, "a")
	draining[0].State = catalog.Draining
	cases := []struct {
		name string
		do   func(r *Roster)
		want int
	}{
		{"all", func(*Roster) {}, 2},
		{"one drains", func(r *Roster) { r.SetEndpoints(epoch, draining, false) }, 1},
		{"one is gone", func(r *Roster) { r.SetEndpoints(epoch, list(1, "a"), false) }, 1},
		{"the data centre is out", func(r *Roster) { r.SetEvacuated(epoch, map[string]bool{"a": true}) }, 0},
		{"and back", func(r *Roster) {
			r.SetEvacuated(epoch, map[string]bool{"a": true})
			r.SetEvacuated(epoch, nil)
		}, 2},
		{"one is not reached", func(r *Roster) {
			r.Begin(epoch, "e0")
			r.Report(epoch, "e0", Unreachable, 0)
			r.End("e0")
		}, 1},
		{"one answer was lost", func(r *Roster) {
			r.Begin(epoch, "e0")
			r.Report(epoch, "e0", ConnectionLost, 0)
			r.End("e0")
		}, 2},
		{"none is reached: each may be back", func(r *Roster) {
			for _, id := range []string{"e0", "e1"} {
				r.Report(epoch, id, Unreachable, 0)
			}
		}, 2},
	}
	for _, c := range cases {
		r := newRoster(list(2, "a"))
		c.do(r)
		if got := len(r.Candidates(epoch, "llm", nil)); got != c.want {
			t.Errorf("%s: %d candidates, want %d", c.name, got, c.want)
		}
	}
}

// Entries that expired while the store was not heard stay for a moment; those
// that a heard store drops are gone at once.
func TestVanishedEndpoints(t *testing.T) {
	r := newRoster(list(2, "a"))
	r.SetEndpoints(epoch, list(1, "a"), true)
	if !r.Usable(epoch.Add(time.Second), "e1") {
		t.Error("an endpoint whose entry may have expired is not used")
	}
	if r.Usable(epoch.Add(2*time.Second), "e1") {
		t.Error("it is used although its entry did not come back")
	}
	r.SetEndpoints(epoch, nil, false)
	if r.Known("e0") {
		t.Error("a removed endpoint is known")
	}
}

func TestRegions(t *testing.T) {
	r := newRoster(list(2, "a", "b"))
	if c := r.Candidates(epoch, "llm", []string{"r2"}); len(c) != 1 || c[0].DataCentre != "b" {
		t.Errorf("candidates %v", c)
	}
}

// One that failed gets one request, and all others only after that was answered.
func TestFailedEndpointIsTriedOnce(t *testing.T) {
	r := newRoster(list(2, "a"))
	r.Report(epoch, "e0", Unreachable, 0)
	now := epoch.Add(firstBackoff + time.Millisecond)
	if len(r.Candidates(now, "llm", nil)) != 2 || !r.Begin(now, "e0") {
		t.Fatal("it is not tried")
	}
	if len(r.Candidates(now, "llm", nil)) != 1 {
		t.Error("it gets more than one request")
	}
	r.Report(now, "e0", Answered, time.Millisecond)
	now = now.Add(time.Second) // it also counts as cold for a while
	if len(r.Candidates(now, "llm", nil)) != 2 {
		t.Error("it answered and gets nothing")
	}
}

// The load pattern: a data centre's endpoints come back cold and all entries
// send at once. What reaches a cold endpoint in any second stays under its rate
// times 1.5 and five, whatever the entries are and whenever they ask.
func TestColdEndpointsAreSharedOut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(rt, "entries")
		var entries []*Roster
		for i := range n {
			cold := list(1, "a")
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
			if r.Begin(at, "e0") {
				sent = append(sent, at)
			}
		}
		for i := range sent {
			inSecond := 0
			for _, other := range sent[i:] {
				if other.Sub(sent[i]) < time.Second {
					inSecond++
				}
			}
			if float64(inSecond) > 9*1.5+5 {
				rt.Fatalf("%d requests in one second from %d entries", inSecond, n)
			}
		}
	})
}

// Becoming cold is believed whoever tells it, and is never shortened.
func TestColdness(t *testing.T) {
	r := newRoster(list(1, "a"))
	r.RecordStatus(epoch, "e0", 3, time.Second)
	if c := r.Candidates(epoch, "llm", nil); !c[0].Cold || c[0].Load != 3 {
		t.Errorf("candidate %+v", c)
	}
	if c := r.Candidates(epoch.Add(1100*time.Millisecond), "llm", nil); c[0].Cold || c[0].Load != 0 {
		t.Errorf("later %+v", c)
	}
	restarted := list(1, "a")
	restarted[0].Incarnation, restarted[0].ColdRemaining = 2, 2*time.Second
	r.SetEndpoints(epoch, restarted, false)
	if c := r.Candidates(epoch, "llm", nil); !c[0].Cold {
		t.Error("a restarted endpoint is not cold")
	}
}

// The load pattern: many entries each keep a burst's connections to an endpoint
// that takes few from all of them together.
func TestIdleConnectionsAreShared(t *testing.T) {
	cases := []struct {
		name    string
		takes   int
		entries int
		id      string
		want    int
	}{
		{"few entries", 100, 4, "e0", 12},
		{"many entries", 100, 20, "e0", 2},
		{"more than it takes", 100, 300, "e0", 1},
		{"plenty", 10_000, 4, "e0", upstream.DefaultMaxIdle},
		{"no bound declared", 0, 300, "e0", upstream.DefaultMaxIdle},
		{"not listed", 100, 4, "gone", 0},
	}
	for _, c := range cases {
		r := newRoster(list(1, "a"))
		r.SetServices(map[string]*catalog.Service{"llm": {Name: "llm", MaxConnections: c.takes}})
		r.SetEntries(c.entries, func(string) int { return 0 })
		if got := r.MaxIdleConnections(c.id); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

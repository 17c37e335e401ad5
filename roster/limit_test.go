package roster

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/catalog"
)

// limitedRosters returns the rosters of n entries that all know the limit of endpoint e0.
func limitedRosters(n int, limit float64) []*Roster {
	var entries []*Roster
	for i := range n {
		r := newRoster(makeEndpoints(1, "a"))
		r.SetEntries(n, func(string) int { return i })
		r.RecordStatus(epoch, listed(r, "e0"), Status{Load: -1, Limit: RateLimit{Active: true, PerSecond: limit}, SentAt: epoch})
		entries = append(entries, r)
	}
	return entries
}

// mostInWindow returns the largest number of times, which are in order, within a window.
func mostInWindow(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// An endpoint states a rate limit while all entries send at once. In any 4 s it must receive at most one and a
// half times what the limit allows plus five requests, for any limit, any number of entries and any times
// of the requests.
func TestEntriesShareNamedLimit(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(rt, "entries")
		limit := rapid.Float64Range(0, 60).Draw(rt, "limit")
		entries := limitedRosters(n, limit)
		var sent []time.Time
		for ms := 0; ms < 10_000; ms += rapid.IntRange(1, 20).Draw(rt, "pause") {
			at := epoch.Add(time.Duration(ms) * time.Millisecond)
			for range rapid.IntRange(1, 5).Draw(rt, "requests") {
				if begin(entries[rapid.IntRange(0, n-1).Draw(rt, "entry")], at, "e0") {
					sent = append(sent, at)
				}
			}
		}
		if got, allowed := mostInWindow(sent, window), int(1.5*limit*window.Seconds()+5); got > allowed {
			rt.Fatalf("%d requests in %v with a limit of %g a second, allowed %d", got, window, limit, allowed)
		}
	})
}

// Two dispatchers, of which one takes the other's place, book an engine at the interval that the roster
// states, while all entries send it further requests at once. Together they must keep its limit too.
func TestBookingsAndEntriesShareNamedLimit(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(rt, "entries")
		limit := rapid.Float64Range(0, 60).Draw(rt, "limit")
		entries := limitedRosters(n, limit)
		for _, r := range entries {
			r.SetServices(map[string]*catalog.Service{"llm": {Name: "llm", Engine: true}})
		}
		interval := entries[0].Engines(epoch, "llm")[0].RequestInterval
		phases := []time.Duration{0, time.Duration(rapid.Int64Range(0, int64(interval)).Draw(rt, "phase"))}
		var sent []time.Time
		for ms := 0; ms < 10_000; ms += rapid.IntRange(1, 20).Draw(rt, "pause") {
			at := epoch.Add(time.Duration(ms) * time.Millisecond)
			for i := range phases {
				if elapsed := at.Sub(epoch); elapsed >= phases[i] {
					phases[i] = elapsed + interval
					if beginBooked(entries[rapid.IntRange(0, n-1).Draw(rt, "booking entry")], at, "e0") {
						sent = append(sent, at)
					}
				}
			}
			if begin(entries[rapid.IntRange(0, n-1).Draw(rt, "entry")], at, "e0") {
				sent = append(sent, at)
			}
		}
		if got, allowed := mostInWindow(sent, window), int(1.5*limit*window.Seconds()+5); got > allowed {
			rt.Fatalf("%d requests in %v with a limit of %g a second, allowed %d", got, window, limit, allowed)
		}
	})
}

// Under lasting load the entries use most of the limit, however many they are.
func TestNamedLimitIsUsed(t *testing.T) {
	for _, c := range []struct {
		entries int
		limit   float64
	}{{1, 1}, {4, 1}, {20, 1}, {20, 10}, {100, 40}} {
		entries := limitedRosters(c.entries, c.limit)
		sent := 0
		const seconds = 60
		for ms := 0; ms < seconds*1000; ms += 5 {
			for _, r := range entries {
				if begin(r, epoch.Add(time.Duration(ms)*time.Millisecond), "e0") {
					sent++
				}
			}
		}
		if got := float64(sent) / seconds; got < 0.8*c.limit {
			t.Errorf("%d entries send %.2f requests a second, want at least 0.8 of the limit of %g", c.entries, got, c.limit)
		}
	}
}

// A limit holds from the response that states it until one to a later request states none, also while the
// endpoint's record is missing, and not for the endpoint's next life.
func TestLimitHoldsAsLongAsItIsStated(t *testing.T) {
	at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
	stated := Status{Load: -1, Limit: RateLimit{Active: true, PerSecond: 2}, SentAt: at(1)}
	cases := []struct {
		name   string
		change func(r *Roster)
		want   bool
	}{
		{"stated", func(*Roster) {}, true},
		{"no longer stated", func(r *Roster) { r.RecordStatus(at(3), listed(r, "e0"), Status{Load: -1, SentAt: at(2.5)}) }, false},
		{"overtaken response", func(r *Roster) { r.RecordStatus(at(3), listed(r, "e0"), Status{Load: -1, SentAt: at(1.5)}) }, true},
		{"response of unknown origin", func(r *Roster) {
			r.RecordStatus(at(3), listed(r, "e0"), Status{Load: -1, SentAt: at(2.5), LimitUnknown: true})
		}, true},
		{"record missing for a while", func(r *Roster) {
			r.SetEndpoints(at(3), makeEndpoints(0, "a"), Continuous)
			r.SetEndpoints(at(4), makeEndpoints(1, "a"), Continuous)
		}, true},
		{"endpoint restarted", func(r *Roster) {
			next := makeEndpoints(1, "a")
			next[0].Incarnation++
			r.SetEndpoints(at(3), next, Continuous)
		}, false},
		{"never confirmed", func(r *Roster) {}, true},
	}
	for _, c := range cases {
		r := newRoster(makeEndpoints(1, "a"))
		r.RecordStatus(at(2), listed(r, "e0"), stated)
		c.change(r)
		if got := r.HasRateLimit(at(5), "e0"); got != c.want {
			t.Errorf("%s: limit holds %t, want %t", c.name, got, c.want)
		}
		if r.HasRateLimit(at(2).Add(limitTTL+time.Second), "e0") {
			t.Errorf("%s: the limit holds although nothing has confirmed it for %v", c.name, limitTTL)
		}
	}
}

// A service whose endpoints all have a limit tells when the first of them takes a request again.
func TestDelayOfLimitedService(t *testing.T) {
	r := limitedRosters(1, 2)[0]
	if !begin(r, epoch, "e0") {
		t.Fatal("the first request is not allowed")
	}
	want := 555 * time.Millisecond // a request every 1 / (0.9 * 2) s
	if got := r.Delay(epoch, Filter{Service: "llm"}).Truncate(time.Millisecond); got != want {
		t.Errorf("delay %v, want %v", got, want)
	}
	if got := r.Delay(epoch.Add(time.Second), Filter{Service: "llm"}); got != 0 {
		t.Errorf("delay %v after the endpoint's turn, want none", got)
	}
}

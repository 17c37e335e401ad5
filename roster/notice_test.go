package roster

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// exchange sends the notices of one roster to another, a transit time later.
func exchange(now time.Time, from, to *Roster, sent *uint64, transit time.Duration) {
	list, last := from.NoticesSince(now, *sent, 2)
	*sent = last
	to.MergeNotices(now.Add(transit), list)
}

// Entries learn limits and their ends from endpoints and from each other, in any order and over any time.
// Without further responses, a few rounds of messages bring all of them to the last stated limits, after which
// no more messages are sent.
func TestNoticesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "entries")
		endpoints := makeEndpoints(3, "a")
		entries := make([]*Roster, n)
		sent := make([][]uint64, n)
		for i := range n {
			entries[i] = newRoster(endpoints)
			sent[i] = make([]uint64, n)
		}
		now := epoch
		latest := make(map[string]RateLimit)
		round := func() (messages int) {
			for i := range n {
				for k := range n {
					if i == k {
						continue
					}
					before := sent[i][k]
					exchange(now, entries[i], entries[k], &sent[i][k], time.Duration(rapid.IntRange(0, 40).Draw(rt, "transit"))*time.Millisecond)
					if sent[i][k] != before {
						messages++
					}
					now = now.Add(50 * time.Millisecond)
				}
			}
			return messages
		}
		for range rapid.IntRange(1, 20).Draw(rt, "responses") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
			id := endpoints[rapid.IntRange(0, 2).Draw(rt, "endpoint")].ID
			l := RateLimit{Active: rapid.Bool().Draw(rt, "named")}
			if l.Active {
				l.PerSecond = float64(rapid.IntRange(1, 9).Draw(rt, "limit"))
			}
			e := entries[rapid.IntRange(0, n-1).Draw(rt, "entry")]
			e.RecordStatus(now, listed(e, id), Status{Load: -1, Limit: l, SentAt: now})
			latest[id] = l
			now = now.Add(200 * time.Millisecond) // above noticeTransit, so that the order of events is known everywhere
			if rapid.Bool().Draw(rt, "exchange") {
				round()
			}
		}
		for range 8 {
			round()
		}
		if messages := round(); messages != 0 {
			rt.Errorf("%d messages are sent although nothing has changed", messages)
		}
		for id, want := range latest {
			for i, e := range entries {
				e.mu.Lock()
				got := e.members[id].rateLimit
				e.mu.Unlock()
				if got != want && (got.Active || want.Active) {
					rt.Errorf("entry %d knows limit %+v of %s, want %+v", i, got, id, want)
				}
			}
		}
	})
}

// Notices of endpoints that an entry does not know, of another incarnation, and malformed ones change
// nothing.
func TestForeignNoticesAreDropped(t *testing.T) {
	r := newRoster(makeEndpoints(1, "a"))
	limit := &LimitNotice{Active: true, PerSecond: 1}
	for _, n := range []Notice{
		{Endpoint: "unknown", Incarnation: 1, Limit: limit},
		{Endpoint: "e0", Incarnation: 2, Limit: limit},
		{Endpoint: "e0", Incarnation: 1, Limit: &LimitNotice{Active: true, PerSecond: -1}},
		{Endpoint: "e0", Incarnation: 1},
		{Endpoint: "e0", Incarnation: 2, Leaving: true},
	} {
		if r.MergeNotices(epoch, []Notice{n}) || r.HasRateLimit(epoch, "e0") {
			t.Errorf("notice %+v is taken in", n)
		}
	}
}

// A limit that drifts makes a notice whenever it has moved by a tenth since the last, and none for less.
func TestDriftingLimitIsNoticed(t *testing.T) {
	r := newRoster(makeEndpoints(1, "a"))
	notices := 0
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		if r.RecordStatus(now, listed(r, "e0"), Status{Load: -1, Limit: RateLimit{Active: true, PerSecond: 10 + 0.1*float64(i)}, SentAt: now}) {
			notices++
		}
	}
	if notices < 5 || notices > 10 {
		t.Errorf("%d notices of a limit that doubles in steps of a hundredth, want 5 to 10", notices)
	}
}

// Notices with extreme values come from a faulty peer. They do not stop the traffic to an endpoint for good,
// and a later response of the endpoint replaces them.
func TestExtremeNoticesAreBounded(t *testing.T) {
	for _, limit := range []LimitNotice{
		{Active: true, PerSecond: math.MaxFloat64, AgeMS: 1},
		{Active: true, PerSecond: 5, AgeMS: math.MaxInt64},
		{Active: true, PerSecond: 5, AgeMS: math.MaxInt64 / 1_000_000 * 101 / 100}, // overflows in nanoseconds
		{Active: true, PerSecond: 5, AgeMS: math.MinInt64},
		{Active: true, PerSecond: math.SmallestNonzeroFloat64, AgeMS: 1},
	} {
		r := newRoster(makeEndpoints(1, "a"))
		r.MergeNotices(epoch, []Notice{{Endpoint: "e0", Incarnation: 1, Limit: &limit, ColdMS: math.MaxInt64}})
		later := epoch.Add(time.Minute)
		if delay := r.Delay(epoch, Filter{Service: "llm"}); delay < 0 || delay > time.Minute {
			t.Errorf("%+v: delay %v", limit, delay)
		}
		r.RecordStatus(later, listed(r, "e0"), Status{Load: -1, SentAt: later})
		if r.HasRateLimit(later, "e0") {
			t.Errorf("%+v: the limit holds although the endpoint states none", limit)
		}
	}
}

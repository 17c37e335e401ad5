package suspect

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/link"
)

// A fixed seed makes the property tests draw the same cases in every run, unless a seed is
// given.
func init() { _ = flag.Set("rapid.seed", "1") }

// drawMarks draws marks of three requests.
var drawMarks = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) link.Suspect {
	return link.Suspect{
		Digest:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "digest"),
		Epoch:        uint64(rapid.IntRange(0, 2).Draw(t, "epoch")),
		Crashes:      rapid.IntRange(0, 3).Draw(t, "crashes"),
		CrashesAlone: rapid.IntRange(0, 3).Draw(t, "proven"),
		ExpiresInMS:  int64(rapid.IntRange(1, 5).Draw(t, "minutes")) * 60000,
	}
}), 0, 12)

// TestMergeIgnoresOrderAndRepetition delivers the same marks to two tables in different
// orders, to one of them twice. Both must end up with the same marks.
func TestMergeIgnoresOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		marks := drawMarks.Draw(rt, "marks")
		shuffled := rapid.Permutation(marks).Draw(rt, "order")
		var diff string
		synctest.Test(t, func(*testing.T) {
			one, two := New(Options{}), New(Options{})
			one.Merge(marks)
			for _, m := range append(shuffled, marks...) {
				two.Merge([]link.Suspect{m})
			}
			diff = cmp.Diff(byDigest(one), byDigest(two))
		})
		if diff != "" {
			rt.Fatal(diff)
		}
	})
}

// byDigest returns a table's marks by digest.
func byDigest(t *Table) map[string]link.Suspect {
	all := map[string]link.Suspect{}
	for _, s := range t.Suspects() {
		all[s.Digest] = s
	}
	return all
}

// TestMarksExpire passes marks between peers whose messages take time. A mark must expire on
// time, although each peer keeps receiving copies of it.
func TestMarksExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var peers []*Table
		for range 4 {
			peers = append(peers, New(Options{MarkTTL: time.Minute}))
		}
		peers[0].Crashed([]string{"x", "y"})
		for round := range 130 {
			from := peers[round%len(peers)]
			message := from.Suspects()
			time.Sleep(500 * time.Millisecond)
			for _, p := range peers {
				p.Merge(message)
			}
		}
		for i, p := range peers {
			if v, remaining := p.Verdict("x"); v != Allowed {
				t.Errorf("peer %d: verdict %v for another %s", i, v, remaining)
			}
		}
	})
}

// TestTableIsBounded fills a table beyond its capacity. It must keep its bounds and the mark
// of a request that is proven to crash endpoints.
func TestTableIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{Capacity: 64})
		table.Crashed([]string{"crasher"})
		table.Crashed([]string{"crasher"})
		for i := range 1000 {
			table.Crashed([]string{fmt.Sprint("n", i), fmt.Sprint("m", i)})
		}
		if v, _ := table.Verdict("crasher"); v != Refused {
			t.Errorf("the verdict of the crashing request is %v", v)
		}
		if n := table.marks.Len(); n > 64 {
			t.Errorf("%d marks are kept, want at most 64", n)
		}
		if n := len(table.Suspects()); n > defaultMaxMarksPerMessage {
			t.Errorf("a message has %d marks", n)
		}
	})
}

// TestClearedNeighbourStaysCleared clears the mark of a request that was in flight beside the
// crashing one. A mark that was sent before must not restore it.
func TestClearedNeighbourStaysCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, peer := New(Options{}), New(Options{})
		table.Crashed([]string{"neighbour", "crasher"})
		oldMarks := table.Suspects()
		peer.Merge(oldMarks)
		peer.Cleared("neighbour")
		table.Merge(peer.Suspects())
		table.Merge(oldMarks)
		if v, _ := table.Verdict("neighbour"); v != Allowed {
			t.Errorf("the verdict of the neighbour is %v", v)
		}
		if v, _ := table.Verdict("crasher"); v != Alone {
			t.Errorf("the verdict of the crashing request is %v", v)
		}
	})
}

// attempt is one attempt of an entry to run the crashing request.
type attempt struct {
	Entry  int
	Synced bool // the entry merges the other entries' marks first
	Shared bool // another request is in flight, unless this one must run alone
}

// TestEndpointsLostPerRequest repeats a crashing request through several entries. If entries
// merge each other's marks in between, it crashes at most MaxEndpointCrashes endpoints
// in all; otherwise at most as many through each entry.
func TestEndpointsLostPerRequest(t *testing.T) {
	draw := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) attempt {
		return attempt{
			Entry:  rapid.IntRange(0, 2).Draw(t, "entry"),
			Synced: rapid.Bool().Draw(t, "heard"),
			Shared: rapid.Bool().Draw(t, "beside"),
		}
	}), 1, 40)
	rapid.Check(t, func(rt *rapid.T) {
		attempts := draw.Draw(rt, "sendings")
		allSynced := rapid.Bool().Draw(rt, "allHeard")
		var lost int
		synctest.Test(t, func(*testing.T) { lost = endpointsLost(attempts, allSynced) })
		bound := MaxEndpointCrashes
		if !allSynced {
			bound = 3 * MaxEndpointCrashes
		}
		if lost > bound {
			rt.Fatalf("%d endpoints lost, want at most %d", lost, bound)
		}
	})
}

// endpointsLost returns how many endpoints the attempts crash.
func endpointsLost(attempts []attempt, allSynced bool) int {
	entries := []*Table{New(Options{}), New(Options{}), New(Options{})}
	lost := 0
	for _, a := range attempts {
		e := entries[a.Entry]
		if a.Synced || allSynced {
			for _, other := range entries {
				e.Merge(other.Suspects())
			}
		}
		verdict, _ := e.Verdict("crasher")
		if verdict == Refused {
			continue
		}
		lost++
		inFlight := []string{"crasher"}
		if verdict == Allowed && a.Shared {
			inFlight = append(inFlight, "neighbour")
		}
		agent := New(Options{})
		if m := e.Mark("crasher"); m != nil {
			agent.Merge([]link.Suspect{*m})
		}
		agent.Crashed(inFlight)
		e.Merge(agent.Suspects())
	}
	return lost
}

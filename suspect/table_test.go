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

// The property tests draw the same cases in every run, unless a seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

var drawMarks = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) link.Suspect {
	return link.Suspect{
		Digest:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "digest"),
		Epoch:     uint64(rapid.IntRange(0, 2).Draw(t, "epoch")),
		Crashes:   rapid.IntRange(0, 3).Draw(t, "crashes"),
		Proven:    rapid.IntRange(0, 3).Draw(t, "proven"),
		ExpiresMS: int64(rapid.IntRange(1, 5).Draw(t, "minutes")) * 60000,
	}
}), 0, 12)

// TestMergeIgnoresOrderAndRepetition delivers the same marks in two orders,
// once with each delivered twice.
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

func byDigest(t *Table) map[string]link.Suspect {
	all := map[string]link.Suspect{}
	for _, s := range t.Suspects() {
		all[s.Digest] = s
	}
	return all
}

// TestMarksEnd passes marks around between peers whose messages take time:
// the mark must go when its time is up, and not be kept alive by its echoes.
func TestMarksEnd(t *testing.T) {
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
			if v, left := p.Verdict("x"); v != Allowed {
				t.Errorf("peer %d: verdict %v for another %s", i, v, left)
			}
		}
	})
}

// TestTableIsBounded floods a table and checks that neither the flood nor the
// clearing of others removes what was proven.
func TestTableIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{Capacity: 64})
		table.Crashed([]string{"crasher"})
		table.Crashed([]string{"crasher"})
		for i := range 1000 {
			table.Crashed([]string{fmt.Sprint("n", i), fmt.Sprint("m", i)})
		}
		if v, _ := table.Verdict("crasher"); v != Refused {
			t.Errorf("the crasher's verdict is %v", v)
		}
		if n := table.marks.Len(); n > 64 {
			t.Errorf("%d marks", n)
		}
		if n := len(table.Suspects()); n > defaultMessageMarks {
			t.Errorf("%d marks in a message", n)
		}
	})
}

// TestClearedNeighbourStaysCleared checks that a peer's older mark does not
// undo a good run.
func TestClearedNeighbourStaysCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, peer := New(Options{}), New(Options{})
		table.Crashed([]string{"neighbour", "crasher"})
		old := table.Suspects()
		peer.Merge(old)
		peer.Cleared("neighbour")
		table.Merge(peer.Suspects())
		table.Merge(old)
		if v, _ := table.Verdict("neighbour"); v != Allowed {
			t.Errorf("the neighbour's verdict is %v", v)
		}
		if v, _ := table.Verdict("crasher"); v != Alone {
			t.Errorf("the crasher's verdict is %v", v)
		}
	})
}

// sending is one dispatch of the crashing request by an entry.
type sending struct {
	Entry  int
	Heard  bool // the entry has merged the other entries' marks first
	Beside bool // other requests are in flight unless it runs alone
}

// TestEndpointsLostPerRequest sends a crashing request again and again through
// several entries. With marks heard in between, MaxLost endpoints are lost
// whatever the entry; entries that hear of nothing lose MaxLost each.
func TestEndpointsLostPerRequest(t *testing.T) {
	draw := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) sending {
		return sending{
			Entry:  rapid.IntRange(0, 2).Draw(t, "entry"),
			Heard:  rapid.Bool().Draw(t, "heard"),
			Beside: rapid.Bool().Draw(t, "beside"),
		}
	}), 1, 40)
	rapid.Check(t, func(rt *rapid.T) {
		sendings := draw.Draw(rt, "sendings")
		allHeard := rapid.Bool().Draw(rt, "allHeard")
		var lost int
		synctest.Test(t, func(*testing.T) { lost = endpointsLost(sendings, allHeard) })
		bound := MaxEndpointCrashes
		if !allHeard {
			bound = 3 * MaxEndpointCrashes
		}
		if lost > bound {
			rt.Fatalf("%d endpoints lost, bound %d", lost, bound)
		}
	})
}

func endpointsLost(sendings []sending, allHeard bool) int {
	entries := []*Table{New(Options{}), New(Options{}), New(Options{})}
	lost := 0
	for _, s := range sendings {
		e := entries[s.Entry]
		if s.Heard || allHeard {
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
		if verdict == Allowed && s.Beside {
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

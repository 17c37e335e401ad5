package suspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// crash is an endpoint that crashed while it began answers on parts.
type crash struct {
	endpoint string
	parts    []string
}

func TestRefusedParts(t *testing.T) {
	crashOf := func(n int, parts ...string) (list []crash) {
		for i := range n {
			list = append(list, crash{fmt.Sprint("e", i), parts})
		}
		return list
	}
	cases := []struct {
		name    string
		sound   []string // answered before the crashes
		crashes []crash
		later   []string // answered after the crashes
		request []string
		want    bool
	}{
		{"no crash", nil, nil, nil, []string{"p"}, false},
		{"too few crashes", nil, crashOf(minPartCrashes-1, "p"), nil, []string{"p"}, false},
		{"enough crashes", nil, crashOf(minPartCrashes, "p"), nil, []string{"p"}, true},
		{"one endpoint crashed in several entries' view", nil, slices.Repeat(crashOf(1, "p"), 5), nil, []string{"p"}, false},
		{"a part that always came with the crashing one", nil, crashOf(5, "shared", "p"), nil, []string{"shared", "other"}, false},
		{"both parts together", nil, crashOf(5, "shared", "p"), nil, []string{"shared", "p"}, true},
		{"the crashing part with another first part, once both are told apart", nil, append(crashOf(5, "shared", "p"), crash{"f1", []string{"x", "p"}}, crash{"f2", []string{"y", "p"}}, crash{"f3", []string{"z", "p"}}), nil, []string{"w", "p"}, true},
		{"a part that was sound before", []string{"shared"}, crashOf(5, "shared", "p"), nil, []string{"shared", "other"}, false},
		{"the crashing part beside one that was sound before", []string{"shared"}, crashOf(5, "shared", "p"), nil, []string{"another", "p"}, true},
		{"a rack was lost", []string{"a", "b"}, crashOf(6, "a", "b"), nil, []string{"a", "b"}, false},
		{"a rack was lost just after the start, answers followed", nil, crashOf(6, "a", "b"), []string{"a", "b"}, []string{"a", "b"}, false},
		{"in flight beside the crashing part", nil, append(crashOf(3, "p"), crashOf(3, "innocent")...), nil, []string{"innocent"}, false},
		{"two crashing parts", nil, append(crashOf(4, "p"), crash{"g1", []string{"q"}}, crash{"g2", []string{"q"}}, crash{"g3", []string{"q"}}), nil, []string{"q"}, true},
		{"no parts", nil, crashOf(5, "p"), nil, nil, false},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			table := NewParts(nil)
			table.Sound(c.sound)
			for _, cr := range c.crashes {
				table.Crashed(cr.endpoint, cr.parts)
			}
			table.Sound(c.later)
			if table.Refused(c.request) {
				t.Errorf("%s: refused at once, before other entries could tell that the part is sound", c.name)
			}
			time.Sleep(partSettleTime)
			if got := table.Refused(c.request); got != c.want {
				t.Errorf("%s: refused %t, want %t", c.name, got, c.want)
			}
		})
	}
}

// An entry that knows a part to be sound must convince the others, and older marks must not return.
func TestSoundPartIsClearedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := NewParts(nil), NewParts(nil)
		two.Sound([]string{"a"})
		for i := range 5 {
			one.Crashed(fmt.Sprint("e", i), []string{"a"})
		}
		old := one.Marks()
		two.Merge(old)
		one.Merge(two.Marks())
		one.Merge(old)
		time.Sleep(partSettleTime)
		if one.Refused([]string{"a"}) || two.Refused([]string{"a"}) {
			t.Error("a sound part is refused")
		}
	})
}

// An entry that starts after the crashes must refuse the part as the others do, although they have stopped
// repeating the mark.
func TestLateEntryLearnsMarksWhenLinked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, late := NewParts(nil), NewParts(nil)
		for i := range minPartCrashes {
			one.Crashed(fmt.Sprint("e", i), []string{"p"})
		}
		time.Sleep(2 * partGossipPeriod)
		if n := len(one.Marks()); n != 0 {
			t.Errorf("%d old marks are repeated in every message", n)
		}
		late.Merge(one.AllMarks())
		if !late.Refused([]string{"p"}) {
			t.Error("the late entry does not refuse the part")
		}
	})
}

// drawPartMarks draws marks of two parts.
var drawPartMarks = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) PartMark {
	return PartMark{
		Part: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "part"), Epoch: uint64(rapid.IntRange(0, 2).Draw(t, "epoch")),
		Endpoints: rapid.SliceOfN(rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}), 1, 4).Draw(t, "endpoints"),
		AgeMS:     1000, ExpiresInMS: 60000,
	}
}), 0, 12)

// The same marks in any order, and delivered more than once, must give the same result.
func TestPartMarksMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		marks := drawPartMarks.Draw(rt, "marks")
		shuffled := rapid.Permutation(marks).Draw(rt, "order")
		var diff string
		synctest.Test(t, func(*testing.T) {
			one, two := NewParts(nil), NewParts(nil)
			one.Merge(marks)
			for _, m := range append(shuffled, marks...) {
				two.Merge([]PartMark{m})
			}
			diff = cmp.Diff(one.Marks(), two.Marks())
		})
		if diff != "" {
			rt.Fatal(diff)
		}
	})
}

// Marks with many endpoints, of many parts, keep their bounds, and the refused part keeps its mark.
func TestPartMarksAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewParts(nil)
		for i := range 100 {
			table.Crashed(fmt.Sprint("e", i), []string{"p"})
		}
		time.Sleep(partSettleTime)
		for i := range 3 * partCapacity {
			table.Crashed(fmt.Sprint("f", i), []string{fmt.Sprint("rare", i)})
			if i%100 == 0 && !table.Refused([]string{"p"}) {
				t.Fatalf("the refused part was evicted after %d others", i)
			}
		}
		marks := table.AllMarks()
		if len(marks) != maxPartMarks || len(marks[0].Endpoints) != maxMarkEndpoints || table.marks.Len() > partCapacity {
			t.Errorf("%d marks in a message, %d endpoints in one, %d marks kept", len(marks), len(marks[0].Endpoints), table.marks.Len())
		}
		hostile := PartMark{Part: "h", AgeMS: -5, ExpiresInMS: 1 << 60, Endpoints: []string{"x", "y", "z"}}
		table.Merge([]PartMark{hostile})
		time.Sleep(partMarkTTL)
		if len(table.AllMarks()) != 0 || table.Refused([]string{"p"}) {
			t.Error("marks outlive their time")
		}
	})
}

// Load pattern: requests with a crashing part come at all entries several times a second, beside many
// more requests that share the first part. Entries hear of each other after a delay. Once five endpoints
// have crashed and contactMs has passed, at most three requests with the part may reach an endpoint, and
// no sound one may ever be refused from twice that time on.
func TestCrashingPartUnderLoad(t *testing.T) {
	const contact = 3 * time.Second
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			tables := make([]*Parts, 2+random.IntN(20))
			for i := range tables {
				tables[i] = NewParts(nil)
			}
			gossipDelay := time.Duration(random.IntN(400)) * time.Millisecond
			crashingIsFirst := random.IntN(3) == 0
			firstStep := 400 * random.IntN(2) // the part may come before anything was answered
			crashes, late, refused := 0, 0, 0
			var fifth time.Time
			for step := 0; step < 4000; step++ {
				time.Sleep(5 * time.Millisecond)
				now := time.Now()
				table := tables[random.IntN(len(tables))]
				parts := []string{fmt.Sprint("shared", random.IntN(3)), fmt.Sprint("session", random.IntN(30))}
				crashing := random.IntN(60) == 0 && step > firstStep
				if crashing {
					parts[1] = "dead"
					if crashingIsFirst {
						parts = []string{"dead", fmt.Sprint("session", random.IntN(30))}
					}
				}
				switch {
				case table.Refused(parts):
					if !crashing && !fifth.IsZero() && now.Sub(fifth) > 2*contact {
						refused++
					}
					continue
				case !crashing:
					answerTime := time.Duration(200+random.IntN(600)) * time.Millisecond
					go func() {
						time.Sleep(answerTime)
						table.Sound(parts)
					}()
					continue
				}
				crashes++
				if crashes == 5 {
					fifth = now
				}
				if !fifth.IsZero() && now.Sub(fifth) > contact {
					late++
				}
				endpoint := fmt.Sprint("e", crashes)
				table.Crashed(endpoint, parts)
				// Another entry was beginning answers at the same endpoint.
				tables[random.IntN(len(tables))].Crashed(endpoint, []string{fmt.Sprint("shared", random.IntN(3)), fmt.Sprint("session", random.IntN(30))})
				marks := table.Marks()
				go func() {
					time.Sleep(gossipDelay)
					for _, other := range tables {
						other.Merge(marks)
						table.Merge(other.Marks())
					}
				}()
			}
			if crashes < 3 {
				t.Errorf("seed %d: only %d crashes", seed, crashes)
			}
			if late > 3 || refused > 0 {
				t.Errorf("seed %d, %d entries, gossip after %v: %d requests with the part ran after the fifth crash, %d sound ones were refused",
					seed, len(tables), gossipDelay, late, refused)
			}
			time.Sleep(time.Minute)
		})
	}
}

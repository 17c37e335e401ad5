package lease

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/platform"
)

const (
	testTerm   = 10 * time.Second
	testMargin = 2 * time.Second
)

// A fixed seed makes the property test draw the same cases in every run, unless a seed is
// given.
func init() { _ = flag.Set("rapid.seed", "1") }

// clock is a clock that the test sets.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newTestLease(store platform.Store, c *clock, holder string) *Lease {
	return New(Options{
		Store: store, Key: "leases/orders", Holder: contract.BootID(holder),
		Term: testTerm, Margin: testMargin, Now: c.Now,
	})
}

// TestFrozenHolderStopsBeforeItsRivalStarts pauses a holder past its term. When it resumes it
// must not act, although it has not read the store since.
func TestFrozenHolderStopsBeforeItsRivalStarts(t *testing.T) {
	c := &clock{now: time.Now()}
	store := platform.NewMemory(platform.MemoryOptions{})
	frozen, rival := newTestLease(store, c, "a"), newTestLease(store, c, "b")
	tick(t, frozen)
	first, ok := frozen.Fence()
	if !ok {
		t.Fatal("a free lease was not acquired")
	}
	tick(t, rival)
	c.now = c.now.Add(testTerm + time.Second)
	if _, ok := frozen.Fence(); ok {
		t.Fatal("the holder may still act after its term")
	}
	tick(t, rival)
	second, ok := rival.Fence()
	if !ok || second <= first {
		t.Fatalf("the rival's fencing number is %d, %v; want above %d", second, ok, first)
	}
	tick(t, frozen)
	if _, ok := frozen.Fence(); ok {
		t.Fatal("the former holder may act at the same time as its successor")
	}
}

// TestLostAnswerToTheFirstWrite loses the answer to a write that acquired the lease. The
// process must not act before it has read the store again, and must then find that it
// holds the lease.
func TestLostAnswerToTheFirstWrite(t *testing.T) {
	c := &clock{now: time.Now()}
	store := platform.NewMemory(platform.MemoryOptions{Faults: platform.Faults{LoseNext: 1}})
	l := newTestLease(store, c, "a")
	if err := l.Tick(t.Context()); err == nil {
		t.Fatal("the answer was not lost")
	}
	if _, ok := l.Fence(); ok {
		t.Fatal("the process may act after a write of unknown outcome")
	}
	tick(t, l)
	if _, ok := l.Fence(); !ok {
		t.Fatal("the process does not recognise its own lease in the store")
	}
}

// TestAtMostOneHolder runs random interleavings of ticks, pauses, releases and lost answers.
// Two processes must never be able to act at the same time, fencing numbers must never
// decrease, and no two processes may act under the same fencing number.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &clock{now: time.Now()}
		store := platform.NewMemory(platform.MemoryOptions{})
		var leases []*Lease
		for _, name := range []string{"a", "b", "c"} {
			leases = append(leases, newTestLease(store, c, name))
		}
		highest, holders := uint64(0), make(map[uint64]*Lease)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			l := leases[rapid.IntRange(0, len(leases)-1).Draw(rt, "process")]
			switch rapid.IntRange(0, 4).Draw(rt, "action") {
			case 0:
				c.now = c.now.Add(time.Duration(rapid.IntRange(0, 12).Draw(rt, "seconds")) * time.Second)
			case 1:
				store.SetFaults(platform.Faults{LoseNext: 1})
				_ = l.Tick(t.Context())
				store.SetFaults(platform.Faults{})
			case 2:
				_ = l.Release(t.Context())
			default:
				_ = l.Tick(t.Context())
			}
			highest = checkHolders(rt, leases, highest, holders)
		}
	})
}

// checkHolders checks the invariants of TestAtMostOneHolder and returns the highest fencing
// number so far.
func checkHolders(rt *rapid.T, leases []*Lease, highest uint64, holders map[uint64]*Lease) uint64 {
	acting := 0
	for _, l := range leases {
		fence, ok := l.Fence()
		if !ok {
			continue
		}
		acting++
		if fence < highest {
			rt.Fatalf("fencing number %d is below the earlier %d", fence, highest)
		}
		if other := holders[fence]; other != nil && other != l {
			rt.Fatalf("two processes act under fencing number %d", fence)
		}
		holders[fence] = l
		highest = fence
	}
	if acting > 1 {
		rt.Fatalf("%d processes may act at the same time", acting)
	}
	return highest
}

func tick(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.Tick(t.Context()); err != nil {
		t.Fatal(err)
	}
}

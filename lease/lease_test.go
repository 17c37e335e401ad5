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

// The property test draws the same cases in every run, unless a seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newTestLease(store platform.Store, c *clock, holder string) *Lease {
	return New(Options{
		Store: store, Key: "leases/orders", Holder: contract.BootID(holder),
		Term: testTerm, Margin: testMargin, Now: c.Now,
	})
}

// TestFrozenHolderStopsBeforeItsRivalStarts freezes a holder past its term
// and checks that it may not act when it wakes, although it has read nothing.
func TestFrozenHolderStopsBeforeItsRivalStarts(t *testing.T) {
	c := &clock{now: time.Now()}
	store := platform.NewMemory(platform.MemoryOptions{})
	frozen, rival := newTestLease(store, c, "a"), newTestLease(store, c, "b")
	tick(t, frozen)
	first, ok := frozen.Fence()
	if !ok {
		t.Fatal("a free lease was not taken")
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
		t.Fatal("the former holder may act beside its successor")
	}
}

// TestLostAnswerToTheFirstWrite checks that a holder whose acquiring write
// took effect without an answer neither acts at once nor locks itself out.
func TestLostAnswerToTheFirstWrite(t *testing.T) {
	c := &clock{now: time.Now()}
	store := platform.NewMemory(platform.MemoryOptions{Faults: platform.Faults{LoseNext: 1}})
	l := newTestLease(store, c, "a")
	if err := l.Tick(t.Context()); err == nil {
		t.Fatal("the answer was not lost")
	}
	if _, ok := l.Fence(); ok {
		t.Fatal("acts on a write of unknown effect")
	}
	tick(t, l)
	if _, ok := l.Fence(); !ok {
		t.Fatal("does not find its own lease in the store")
	}
}

// TestAtMostOneHolder runs random interleavings of ticks, pauses, releases and
// lost answers: never may two processes act, fencing numbers never fall, and no
// two processes ever act under the same one.
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

func checkHolders(rt *rapid.T, leases []*Lease, highest uint64, holders map[uint64]*Lease) uint64 {
	acting := 0
	for _, l := range leases {
		fence, ok := l.Fence()
		if !ok {
			continue
		}
		acting++
		if fence < highest {
			rt.Fatalf("fencing number %d after %d", fence, highest)
		}
		if other := holders[fence]; other != nil && other != l {
			rt.Fatalf("fencing number %d of two processes", fence)
		}
		holders[fence] = l
		highest = fence
	}
	if acting > 1 {
		rt.Fatalf("%d processes may act at once", acting)
	}
	return highest
}

func tick(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.Tick(t.Context()); err != nil {
		t.Fatal(err)
	}
}

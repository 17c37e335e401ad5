package claim

import (
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/platform"
)

// The property test draws the same cases in every run unless a seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

// event changes the faults of the store and may crash a writer at a step.
type event struct {
	At     time.Duration
	Faults platform.Faults
	Crash  string
	Step   Step
}

type scenario struct {
	Seed    uint64
	Scripts []callerScript
	Events  []event
}

func millis(from, to int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(from, to), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
}

var scriptGenerator = rapid.Custom(func(t *rapid.T) callerScript {
	return callerScript{
		Start:          millis(0, 4000).Draw(t, "start"),
		HandoverDelay:  millis(0, 500).Draw(t, "think"),
		RunTime:        millis(0, 500).Draw(t, "work"),
		Key:            rapid.IntRange(0, testKeys-1).Draw(t, "key"),
		Entry:          rapid.IntRange(0, 2).Draw(t, "entry"),
		End:            rapid.SampledFrom([]int{endFinish, endFinish, endRelease, endCrash}).Draw(t, "end"),
		AcquireTimeout: millis(100, 3000).Draw(t, "patience"),
	}
})

var eventGenerator = rapid.Custom(func(t *rapid.T) event {
	return event{
		At: millis(0, 4000).Draw(t, "at"),
		Faults: platform.Faults{
			Down:             rapid.IntRange(0, 9).Draw(t, "down") == 9,
			Delay:            rapid.SampledFrom([]time.Duration{0, 5, 20, 400}).Draw(t, "delay") * time.Millisecond,
			LateWrites:       true,
			LoseProbability:  rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "lose"),
			StaleProbability: rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "stale"),
		},
		Crash: rapid.SampledFrom([]string{"", "w1", "w2"}).Draw(t, "crash"),
		Step:  rapid.SampledFrom(Steps).Draw(t, "step"),
	}
})

const testKeys = 6

// TestClaimedCallsRunAtMostOnce runs random callers against several entries and writers
// while responses of the store are lost, reads are stale, writes take effect after their
// caller's timeout, messages are delayed and writers crash at every step. No key may run
// twice, no acknowledged outcome may be lost, and no claim may stay with an abandoned
// attempt.
func TestClaimedCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := scenario{
			Seed:    rapid.Uint64().Draw(rt, "seed"),
			Scripts: rapid.SliceOfN(scriptGenerator, 1, 40).Draw(rt, "scripts"),
			Events:  rapid.SliceOfN(eventGenerator, 0, 8).Draw(rt, "events"),
		}
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = sc.execute() })
		if len(violations) > 0 {
			rt.Fatal(violations)
		}
	})
}

func (sc scenario) execute() []string {
	store := platform.NewMemory(platform.MemoryOptions{Seed: sc.Seed})
	f := newFleet(sc.Seed, Options{Store: store, Shards: 2, SegmentBytes: 150})
	var wg sync.WaitGroup
	for n, s := range sc.Scripts {
		wg.Go(func() { f.run(n, s) })
	}
	for _, e := range sc.Events {
		wg.Go(func() {
			time.Sleep(e.At)
			store.SetFaults(e.Faults)
			if e.Crash != "" {
				f.crash(e.Crash, e.Step)
			}
		})
	}
	wg.Wait()
	f.mu.Lock()
	f.lossy = false
	f.mu.Unlock()
	store.SetFaults(platform.Faults{})
	time.Sleep(time.Minute)
	violations := f.check(testKeys)
	f.close()
	synctest.Wait()
	return violations
}

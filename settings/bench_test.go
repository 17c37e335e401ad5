package settings

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/azurelead/azurelead/platform"
)

// organisationCounts are the number of organisations of the target deployment and twice that,
// which shows how costs scale.
var organisationCounts = []int{410, 820}

// BenchmarkInstall measures the cost of a change of one organisation for a daemon that gets it
// from a peer: the bytes of the delta and the processor time.
func BenchmarkInstall(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			before, after := consecutiveFollowers(b, n)
			res, err := after.ChangesSince(before.Version())
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				f := NewFollower(FollowerOptions{})
				f.current.Store(before.current.Load())
				if err := f.applyResult(res, f.confirmedAt); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(res.Delta)), "B/change")
		})
	}
}

// BenchmarkHold measures the memory of a tree that was decoded from a full delta, and the bytes
// of that delta.
func BenchmarkHold(b *testing.B) {
	const copies = 20
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			_, after := consecutiveFollowers(b, n)
			res, err := after.ChangesSince(0)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				held := make([]*Follower, copies)
				before := heapBytes()
				for i := range held {
					held[i] = NewFollower(FollowerOptions{})
					if err := held[i].applyResult(res, held[i].confirmedAt); err != nil {
						b.Fatal(err)
					}
					held[i].Current().OrganisationByToken("x")
				}
				b.ReportMetric(float64(heapBytes()-before)/copies/float64(n), "B-held/organisation")
				runtime.KeepAlive(held)
			}
			b.ReportMetric(float64(len(res.Delta))/float64(n), "B-sent/organisation")
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// consecutiveFollowers returns followers that hold two consecutive versions.
func consecutiveFollowers(b *testing.B, organisations int) (before, after *Follower) {
	store := platform.NewMemory(platform.MemoryOptions{})
	d := testDocument(organisations)
	for name, o := range d.Organisations {
		o.Request = RequestOverrides{Priority: new(3), MaxTokens: new(512), RetryPercent: new(5)}
		o.Pipelines = map[string]OrganisationPipeline{"p": {Request: RequestOverrides{MaxTokens: new(64)}}}
		d.Organisations[name] = o
	}
	first := mustAccept(b, store, 0, "first", replaceWith(d))
	second := mustAccept(b, store, 0, "second", setWeight("o0", 2))
	b.Logf("manifest: %d bytes, plus %d for each further change in the history, index: %d bytes",
		len(mustMarshal(second.Tree.Manifest)), len(mustMarshal(second.Tree.Manifest.Changes[1])), len(second.Tree.Manifest.encodeIndex()))
	var err error
	if before, err = first.Tree.Follower(); err == nil {
		after, err = second.Tree.Follower()
	}
	if err != nil {
		b.Fatal(err)
	}
	return before, after
}

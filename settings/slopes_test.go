package settings

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/azurelead/azurelead/platform"
)

// sizes are numbers of organisations: the target's and twice that, so that the
// slope shows.
var sizes = []int{410, 820}

// BenchmarkInstall measures what one change of one organisation costs a daemon
// that gets it from a peer: bytes of the delta and processor time.
func BenchmarkInstall(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			before, after := versions(b, n)
			res, err := after.ChangesSince(before.Version())
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				f := NewFollower(FollowerOptions{})
				f.current.Store(before.current.Load())
				if err := f.take(res, f.confirmed); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(res.Delta)), "B/change")
		})
	}
}

// BenchmarkHold measures the memory of one tree, decoded from a whole delta,
// and the bytes of that delta.
func BenchmarkHold(b *testing.B) {
	const copies = 20
	for _, n := range sizes {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			_, after := versions(b, n)
			res, err := after.ChangesSince(0)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				held := make([]*Follower, copies)
				before := heap()
				for i := range held {
					held[i] = NewFollower(FollowerOptions{})
					if err := held[i].take(res, held[i].confirmed); err != nil {
						b.Fatal(err)
					}
					held[i].Current().OrganisationByToken("x")
				}
				b.ReportMetric(float64(heap()-before)/copies/float64(n), "B-held/organisation")
				runtime.KeepAlive(held)
			}
			b.ReportMetric(float64(len(res.Delta))/float64(n), "B-sent/organisation")
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// versions returns followers that hold two consecutive versions.
func versions(b *testing.B, organisations int) (before, after *Follower) {
	store := platform.NewMemory(platform.MemoryOptions{})
	d := fleet(organisations)
	for name, o := range d.Organisations {
		o.Request = RequestOverrides{Priority: new(3), MaxTokens: new(512), RetryPercent: new(5)}
		o.Pipelines = map[string]OrganisationPipeline{"p": {Request: RequestOverrides{MaxTokens: new(64)}}}
		d.Organisations[name] = o
	}
	first := put(b, store, 0, "first", replaceWith(d))
	second := put(b, store, 0, "second", setWeight("o0", 2))
	b.Logf("manifest: %d bytes, %d each further change of its history, index: %d bytes",
		len(encode(second.Tree.Manifest)), len(encode(second.Tree.Manifest.Changes[1])), len(second.Tree.Manifest.index()))
	var err error
	if before, err = first.Tree.Follower(); err == nil {
		after, err = second.Tree.Follower()
	}
	if err != nil {
		b.Fatal(err)
	}
	return before, after
}

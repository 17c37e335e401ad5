package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/suspect"
)

// An engine that crashes may start again under its name and be chosen again for the same prompt. Each of its
// lives counts, or a part that always meets the same engines would never be refused. Several requests that one
// crash interrupted count once.
func TestEachIncarnationOfAnEngineCounts(t *testing.T) {
	cases := []struct {
		name         string
		incarnations []int64
		want         bool
	}{
		{"three lives", []int64{1000, 2000, 3000}, true},
		{"one life", []int64{1000, 1000, 1000}, false},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			parts := suspect.NewParts(nil)
			tracker := newCrashTracker(Options{SuspectRequests: suspect.NewRequests(parts, nil), SuspectParts: parts, OnCrash: func() {}})
			for i, incarnation := range c.incarnations {
				tracker.recordInterrupted("engine", interruptedRequest{digest: fmt.Sprint("request ", i), incarnation: incarnation, parts: []string{"p"}, at: time.Now()})
				tracker.endpointLost(time.Now(), "engine")
				time.Sleep(time.Second)
			}
			if got := parts.Refused([]string{"p"}); got != c.want {
				t.Errorf("%s: refused %t, want %t", c.name, got, c.want)
			}
		})
	}
}

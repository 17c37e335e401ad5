package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
)

// An entry that read the store once, at its start or because a state was overdue, and leaves it to others
// since, must not take an endpoint that disappears for one whose record expired in an outage: it would go
// on sending to it.
func TestLeavingTheStoreToOthersIsNoOutage(t *testing.T) {
	for _, outage := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &fakeStore{list: fleet.Changes{Revision: 5, Objects: []fleet.Object{object("a", 4), object("b", 5)}}}
			s.watch = func(ctx context.Context, _ int64) (fleet.Changes, error) {
				<-ctx.Done()
				return fleet.Changes{}, fleet.Unavailable.Wrap(ctx.Err())
			}
			var gap bool
			f := newFollower(s, func(_ map[string]fleet.Object, g bool) { gap = g })
			start := time.Now()
			f.o.ReadsStore = func() bool { return time.Since(start) < time.Second }
			f.o.PeersContact = func() time.Time {
				if outage && time.Since(start) < 20*time.Second {
					return start
				}
				return time.Now()
			}
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			time.Sleep(20 * time.Second)
			f.ApplyStates([]State{{Kind: "k", Revision: 9, Full: true, Objects: []fleet.Object{object("a", 4)}}})
			if gap != outage {
				t.Errorf("the store answered peers all the while: %t; the change counts as after a gap: %t", !outage, gap)
			}
			cancel()
			<-done
		})
	}
}

func TestOutageDetector(t *testing.T) {
	start := time.Now()
	cases := []struct {
		name string
		// answers are the times of the store's answers after the start.
		answers []time.Duration
		at      time.Duration
		want    bool
	}{
		{"never answered", nil, 10 * time.Second, false},
		{"first answer", []time.Duration{10 * time.Second}, 10 * time.Second, false},
		{"answers all the while", []time.Duration{0, 2 * time.Second, 4 * time.Second, 6 * time.Second}, 6 * time.Second, false},
		{"just after an outage", []time.Duration{0, 6 * time.Second}, 6 * time.Second, true},
		{"another answer after the outage", []time.Duration{0, 6 * time.Second, 7 * time.Second}, 7 * time.Second, true},
		{"an older answer reported late", []time.Duration{0, 6 * time.Second, time.Second}, 7 * time.Second, true},
		{"well after an outage", []time.Duration{0, 6 * time.Second, 8 * time.Second}, 9 * time.Second, false},
	}
	for _, c := range cases {
		var o outageDetector
		for _, at := range c.answers {
			o.recordAnswer(start.Add(at), start.Add(at))
		}
		if got := o.recovers(start.Add(c.at)); got != c.want {
			t.Errorf("%s: recovers %t, want %t", c.name, got, c.want)
		}
	}
}

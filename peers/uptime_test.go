package peers

import (
	"testing"
	"time"
)

func TestStartEstimate(t *testing.T) {
	type reply struct{ sent, received, uptime time.Duration }
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name             string
		replies          []reply
		earliest, latest time.Duration
	}{
		{"one reply", []reply{{10 * time.Second, 10900 * time.Millisecond, 10 * time.Second}}, -time.Millisecond, 900 * time.Millisecond},
		{"a quick reply after a slow one", []reply{
			{10 * time.Second, 10900 * time.Millisecond, 10 * time.Second}, {12 * time.Second, 12004 * time.Millisecond, 11998 * time.Millisecond},
		}, time.Millisecond, 6 * time.Millisecond},
		{"a slow reply after a quick one", []reply{
			{12 * time.Second, 12004 * time.Millisecond, 11998 * time.Millisecond}, {13 * time.Second, 13900 * time.Millisecond, 13500 * time.Millisecond},
		}, time.Millisecond, 6 * time.Millisecond},
		{"the peer was suspended", []reply{
			{10 * time.Second, 10004 * time.Millisecond, 10 * time.Second}, {20 * time.Second, 20004 * time.Millisecond, 15 * time.Second},
		}, 4999 * time.Millisecond, 5004 * time.Millisecond},
	}
	for _, c := range cases {
		var e startEstimate
		for _, r := range c.replies {
			e.observe(epoch.Add(r.sent), epoch.Add(r.received), r.uptime)
		}
		if got := e.earliest.Sub(epoch); got != c.earliest {
			t.Errorf("%s: earliest %v, want %v", c.name, got, c.earliest)
		}
		if got := e.latest.Sub(epoch); got != c.latest {
			t.Errorf("%s: latest %v, want %v", c.name, got, c.latest)
		}
	}
}

// Entries that started together name one dispatcher, however late the replies were by which each knows the others' uptimes.
func TestSlowRepliesDoNotSplitElection(t *testing.T) {
	elected := make(map[string]bool)
	for slow := range 4 {
		var candidates []Candidate
		for i, name := range []string{"a", "b", "c", "d"} {
			c := Candidate{Identity: Identity{Name: name, CPU: 0.3}, Uptime: 10*time.Second - time.Duration(i)*10*time.Millisecond}
			if i == slow {
				c.Uptime, c.UptimeError = c.Uptime-1200*time.Millisecond, 1250*time.Millisecond
			}
			candidates = append(candidates, c)
		}
		elected[Elect(candidates)] = true
	}
	if len(elected) != 1 {
		t.Errorf("elected %v", elected)
	}
}

// startedAt returns the estimate of a peer whose start is known.
func startedAt(at time.Time) startEstimate { return startEstimate{earliest: at, latest: at} }

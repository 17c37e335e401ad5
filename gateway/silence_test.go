package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// An attempt is given up when it makes no progress within the limit, and again after the same time
// as long as giveUp declines. Progress and disable postpone it.
func TestSilenceTimer(t *testing.T) {
	const limit = 100 * time.Millisecond
	cases := []struct {
		name string
		// declines is how often giveUp lets the attempt continue.
		declines int
		act      func(s *silenceTimer)
		want     time.Duration
		calls    int
	}{
		{"silent", 0, func(*silenceTimer) {}, limit, 1},
		{"cannot be given up at first", 2, func(*silenceTimer) {}, 3 * limit, 3},
		{"progress", 0, func(s *silenceTimer) {
			for range 5 {
				time.Sleep(limit - time.Millisecond)
				s.reset(limit)
			}
		}, 6*limit - 5*time.Millisecond, 1},
		{"disabled", 0, func(s *silenceTimer) { s.disable() }, 0, 0},
		{"disabled while it cannot be given up", 9, func(s *silenceTimer) {
			time.Sleep(2*limit + limit/2)
			s.disable()
		}, 0, 2},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			var gaveUpAfter time.Duration
			calls := 0
			s := newSilenceTimer(func() bool {
				if calls++; calls <= c.declines {
					return false
				}
				gaveUpAfter = time.Since(start)
				return true
			})
			s.reset(limit)
			c.act(s)
			time.Sleep(time.Second)
			s.disable()
			if gaveUpAfter != c.want || calls != c.calls {
				t.Errorf("%s: given up after %v with %d calls, want %v and %d", c.name, gaveUpAfter, calls, c.want, c.calls)
			}
		})
	}
}

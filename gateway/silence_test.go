package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/retrybudget"
)

// An attempt is abandoned when it makes no progress within the limit, and again after the same time
// as long as there is no replacement. Progress and disable postpone it.
func TestSilenceTimer(t *testing.T) {
	const limit = 100 * time.Millisecond
	cases := []struct {
		name string
		// declines is how often there is no replacement.
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
			var gaveUpAfter, calls atomic.Int64
			s := newSilenceTimer(func(context.Context) *replacement {
				if calls.Add(1) <= int64(c.declines) {
					return nil
				}
				return &replacement{budget: &retrybudget.Budget{}}
			}, func(*replacement) { gaveUpAfter.Store(int64(time.Since(start))) })
			s.reset(limit)
			c.act(s)
			time.Sleep(time.Second)
			s.disable()
			if after := time.Duration(gaveUpAfter.Load()); after != c.want || calls.Load() != int64(c.calls) {
				t.Errorf("%s: given up after %v with %d calls, want %v and %d", c.name, after, calls.Load(), c.want, c.calls)
			}
		})
	}
}

// An endpoint that goes on while a replacement is being secured keeps its attempt: the search ends, and what was
// secured is returned.
func TestProgressWhileReplacementIsSecured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 100 * time.Millisecond
		budget := &retrybudget.Budget{}
		for budget.TryWithdraw() {
		}
		var abandoned, ended atomic.Bool
		s := newSilenceTimer(func(ctx context.Context) *replacement {
			select {
			case <-ctx.Done():
				ended.Store(true)
			case <-time.After(10 * limit):
			}
			return &replacement{budget: budget}
		}, func(*replacement) { abandoned.Store(true) })
		s.reset(limit)
		time.Sleep(2 * limit)
		s.reset(20 * limit)
		time.Sleep(10 * limit)
		s.disable()
		if abandoned.Load() || !ended.Load() {
			t.Errorf("abandoned %t, search ended %t, want an attempt that goes on", abandoned.Load(), ended.Load())
		}
		if !budget.TryWithdraw() {
			t.Error("the retry that was not made is not returned to the budget")
		}
	})
}

// A long prompt at an endpoint that hangs must be tried elsewhere while its client still waits, also if the deadline of
// the request is much later.
func TestFirstEventTimeoutLeavesTimeForAnotherEndpoint(t *testing.T) {
	const deadline = 20 * time.Second
	cases := []struct {
		name   string
		tokens int
		want   time.Duration
	}{
		{"short prompt", 100, minFirstEventTimeout},
		{"long prompt", 50000, 2*time.Second - deadlineMargin/2},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			route := catalog.Route{Kind: catalog.Streaming, LatencyTarget: time.Second}
			q := &request{started: started, deadline: started.Add(deadline), route: &route}
			q.headers.PromptTokens = c.tokens
			if got := (&stream{request: q}).firstEventTimeout(); got != c.want {
				t.Errorf("%s: %v, want %v", c.name, got, c.want)
			}
		})
	}
}

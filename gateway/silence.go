package gateway

import (
	"sync"
	"time"
)

// silenceTimer calls giveUp when an endpoint has made no progress for longer than allowed. If giveUp
// declines, it is called again after the same time.
type silenceTimer struct {
	giveUp func() bool

	mu    sync.Mutex
	timer *time.Timer
	// limit is the time allowed without progress; 0 while the timer is disabled.
	limit time.Duration
	// due is when the time without progress ends.
	due time.Time
}

// newSilenceTimer returns a disabled timer. giveUp ends the attempt, or returns false to let it
// continue; it is called in a goroutine of its own.
func newSilenceTimer(giveUp func() bool) *silenceTimer {
	t := &silenceTimer{giveUp: giveUp}
	t.timer = time.AfterFunc(time.Hour, t.expire)
	t.timer.Stop()
	return t
}

// reset records progress and sets the time allowed until the next.
func (t *silenceTimer) reset(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit, t.due = limit, time.Now().Add(limit)
	t.timer.Reset(limit)
}

// disable removes the limit, so that only the request's deadline bounds the silence.
func (t *silenceTimer) disable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = 0
	t.timer.Stop()
}

// expire gives the attempt up unless there was progress meanwhile.
func (t *silenceTimer) expire() {
	t.mu.Lock()
	if t.limit == 0 || time.Now().Before(t.due) {
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	if t.giveUp() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit > 0 {
		t.due = time.Now().Add(t.limit)
		t.timer.Reset(t.limit)
	}
}

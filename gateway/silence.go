package gateway

import (
	"context"
	"sync"
	"time"
)

// silenceTimer ends an attempt in favour of another endpoint when its own has made no progress for longer than
// allowed. The endpoint may be sound and go on, so the attempt continues until a replacement is secured.
type silenceTimer struct {
	// secure returns a replacement, or nil to let the attempt continue. It is called in a goroutine of its own; ctx
	// ends with the silence.
	secure func(ctx context.Context) *replacement
	// abandon ends the attempt in favour of a replacement. It is called with mu held.
	abandon func(*replacement)

	mu    sync.Mutex
	timer *time.Timer
	// limit is the time allowed without progress; 0 while the timer is disabled.
	limit time.Duration
	// due is when the time without progress ends.
	due time.Time
	// endSecure ends a call of secure in progress; nil if there is none.
	endSecure context.CancelFunc
}

// newSilenceTimer returns a disabled timer.
func newSilenceTimer(secure func(context.Context) *replacement, abandon func(*replacement)) *silenceTimer {
	t := &silenceTimer{secure: secure, abandon: abandon}
	t.timer = time.AfterFunc(time.Hour, t.expire)
	t.timer.Stop()
	return t
}

// reset records progress and sets the time allowed until the next.
func (t *silenceTimer) reset(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endSilence()
	t.limit, t.due = limit, time.Now().Add(limit)
	t.timer.Reset(limit)
}

// disable removes the limit, so that only the request's deadline bounds the silence.
func (t *silenceTimer) disable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endSilence()
	t.limit = 0
	t.timer.Stop()
}

// endSilence ends the search for a replacement. The caller holds mu.
func (t *silenceTimer) endSilence() {
	if t.endSecure != nil {
		t.endSecure()
	}
}

// isSilent reports whether there has been no progress for longer than allowed. The caller holds mu.
func (t *silenceTimer) isSilent() bool { return t.limit > 0 && !time.Now().Before(t.due) }

// expire looks for a replacement, and abandons the attempt for it unless there was progress meanwhile. Without a
// replacement it is called again after the same time.
func (t *silenceTimer) expire() {
	t.mu.Lock()
	if !t.isSilent() || t.endSecure != nil {
		t.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.endSecure = cancel
	t.mu.Unlock()
	r := t.secure(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	cancel()
	t.endSecure = nil
	switch {
	case r != nil && t.isSilent():
		t.limit = 0
		t.abandon(r)
	case r != nil:
		r.discard()
	case t.isSilent():
		t.due = time.Now().Add(t.limit)
		t.timer.Reset(t.limit)
	}
}

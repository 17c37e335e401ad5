package gateway

import (
	"context"
	"time"
)

// silenceTimer cancels an attempt whose endpoint sends nothing for longer than allowed.
type silenceTimer struct {
	timer *time.Timer
}

func newSilenceTimer(cancel context.CancelFunc) *silenceTimer {
	t := time.AfterFunc(time.Hour, cancel)
	t.Stop()
	return &silenceTimer{timer: t}
}

// reset restarts the timer: the attempt is cancelled after d unless reset or disable is called
// first.
func (t *silenceTimer) reset(d time.Duration) { t.timer.Reset(d) }

// disable removes the limit, so that only the request's deadline bounds the silence.
func (t *silenceTimer) disable() { t.timer.Stop() }

func (t *silenceTimer) stop() { t.timer.Stop() }

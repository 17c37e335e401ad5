package gateway

import (
	"context"
	"time"
)

// silenceWatch cancels a send whose endpoint is silent for longer than allowed.
type silenceWatch struct {
	timer *time.Timer
}

func newSilenceWatch(cancel context.CancelFunc) *silenceWatch {
	t := time.AfterFunc(time.Hour, cancel)
	t.Stop()
	return &silenceWatch{timer: t}
}

// allow lets the endpoint be silent for d from now on.
func (w *silenceWatch) allow(d time.Duration) { w.timer.Reset(d) }

// off lets it be silent for as long as the request's deadline does.
func (w *silenceWatch) off() { w.timer.Stop() }

func (w *silenceWatch) stop() { w.timer.Stop() }

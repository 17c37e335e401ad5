package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseTick is how often the process notes that it runs.
	pauseTick = 100 * time.Millisecond
	// pauseBound is the gap between notes that counts as a pause.
	pauseBound = 1500 * time.Millisecond
	// renewTimeout bounds the renewal after a pause.
	renewTimeout = time.Second
)

// PauseGuard notices that the process was paused, and lets nothing be
// dispatched until what it knows has been renewed. The guard narrows the gap;
// agents hold where a pause falls between the check and the send.
type PauseGuard struct {
	renew func(ctx context.Context) error
	mu    sync.Mutex
	last  time.Time
	count int
}

// NewPauseGuard returns a guard that calls renew after each pause.
func NewPauseGuard(now time.Time, renew func(ctx context.Context) error) *PauseGuard {
	return &PauseGuard{renew: renew, last: now}
}

// Run notes that the process runs until ctx ends.
func (g *PauseGuard) Run(ctx context.Context) {
	t := time.NewTicker(pauseTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.Check(ctx, time.Now())
		}
	}
}

// Check notes that the process runs now. After a gap it renews first; callers
// wait meanwhile. A failed renewal leaves what is known in force: the store may
// be down, and agents refuse what is out of date.
func (g *PauseGuard) Check(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.last) > pauseBound {
		g.count++
		ctx, cancel := context.WithTimeout(ctx, renewTimeout)
		_ = g.renew(ctx)
		cancel()
		now = time.Now()
	}
	if now.After(g.last) {
		g.last = now
	}
}

// Count returns how many pauses were seen.
func (g *PauseGuard) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is the time between two regular checks.
	pauseCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the gap between checks that counts as a pause.
	pauseThreshold = 1500 * time.Millisecond
	// renewTimeout bounds the renewal after a pause.
	renewTimeout = time.Second
)

// PauseGuard detects pauses of the process and blocks dispatching until stale state
// has been renewed. A pause may still fall between the check and the send; the agents
// refuse outdated work in that case.
type PauseGuard struct {
	renew     func(ctx context.Context) error
	mu        sync.Mutex
	lastCheck time.Time
	pauses    int
}

// NewPauseGuard returns a guard that calls renew after each pause.
func NewPauseGuard(now time.Time, renew func(ctx context.Context) error) *PauseGuard {
	return &PauseGuard{renew: renew, lastCheck: now}
}

// Run checks for pauses every pauseCheckInterval until ctx ends.
func (g *PauseGuard) Run(ctx context.Context) {
	t := time.NewTicker(pauseCheckInterval)
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

// Check records that the process is running at time now. After a gap it first calls
// renew, and concurrent callers wait. If renew fails, the current state stays in use:
// the store may be down, and agents refuse what is out of date.
func (g *PauseGuard) Check(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastCheck) > pauseThreshold {
		g.pauses++
		ctx, cancel := context.WithTimeout(ctx, renewTimeout)
		_ = g.renew(ctx)
		cancel()
		now = time.Now()
	}
	if now.After(g.lastCheck) {
		g.lastCheck = now
	}
}

// Count returns how many pauses were detected.
func (g *PauseGuard) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pauses
}

package agent

import (
	"sync"
	"time"
)

// pauseTicks is how many ticks fit into the bound of a pause.
const pauseTicks = 10

// pause tells whether the process was stopped or starved: after a gap between
// its own ticks, what it reads from buffers may be old, and what it knows of
// the settings as well.
type pause struct {
	bound time.Duration

	mu    sync.Mutex
	last  time.Time
	stale bool
}

func newPause(bound time.Duration, now time.Time) *pause { return &pause{bound: bound, last: now} }

// tick notes that the process runs. It reports whether a pause was found first
// by this tick.
func (p *pause) tick(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.gapLocked(now)
	p.last = now
	return found
}

// isStale reports whether a pause was found and nothing was renewed since. It
// finds a pause also when it runs ahead of the tick that would.
func (p *pause) isStale(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gapLocked(now)
	return p.stale
}

func (p *pause) gapLocked(now time.Time) bool {
	if now.Sub(p.last) < p.bound || p.stale {
		return false
	}
	p.stale = true
	return true
}

// renewed notes that settings were confirmed at a time after the pause.
func (p *pause) renewed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.stale = now, false
}

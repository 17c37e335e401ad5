package agent

import (
	"sync"
	"time"
)

// ticksPerPauseThreshold is the number of ticks within the pause threshold.
const ticksPerPauseThreshold = 10

// pauseDetector detects that the process was stopped or starved of CPU time. After a gap between
// its ticks, messages read from buffers and the known settings may be outdated.
type pauseDetector struct {
	threshold time.Duration

	mu       sync.Mutex
	lastTick time.Time
	stale    bool
}

func newPauseDetector(threshold time.Duration, now time.Time) *pauseDetector {
	return &pauseDetector{threshold: threshold, lastTick: now}
}

// tick records that the process is running. It reports whether this tick is the first to detect a
// pause.
func (p *pauseDetector) tick(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.detectLocked(now)
	p.lastTick = now
	return found
}

// isStale reports whether a pause was detected and the settings have not been refreshed since. It
// detects a pause itself if it runs before the next tick.
func (p *pauseDetector) isStale(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectLocked(now)
	return p.stale
}

func (p *pauseDetector) detectLocked(now time.Time) bool {
	if now.Sub(p.lastTick) < p.threshold || p.stale {
		return false
	}
	p.stale = true
	return true
}

// markRefreshed records that the settings were confirmed after the pause.
func (p *pauseDetector) markRefreshed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTick, p.stale = now, false
}

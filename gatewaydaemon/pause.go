package gatewaydaemon

import (
	"sync"
	"time"
)

const (
	// lateBeat is how late a beat of a process that has processor time may be.
	lateBeat = 100 * time.Millisecond
	// maxPause bounds the pauses that count, so that a long one leaves requests most of the grace period.
	maxPause = 2 * time.Second
)

// pauseDetector notices that the process had no processor time, by beats that come late. It is safe for concurrent use.
type pauseDetector struct {
	interval time.Duration

	mu sync.Mutex
	// due is when the last beat was due, at when it came.
	due, at time.Time
}

func newPauseDetector(interval time.Duration, now time.Time) *pauseDetector {
	return &pauseDetector{interval: interval, due: now, at: now}
}

// beat records a beat. The next one is due after the interval.
func (p *pauseDetector) beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due, p.at = p.at.Add(p.interval), now
}

// since returns the start of a pause of the process that lasts until now or has just ended, at most maxPause before now.
// It returns now if there is none.
func (p *pauseDetector) since(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	due, end := p.at.Add(p.interval), now
	if now.Sub(p.at) < lateBeat {
		due, end = p.due, p.at
	}
	if end.Sub(due) < lateBeat {
		return now
	}
	if earliest := now.Add(-maxPause); due.Before(earliest) {
		return earliest
	}
	return due
}

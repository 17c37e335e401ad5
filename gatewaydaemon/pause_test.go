package gatewaydaemon

import (
	"testing"
	"time"
)

// A stop that is noticed after a pause of the process must count from before the pause: the platform counts the grace
// period from the signal.
func TestPauseBeforeStopCounts(t *testing.T) {
	const interval = 250 * time.Millisecond
	for _, c := range []struct {
		name string
		// last is the time of the last beat after a beat at 0, now that of the question. want is the answer.
		last, now, want time.Duration
	}{
		{"no pause", interval, interval + 200*time.Millisecond, interval + 200*time.Millisecond},
		{"a beat that is a little late", interval + 50*time.Millisecond, interval + 60*time.Millisecond, interval + 60*time.Millisecond},
		{"noticed before the beat", interval, 1500 * time.Millisecond, 2 * interval},
		{"noticed after the beat", 1200 * time.Millisecond, 1201 * time.Millisecond, interval},
		{"a pause that has been over for some time", 1200 * time.Millisecond, 1400 * time.Millisecond, 1400 * time.Millisecond},
		{"a long pause", interval, 10 * time.Second, 10*time.Second - maxPause},
	} {
		start := time.Now()
		p := newPauseDetector(interval, start)
		p.beat(start.Add(c.last))
		if got := p.since(start.Add(c.now)).Sub(start); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

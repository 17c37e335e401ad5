package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Fleet is the target of a load run.
type Fleet interface {
	// Entries returns the base URLs of the entries.
	Entries() []string
	// Tokens returns the bearer token of each organisation.
	Tokens() map[string]string
	// Apply injects or ends the fault of an event.
	Apply(ctx context.Context, e Event) error
	// Stats returns the counters of the fleet's own components, or a zero value if they are not
	// accessible.
	Stats() FleetStats
}

// progressInterval is the interval between progress lines.
const progressInterval = 2 * time.Second

// Run sends a scenario's load to a fleet, writes progress lines, and returns the samples of the
// requests that arrived after the warm-up. It returns an error if ctx ends first or an event cannot
// be applied.
func Run(ctx context.Context, s Scenario, f Fleet, progress io.Writer) ([]Sample, error) {
	arrivals := Arrivals(s)
	samples := &collector{total: len(arrivals)}
	requester := newSender(s, f.Entries(), f.Tokens())
	defer requester.close()
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	defer background.Wait()
	eventErr := make(chan error, 1)
	background.Go(func() { eventErr <- applyEvents(ctx, s, f, start) })
	stop := make(chan struct{})
	defer close(stop)
	background.Go(func() { samples.reportProgress(progress, stop, start) })
	var callers sync.WaitGroup
	for _, arrival := range arrivals {
		if !sleepUntil(ctx, start.Add(arrival.At)) {
			break
		}
		callers.Go(func() { samples.add(requester.send(ctx, arrival)) })
	}
	callers.Wait()
	if ctx.Err() != nil {
		return nil, Error.Wrap(ctx.Err())
	}
	return samples.measured(), <-eventErr
}

// applyEvents applies the scenario's events at their scheduled times. It stops at the first error.
func applyEvents(ctx context.Context, s Scenario, f Fleet, start time.Time) error {
	for _, e := range s.Events {
		if !sleepUntil(ctx, start.Add(s.WarmUp+e.At)) {
			return Error.Wrap(ctx.Err())
		}
		if err := f.Apply(ctx, e); err != nil {
			return Error.New("event %s at %s: %v", e.Do, e.At, err)
		}
	}
	return nil
}

// sleepUntil waits for a point in time and reports whether it came before ctx ended.
func sleepUntil(ctx context.Context, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// collector collects samples from concurrent callers.
type collector struct {
	total int

	mu      sync.Mutex
	samples []Sample
}

func (c *collector) add(s Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = append(c.samples, s)
}

// measured returns the samples of the requests that arrived after the warm-up.
func (c *collector) measured() []Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	var samples []Sample
	for _, s := range c.samples {
		if s.At >= 0 {
			samples = append(samples, s)
		}
	}
	return samples
}

// reportProgress writes a progress line every progressInterval until stop is closed.
func (c *collector) reportProgress(w io.Writer, stop <-chan struct{}, start time.Time) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		completed, onTime := len(c.samples), 0
		for _, s := range c.samples {
			if s.Outcome == OutcomeOnTime {
				onTime++
			}
		}
		c.mu.Unlock()
		_, _ = fmt.Fprintf(w, "%4.0fs  %d of %d requests completed, %d answered in time\n",
			time.Since(start).Seconds(), completed, c.total, onTime)
	}
}

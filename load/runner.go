package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Fleet is what a load is sent to.
type Fleet interface {
	// Entries returns the base URLs of the entries.
	Entries() []string
	// Tokens returns the bearer token of each organisation.
	Tokens() map[string]string
	// Apply brings an event about.
	Apply(ctx context.Context, e Event) error
	// Stats returns what the stand-ins counted, if they can be asked.
	Stats() FleetStats
}

// progressEvery is how often progress is shown.
const progressEvery = 2 * time.Second

// Run sends a scenario's load to a fleet and returns what the callers saw
// after the warm-up.
func Run(ctx context.Context, s Scenario, f Fleet, progress io.Writer) ([]Sample, error) {
	arrivals := Arrivals(s)
	c := &collector{total: len(arrivals)}
	send := newSender(s, f.Entries(), f.Tokens())
	defer send.close()
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var beside sync.WaitGroup
	defer beside.Wait()
	faults := make(chan error, 1)
	beside.Go(func() { faults <- applyEvents(ctx, s, f, started) })
	stop := make(chan struct{})
	defer close(stop)
	beside.Go(func() { c.show(progress, stop, started) })
	var callers sync.WaitGroup
	for _, a := range arrivals {
		if !sleepUntil(ctx, started.Add(a.At)) {
			break
		}
		callers.Go(func() { c.add(send.send(ctx, a)) })
	}
	callers.Wait()
	if ctx.Err() != nil {
		return nil, Error.Wrap(ctx.Err())
	}
	return c.measured(), <-faults
}

// applyEvents brings the scenario's events about at their times.
func applyEvents(ctx context.Context, s Scenario, f Fleet, started time.Time) error {
	for _, e := range s.Events {
		if !sleepUntil(ctx, started.Add(s.WarmUp+e.At)) {
			return Error.Wrap(ctx.Err())
		}
		if err := f.Apply(ctx, e); err != nil {
			return Error.New("event %s at %s: %v", e.Do, e.At, err)
		}
	}
	return nil
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// collector gathers samples.
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

// measured returns the samples of requests that came after the warm-up.
func (c *collector) measured() []Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []Sample
	for _, s := range c.samples {
		if s.At >= 0 {
			kept = append(kept, s)
		}
	}
	return kept
}

// show prints progress until stop closes.
func (c *collector) show(w io.Writer, stop <-chan struct{}, started time.Time) {
	tick := time.NewTicker(progressEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		c.mu.Lock()
		ended, whole := len(c.samples), 0
		for _, s := range c.samples {
			if s.Outcome == OutcomeOnTime {
				whole++
			}
		}
		c.mu.Unlock()
		_, _ = fmt.Fprintf(w, "%4.0fs  %d of %d ended, %d whole in time\n",
			time.Since(started).Seconds(), ended, c.total, whole)
	}
}

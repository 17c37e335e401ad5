package load

import (
	"sync"
	"time"

	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/link"
)

// Policy is a configuration of load balancing, admission and retries under which a local fleet
// runs.
type Policy struct {
	Name string
	// Description summarises what distinguishes the policy.
	Description string
	// NewChooser returns a new endpoint chooser for one entry.
	NewChooser func() entry.Chooser
	// ConfigureEntry changes the options of an entry before it starts; nil leaves them unchanged.
	ConfigureEntry func(*entry.Options)
	// RetryPercent replaces the default retry budget; 0 keeps it.
	RetryPercent int
	// FixedLimit replaces the agents' adaptive limits by this multiple of the endpoints' slots; 0
	// keeps them adaptive.
	FixedLimit int
	// Hedge enables a second, concurrent attempt when the first is slow.
	Hedge bool
}

// loadPollInterval is the age at which a polled load is refreshed.
const loadPollInterval = 500 * time.Millisecond

// Policies returns the policy in use, which is the first, and the baselines it is compared with.
func Policies() []Policy {
	chooser := func(name string) func() entry.Chooser {
		return func() entry.Chooser { return entry.ChooserByName(name) }
	}
	defaultChooser := chooser(entry.ChooserNames[0])
	return []Policy{
		{Name: "ours", Description: "occupancy reported with replies, adaptive limits, retry budget", NewChooser: defaultChooser},
		{Name: "finish-time", Description: "better of two endpoints by predicted finish time, with affinity", NewChooser: chooser("finish-time")},
		{Name: "round-robin", Description: "endpoints in round-robin order", NewChooser: chooser("round-robin")},
		{Name: "least-in-flight", Description: "endpoint with the fewest calls in flight from the same entry", NewChooser: chooser("least-in-flight")},
		{Name: "two-choices", Description: "better of two endpoints by calls in flight from the same entry", NewChooser: chooser("two-choices")},
		{Name: "polled", Description: "ours, but with load polled every 500 ms", NewChooser: func() entry.Chooser {
			return newPolledChooser(entry.NewOccupancy(), loadPollInterval, time.Now)
		}},
		{Name: "unbounded-retry", Description: "ours without the retry budget", NewChooser: defaultChooser,
			ConfigureEntry: func(o *entry.Options) { o.UnboundedRetries = true }},
		{Name: "fixed-limit", Description: "ours with fixed limits of three times the slots", NewChooser: defaultChooser, FixedLimit: 3},
		{Name: "no-early-refusal", Description: "ours, but without early refusal of requests that cannot meet their deadline", NewChooser: defaultChooser,
			ConfigureEntry: func(o *entry.Options) { o.NoEarlyRefusal = true }},
		{Name: "no-shares", Description: "ours without organisation shares", NewChooser: defaultChooser,
			ConfigureEntry: func(o *entry.Options) { o.NoShares = true }},
		{Name: "no-join", Description: "ours, but identical questions from several devices are not coalesced", NewChooser: defaultChooser,
			ConfigureEntry: func(o *entry.Options) { o.NoCoalescing = true }},
		{Name: "hedge", Description: "ours with hedged attempts", NewChooser: defaultChooser, Hedge: true},
		{Name: "no-affinity", Description: "finish time without prefix affinity", NewChooser: func() entry.Chooser {
			return withoutAffinity{entry.NewFinishTime()}
		}},
	}
}

// PolicyByName returns the policy with a name and reports whether there is one.
func PolicyByName(name string) (Policy, bool) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

// withoutAffinity is a baseline chooser that ignores the affinity of queries.
type withoutAffinity struct{ entry.Chooser }

// Choose implements entry.Chooser.
func (w withoutAffinity) Choose(_ entry.Query, candidates []entry.Candidate) int {
	return w.Chooser.Choose(entry.Query{}, candidates)
}

// polledChooser is a baseline chooser that uses each endpoint's load as of the last poll.
type polledChooser struct {
	inner    entry.Chooser
	interval time.Duration
	now      func() time.Time

	mu    sync.Mutex
	loads map[string]loadSample
}

// loadSample is the load of an endpoint at the time of a poll.
type loadSample struct {
	load     link.Load
	polledAt time.Time
}

func newPolledChooser(inner entry.Chooser, interval time.Duration, now func() time.Time) *polledChooser {
	return &polledChooser{inner: inner, interval: interval, now: now, loads: make(map[string]loadSample)}
}

// Choose implements entry.Chooser.
func (p *polledChooser) Choose(q entry.Query, candidates []entry.Candidate) int {
	polled := make([]entry.Candidate, len(candidates))
	for i, c := range candidates {
		c.Load = p.polledLoad(c.Name, c.Load)
		c.SentSinceLoad = 0
		polled[i] = c
	}
	return p.inner.Choose(q, polled)
}

// polledLoad returns the stored load of an endpoint, or stores and returns the current load if
// there is none or it is as old as the polling interval.
func (p *polledChooser) polledLoad(name string, load link.Load) link.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if sample, ok := p.loads[name]; ok && now.Sub(sample.polledAt) < p.interval {
		return sample.load
	}
	p.loads[name] = loadSample{load: load, polledAt: now}
	return load
}

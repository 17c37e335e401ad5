package load

import (
	"sync"
	"time"

	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/link"
)

// Policy is a set of choices under which a fleet runs.
type Policy struct {
	Name string
	// Description says in a few words what the policy is there to show.
	Description string
	// NewChooser makes the choice of endpoints for one entry.
	NewChooser func() entry.Chooser
	// ConfigureEntry changes an entry's options.
	ConfigureEntry func(*entry.Options)
	// RetryPercent, above 0, replaces the retry budget.
	RetryPercent int
	// FixedLimit replaces the agents' adaptive limits by the endpoints' slots
	// times this factor; 0 keeps them adaptive.
	FixedLimit int
	// Hedge sends a second attempt beside a slow one.
	Hedge bool
}

// polledEvery is how old polled load may be before it is read anew.
const polledEvery = 500 * time.Millisecond

// Policies returns ours, first, and the baselines.
func Policies() []Policy {
	chooser := func(name string) func() entry.Chooser {
		return func() entry.Chooser { return entry.ChooserByName(name) }
	}
	ours := chooser(entry.ChooserNames[0])
	return []Policy{
		{Name: "ours", Description: "occupancy carried on replies, adaptive limits, retry budget", NewChooser: ours},
		{Name: "finish-time", Description: "better of two by predicted finish time, with affinity", NewChooser: chooser("finish-time")},
		{Name: "round-robin", Description: "endpoints in turn", NewChooser: chooser("round-robin")},
		{Name: "least-in-flight", Description: "fewest of the entry's own calls", NewChooser: chooser("least-in-flight")},
		{Name: "two-choices", Description: "better of two by the entry's own calls", NewChooser: chooser("two-choices")},
		{Name: "polled", Description: "ours, but on load polled every 500 ms", NewChooser: func() entry.Chooser {
			return newPolled(entry.NewOccupancy(), polledEvery, time.Now)
		}},
		{Name: "unbounded-retry", Description: "ours without the retry budget", NewChooser: ours,
			ConfigureEntry: func(o *entry.Options) { o.UnboundedRetries = true }},
		{Name: "fixed-limit", Description: "ours with fixed limits of three times the slots", NewChooser: ours, FixedLimit: 3},
		{Name: "no-early-refusal", Description: "ours, but requests that cannot finish run on", NewChooser: ours,
			ConfigureEntry: func(o *entry.Options) { o.NoEarlyRefusal = true }},
		{Name: "no-shares", Description: "ours without shares of organisations", NewChooser: ours,
			ConfigureEntry: func(o *entry.Options) { o.NoShares = true }},
		{Name: "no-join", Description: "ours, but the same question runs once for each device", NewChooser: ours,
			ConfigureEntry: func(o *entry.Options) { o.NoCoalescing = true }},
		{Name: "hedge", Description: "ours with hedges", NewChooser: ours, Hedge: true},
		{Name: "no-affinity", Description: "finish time without prefix affinity", NewChooser: func() entry.Chooser {
			return withoutAffinity{entry.NewFinishTime()}
		}},
	}
}

// PolicyByName returns the policy of a name.
func PolicyByName(name string) (Policy, bool) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

// withoutAffinity is a baseline that forgets the affinity of queries.
type withoutAffinity struct{ entry.Chooser }

// Choose implements entry.Chooser.
func (w withoutAffinity) Choose(_ entry.Query, candidates []entry.Candidate) int {
	return w.Chooser.Choose(entry.Query{}, candidates)
}

// polled is a baseline that sees each endpoint's load as of the last poll.
type polled struct {
	inner entry.Chooser
	every time.Duration
	now   func() time.Time

	mu   sync.Mutex
	seen map[string]polledLoad
}

type polledLoad struct {
	load link.Load
	at   time.Time
}

func newPolled(inner entry.Chooser, every time.Duration, now func() time.Time) *polled {
	return &polled{inner: inner, every: every, now: now, seen: make(map[string]polledLoad)}
}

// Choose implements entry.Chooser.
func (p *polled) Choose(q entry.Query, candidates []entry.Candidate) int {
	old := make([]entry.Candidate, len(candidates))
	for i, c := range candidates {
		c.Load = p.as(c.Name, c.Load)
		c.SentSinceLoad = 0
		old[i] = c
	}
	return p.inner.Choose(q, old)
}

func (p *polled) as(name string, load link.Load) link.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if s, ok := p.seen[name]; ok && now.Sub(s.at) < p.every {
		return s.load
	}
	p.seen[name] = polledLoad{load: load, at: now}
	return load
}

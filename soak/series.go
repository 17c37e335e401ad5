package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// seriesPause bounds the pause between the starts of two series of planned work, stepPause that between two steps
	// of a series.
	seriesPause = 2500 * time.Millisecond
	stepPause   = 300 * time.Millisecond
	maxSteps    = 6
	// stoppingSeries is the share of series that stop entries, as one in so many.
	stoppingSeries = 3
	// maxEntriesAtOnce bounds the entries at which a step acts.
	maxEntriesAtOnce = 8
	// hangups is the largest number of SIGHUPs that one step sends to a process.
	hangups = 4
	// transientKey is an API key that comes and goes.
	transientKey = "the-soak's-transient-key"
	// idleLimit and shortIdleLimit are the idle limits of connections that configurations name.
	idleLimit      = 15 * time.Second
	shortIdleLimit = 2 * time.Second
	// shortTimeoutFactor is the shortest time-out of the routes that planned work changes, as a multiple of the
	// clients' deadline.
	shortTimeoutFactor = 0.6
	// manyEntries is the number of entries above which each has fewer clients.
	manyEntries = 20
)

// planned is the part of the configuration that planned work changes. Its zero value is the first configuration.
type planned struct {
	noTransientRoute, noTransientKey, annexStages, shortIdle, shortTimeout, swapped bool
}

// plannedServices are the further services of a run of planned work only.
var plannedServices = []serviceSize{{"annex", 2}, {"api2", 2}}

// changingRoutes returns the routes that planned work changes.
func (r *run) changingRoutes(p planned) []map[string]any {
	weights := []int{9, 1}
	stageService := "portal"
	timeout := float64(r.requestTimeout().Milliseconds()) * longRouteTimeoutFactor
	if p.swapped {
		weights = []int{1, 9}
	}
	if p.annexStages {
		stageService = "annex"
	}
	if p.shortTimeout {
		timeout = float64(r.shortTimeout().Milliseconds())
	}
	split := map[string]any{"backends": []map[string]any{{"service": "api", "weight": weights[0]}, {"service": "api2", "weight": weights[1]}}}
	routes := []map[string]any{
		fleettest.Route(uploadKind.name, "/upload/", "non_idempotent", "api", split),
		fleettest.Route(shiftingKind.name, "/stream/shifting/", "streaming", "llm", twoStages(stageService)),
	}
	if !p.noTransientRoute {
		routes = append(routes, fleettest.Route(transientKind.name, "/transient/", "non_idempotent", "api", nil))
	}
	for _, route := range routes {
		route["timeoutMs"] = timeout
		route["targetLatencyMs"], route["targetGapMs"] = plannedLatencyTarget.Milliseconds(), plannedGapTarget.Milliseconds()
	}
	return routes
}

// services returns the services that planned work adds.
func (p planned) services() []map[string]any {
	services := []map[string]any{fleettest.Service("api2")}
	if p.annexStages {
		services = append(services, fleettest.StageService("annex"))
	}
	return services
}

// keys returns the API keys that planned work adds.
func (p planned) keys() []string {
	if p.noTransientKey {
		return nil
	}
	return []string{transientKey}
}

func (p planned) idleLimit() time.Duration {
	if p.shortIdle {
		return shortIdleLimit
	}
	return idleLimit
}

// shortTimeout returns the shortest time-out of the routes that planned work changes.
func (r *run) shortTimeout() time.Duration {
	return time.Duration(shortTimeoutFactor * float64(r.requestTimeout()))
}

// clientCount returns the number of clients of each entry, of which there are n unless there are many entries.
func (r *run) clientCount(n int) int {
	if r.o.Entries > manyEntries {
		return 1
	}
	return n
}

// keptClientCount returns the number of clients of each entry that keep their connections.
func (r *run) keptClientCount() int {
	if !r.o.PlannedOnly {
		return 0
	}
	return r.clientCount(keptClientsPerEntry)
}

// seriesStep is a step of a series of planned work, at some of the entries.
type seriesStep func(r *run, rng *rand.Rand, entries []*entry)

// stopEntries stops the entries at the same time.
func stopEntries(r *run, _ *rand.Rand, entries []*entry) {
	var stops sync.WaitGroup
	for _, e := range entries {
		stops.Go(func() { r.stopEntry(e) })
	}
	stops.Wait()
}

// seriesSteps are the steps that a series is drawn from, beside stops of entries.
var seriesSteps = []seriesStep{
	func(_ *run, rng *rand.Rand, entries []*entry) {
		for range 1 + rng.IntN(hangups) {
			for _, e := range entries {
				e.signal(syscall.SIGHUP)
			}
			time.Sleep(time.Duration(rng.Int64N(int64(stepPause))))
		}
	},
	changeStep(func(p *planned) { p.noTransientRoute = !p.noTransientRoute }),
	changeStep(func(p *planned) { p.noTransientKey = !p.noTransientKey }),
	changeStep(func(p *planned) { p.annexStages = !p.annexStages }),
	changeStep(func(p *planned) { p.shortIdle = !p.shortIdle }),
	changeStep(func(p *planned) { p.shortTimeout = !p.shortTimeout }),
	changeStep(func(p *planned) { p.swapped = !p.swapped }),
}

// changeStep returns a step that changes the configuration.
func changeStep(change func(p *planned)) seriesStep {
	return func(r *run, _ *rand.Rand, _ []*entry) {
		r.configMu.Lock()
		change(&r.planned)
		r.configMu.Unlock()
		r.putConfiguration()
	}
}

// scheduleSeries draws series of overlapping planned work. It has a source of random numbers of its own, so that the
// other faults of a seed stay what they were.
func (r *run) scheduleSeries(injections *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 6))
	for offset := time.Duration(0); offset < r.o.Duration; offset += time.Duration(rng.Int64N(int64(seriesPause))) {
		rng := rand.New(rand.NewPCG(rng.Uint64(), 2))
		steps, delay := 2+rng.IntN(maxSteps-1), offset
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.1f s series of %d steps", delay.Seconds(), steps))
		injections.Go(func() {
			time.Sleep(delay)
			r.runSeries(rng, steps)
		})
	}
}

// runSeries starts the steps of a series one after the other and waits for all of them.
func (r *run) runSeries(rng *rand.Rand, steps int) {
	var running sync.WaitGroup
	stopAt := rng.IntN(steps * stoppingSeries)
	for i := range steps {
		step, stepRNG := seriesSteps[rng.IntN(len(seriesSteps))], rand.New(rand.NewPCG(rng.Uint64(), 2))
		if i == stopAt {
			step = stopEntries
		}
		entries := make([]*entry, 0, len(r.entries))
		for _, i := range rng.Perm(len(r.entries))[:1+rng.IntN(min(maxEntriesAtOnce, (len(r.entries)+1)/2))] {
			entries = append(entries, r.entries[i])
		}
		running.Go(func() { step(r, stepRNG, entries) })
		time.Sleep(time.Duration(rng.Int64N(int64(stepPause))))
	}
	running.Wait()
}

package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// fault is a fault that a run injects. inject returns when the fault has ended.
type fault struct {
	name   string
	inject func(r *run, rng *rand.Rand, duration time.Duration)
}

// faults lists the faults that a schedule is drawn from.
var faults = []fault{
	{"entry killed", func(r *run, rng *rand.Rand, duration time.Duration) {
		e := r.entries[rng.IntN(len(r.entries))]
		if !e.faultMu.TryLock() {
			return
		}
		defer e.faultMu.Unlock()
		e.setDisrupted(true)
		r.disruptions.Add(1)
		e.signal(syscall.SIGKILL)
		<-e.exited()
		time.Sleep(duration / 4)
		r.restart(e)
	}},
	{"entry paused", func(r *run, rng *rand.Rand, duration time.Duration) {
		e := r.entries[rng.IntN(len(r.entries))]
		if !e.faultMu.TryLock() {
			return
		}
		defer e.faultMu.Unlock()
		e.setDisrupted(true)
		r.disruptions.Add(1)
		e.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		e.continueProcess()
	}},
	{"entry stopped", func(r *run, rng *rand.Rand, _ time.Duration) {
		r.stopEntry(r.entries[rng.IntN(len(r.entries))])
	}},
	{"settings reloaded", func(r *run, rng *rand.Rand, _ time.Duration) {
		r.entries[rng.IntN(len(r.entries))].signal(syscall.SIGHUP)
	}},
	{"store bytes dropped", func(r *run, _ *rand.Rand, duration time.Duration) { r.setModeFor(r.storeProxy, modeDropAll, duration) }},
	{"store responses dropped", func(r *run, _ *rand.Rand, duration time.Duration) {
		r.setModeFor(r.storeProxy, modeDropResponses, duration)
	}},
	{"store slow", func(r *run, _ *rand.Rand, duration time.Duration) { r.setModeFor(r.storeProxy, modeDelay, duration) }},
	{"store busy", func(r *run, _ *rand.Rand, duration time.Duration) {
		r.store.SetFault(fleettest.Busy)
		time.Sleep(duration)
		r.store.SetFault(fleettest.Healthy)
	}},
	{"store history dropped", func(r *run, _ *rand.Rand, _ time.Duration) {
		r.putConfiguration()
		r.store.Compact()
	}},
	{"store connections reset", func(r *run, _ *rand.Rand, _ time.Duration) { r.storeProxy.reset() }},
	{"configuration changed", func(r *run, _ *rand.Rand, _ time.Duration) { r.putConfiguration() }},
	{"configuration grown", func(r *run, _ *rand.Rand, duration time.Duration) {
		// Three times as many routes come close to the largest object that the store takes.
		r.addedRoutes.Store(1400)
		r.putConfiguration()
		time.Sleep(duration)
		r.addedRoutes.Store(0)
		r.putConfiguration()
	}},
	{"endpoint bytes dropped", func(r *run, rng *rand.Rand, duration time.Duration) {
		r.setModeFor(r.randomEndpointProxy(rng), modeDropAll, duration)
	}},
	{"endpoint responses dropped", func(r *run, rng *rand.Rand, duration time.Duration) {
		r.setModeFor(r.randomEndpointProxy(rng), modeDropResponses, duration)
	}},
	{"endpoint connections reset", func(r *run, rng *rand.Rand, _ time.Duration) { r.randomEndpointProxy(rng).reset() }},
	{"endpoint faulty", func(r *run, rng *rand.Rand, duration time.Duration) {
		s := r.servers[rng.IntN(len(r.servers))]
		behaviour := fleettest.Behaviour(1 + rng.IntN(int(fleettest.Unsigned)))
		interval := uint64(2 + rng.IntN(4))
		s.SetBehaviour(func(n int, _ *http.Request) fleettest.Behaviour {
			if uint64(n)%interval == 0 {
				return behaviour
			}
			return fleettest.Serve
		})
		time.Sleep(duration)
		s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour { return fleettest.Serve })
	}},
	{"endpoint states a rate limit", func(r *run, rng *rand.Rand, duration time.Duration) {
		r.nameLimit(r.busiest(rng.IntN(len(r.servers))), float64(1+rng.IntN(4)), limitSettleTime+limitWindow+duration)
	}},
	{"endpoint's clock steps", func(r *run, rng *rand.Rand, duration time.Duration) {
		i := rng.IntN(len(r.servers))
		skewedSpec := maps.Clone(r.endpointSpecs[i])
		skewedSpec["born"] = maxClockError.Milliseconds() - rng.Int64N(2*maxClockError.Milliseconds())
		r.store.Put(fleet.KindEndpoints, r.servers[i].ID, skewedSpec)
		time.Sleep(duration)
		r.store.Put(fleet.KindEndpoints, r.servers[i].ID, r.endpointSpecs[i])
	}},
	{"data centre out", func(r *run, rng *rand.Rand, duration time.Duration) {
		name := fmt.Sprintf("dc-%d", rng.IntN(dataCentres))
		r.store.Put(fleet.KindEvacuations, name, map[string]any{})
		time.Sleep(duration)
		r.store.Delete(fleet.KindEvacuations, name)
	}},
}

// repeatedBehaviours are the behaviours whose answers an endpoint sends once more.
var repeatedBehaviours = []fleettest.Behaviour{
	fleettest.Serve, fleettest.Shed, fleettest.FailAfterRun, fleettest.Pause, fleettest.FailStages, fleettest.Unsigned,
}

// repeatAnswers makes the endpoints of a service send a second copy of some of their answers, where the answer to
// a later request is expected.
func (r *run) repeatAnswers(service string, rng *rand.Rand, duration time.Duration) {
	behaviour := repeatedBehaviours[rng.IntN(len(repeatedBehaviours))]
	kind := fleettest.ExactCopy + fleettest.Copy(rng.IntN(2))
	every, interval := uint64(1+rng.IntN(4)), uint64(2+rng.IntN(4))
	for i, s := range r.servers {
		if r.endpointSpecs[i]["service"] != service {
			continue
		}
		s.SetBehaviour(func(n int, _ *http.Request) fleettest.Behaviour {
			if uint64(n)%interval == 0 {
				return behaviour
			}
			return fleettest.Serve
		})
		var answers atomic.Uint64
		s.SetCopies(func(*http.Request, int) fleettest.Copy {
			if answers.Add(1)%every == 0 {
				return kind
			}
			return fleettest.NoCopy
		})
	}
	time.Sleep(duration)
	for i, s := range r.servers {
		if r.endpointSpecs[i]["service"] == service {
			s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour { return fleettest.Serve })
			s.SetCopies(nil)
		}
	}
}

// malformEndpoint lets another program write a malformed object among those of the endpoints.
func (r *run) malformEndpoint(rng *rand.Rand, duration time.Duration) {
	i := rng.IntN(len(r.servers))
	specs := fleettest.MalformedSpecs(r.endpointSpecs[i])
	kinds := slices.Sorted(maps.Keys(specs))
	spec := specs[kinds[rng.IntN(len(kinds))]]
	if rng.IntN(2) == 0 {
		// Another program writes over the object of an endpoint that is in use.
		r.store.PutRaw(fleet.KindEndpoints, r.servers[i].ID, spec)
		time.Sleep(duration)
		r.store.Put(fleet.KindEndpoints, r.servers[i].ID, r.endpointSpecs[i])
		return
	}
	// Nothing removes an object of its own.
	r.store.PutRaw(fleet.KindEndpoints, fmt.Sprintf("odd-%016x", rng.Uint64()), spec)
}

// scheduleMalformed draws when malformed objects are written. It has a source of random numbers of its own, so
// that the other faults of a seed stay what they were.
func (r *run) scheduleMalformed(injections *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 5))
	for range malformedObjects {
		delay := time.Duration(rng.Int64N(int64(r.o.Duration)))
		duration := time.Duration(300+rng.IntN(2500)) * time.Millisecond
		rng := rand.New(rand.NewPCG(rng.Uint64(), 2))
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.1f s malformed endpoint object (%v)", delay.Seconds(), duration))
		injections.Go(func() {
			time.Sleep(delay)
			r.malformEndpoint(rng, duration)
		})
	}
}

// malformedObjects is the number of malformed objects of a run.
const malformedObjects = 2

// scheduleRepeats draws for each service when its endpoints repeat answers. It has a source of random numbers of
// its own, so that the other faults of a seed stay what they were.
func (r *run) scheduleRepeats(injections *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 3))
	for _, s := range endpointServices {
		delay := time.Duration(rng.Int64N(int64(r.o.Duration)))
		duration := time.Duration(300+rng.IntN(2500)) * time.Millisecond
		rng := rand.New(rand.NewPCG(rng.Uint64(), 2))
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.1f s endpoints of %s repeat answers (%v)", delay.Seconds(), s.name, duration))
		injections.Go(func() {
			time.Sleep(delay)
			r.repeatAnswers(s.name, rng, duration)
		})
	}
}

// maxClockError is the maximum clock error of an endpoint, in either direction. An endpoint states
// its start time by its own clock, so it may seem to have started earlier than it did, or in the
// future.
const maxClockError = time.Hour

func (r *run) setModeFor(p *proxy, mode proxyMode, duration time.Duration) {
	p.setMode(mode)
	time.Sleep(duration)
	p.setMode(modeForward)
	// Bytes were dropped, so the remaining connections are no longer usable.
	p.reset()
}

// busiest returns the endpoint that got most requests of those of the service of an endpoint.
func (r *run) busiest(i int) *fleettest.Server {
	busiest := r.servers[i]
	for k, s := range r.servers {
		if r.endpointSpecs[k]["service"] == r.endpointSpecs[i]["service"] && s.Requests() > busiest.Requests() {
			busiest = s
		}
	}
	return busiest
}

const (
	// limitSettleTime is the time after which the entries keep a limit that an endpoint has stated.
	limitSettleTime = 3 * time.Second
	// In any limitWindow the endpoint may get limitTolerance times what its limit allows, and limitSlack
	// further requests.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// nameLimit makes an endpoint state a rate limit, in requests per second, for a while. It checks that the entries
// keep it until one of them is disrupted: a restarted process does not know the limit.
func (r *run) nameLimit(s *fleettest.Server, limit float64, duration time.Duration) {
	if !r.limitMu.TryLock() {
		return
	}
	defer r.limitMu.Unlock()
	disruptions := r.disruptions.Load()
	s.SetLimit(limit)
	namedAt := time.Now()
	for time.Since(namedAt) < duration && r.disruptions.Load() == disruptions {
		time.Sleep(10 * time.Millisecond)
	}
	got := s.MostArrivals(namedAt.Add(limitSettleTime), limitWindow)
	if allowed := int(limitTolerance*limit*limitWindow.Seconds() + limitSlack); got > allowed {
		r.recordViolation("%s stated a rate limit of %g a second and got %d requests in %v, allowed %d", s.ID, limit, got, limitWindow, allowed)
	}
	time.Sleep(time.Until(namedAt.Add(duration)))
	s.ClearLimit()
}

// randomEndpointProxy returns the proxy of a random endpoint. The first proxy is the store's.
func (r *run) randomEndpointProxy(rng *rand.Rand) *proxy {
	return r.proxies[1+rng.IntN(len(r.proxies)-1)]
}

// stopEntry stops a process gracefully and starts it again, unless another fault acts on it.
func (r *run) stopEntry(e *entry) {
	if !e.faultMu.TryLock() {
		return
	}
	defer e.faultMu.Unlock()
	e.setDisrupted(false)
	r.disruptions.Add(1)
	start := time.Now()
	e.recordTerm(start)
	e.signal(syscall.SIGTERM)
	select {
	case <-e.exited():
	case <-time.After(gracePeriod):
		if !e.isDisrupted() {
			r.recordViolation("%s was still running %v after SIGTERM", e.name, time.Since(start))
		}
		e.signal(syscall.SIGKILL)
		<-e.exited()
	}
	r.restart(e)
}

func (r *run) restart(e *entry) {
	if err := r.startProcess(e); err != nil {
		r.recordViolation("%s could not be restarted: %v", e.name, err)
	}
}

// injectFaults draws a schedule of faults and injects them while clients send requests. It then
// checks that the entries recover.
func (r *run) injectFaults(ctx context.Context) {
	clientCtx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range r.entries {
		for c := range r.clientCount(clientsPerEntry) {
			clients.Go(func() {
				r.sendRequests(clientCtx, r.entries[i], rand.New(rand.NewPCG(r.o.Seed, uint64(100+i*clientsPerEntry+c))))
			})
		}
		for c := range r.keptClientCount() {
			clients.Go(func() {
				r.sendKept(clientCtx, r.entries[i], rand.New(rand.NewPCG(r.o.Seed, uint64(100_000+i*keptClientsPerEntry+c))))
			})
		}
	}
	var injections sync.WaitGroup
	schedulable := r.schedulable()
	for offset := time.Duration(0); offset < r.o.Duration; {
		f := schedulable[r.rng.IntN(len(schedulable))]
		duration := time.Duration(300+r.rng.IntN(2500)) * time.Millisecond
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 2))
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.1f s %s (%v)", offset.Seconds(), f.name, duration))
		delay := offset
		injections.Go(func() {
			time.Sleep(delay)
			f.inject(r, rng, duration)
		})
		offset += time.Duration(100+r.rng.IntN(900)) * time.Millisecond
	}
	if r.o.PlannedOnly {
		r.scheduleSeries(&injections)
	} else {
		injections.Go(r.breakStreams(rand.New(rand.NewPCG(r.o.Seed, 3))))
		r.scheduleRepeats(&injections)
		r.scheduleMalformed(&injections)
		r.scheduleCrashes(ctx, &injections)
		r.scheduleStrain(ctx, &injections)
		if r.o.Rollout {
			r.scheduleRollout(ctx, &injections)
		}
		release := rand.New(rand.NewPCG(r.o.Seed, 3))
		injections.Go(func() { r.killDuringRelease(release) })
	}
	injections.Wait()
	if err := r.addEndpoint(lateService); err != nil {
		r.recordViolation("no further endpoint was started: %v", err)
	}
	r.checkRecovery(ctx)
	stop()
	clients.Wait()
}

// checkRecovery checks that every entry serves requests again within recoveryTimeout of the last
// fault, also at the endpoint that has been registered since. It probes them concurrently, so that each has
// the full time.
func (r *run) checkRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	var probes sync.WaitGroup
	for _, e := range r.entries {
		probes.Go(func() {
			for !r.isServing(ctx, e) {
				if time.Now().After(deadline) {
					r.recordViolation("%s does not serve requests %v after the last fault", e.name, recoveryTimeout)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	probes.Wait()
}

func (r *run) isServing(ctx context.Context, e *entry) bool {
	for _, kind := range []string{"look", lateKind.name} {
		resp := r.sendRequest(ctx, http.DefaultClient, e, kind, "recovery-"+e.name+fmt.Sprint(time.Now().UnixNano()))
		if resp.status != http.StatusOK {
			return false
		}
	}
	return true
}

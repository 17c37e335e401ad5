package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// badCallers and endlessCallers are the numbers of clients that send requests to the strained services at one entry
	// while an endpoint sends bad bodies, and while all send bytes without end.
	badCallers     = 8
	endlessCallers = 40
	// maxEndlessPause bounds the pause between two blocks of bytes without end.
	maxEndlessPause = 12 * time.Millisecond
	// The endpoint with bad bodies may get badShare of the requests in the badWindow from badDelay after the first bad
	// body on, and badSlack more. The others work on a request for soundWorkTime meanwhile.
	badDelay      = time.Second
	badWindow     = 3 * time.Second
	badShare      = 0.125
	badSlack      = 5
	soundWorkTime = 600 * time.Millisecond
)

// The services of the strain, of which beside has sound endpoints, and the numbers of their endpoints. Other faults
// reach these only through the entries and the store.
const (
	strained, strainedStages, beside                = "strained", "strained-stages", "beside"
	strainedCount, strainedStagesCount, besideCount = 4, 2, 2
)

var (
	strainedKinds = []requestKind{
		{"look", "GET", "/strained/look/x"}, {"book", "POST", "/strained/book/x"},
		{"plain", "POST", "/stream/strained/plain/x"}, {"staged", "POST", "/stream/strained/staged/x"},
	}
	besideKind = requestKind{"look", "GET", "/beside/x"}
	endless    = []fleettest.Behaviour{
		fleettest.EndlessHeader, fleettest.EndlessLines, fleettest.EndlessInterim, fleettest.EndlessBody, fleettest.EndlessSized,
		fleettest.EndlessStream, fleettest.EndlessEvent,
	}
	badBodies = []fleettest.Behaviour{fleettest.CutBody, fleettest.ResetBody, fleettest.SpoiltBody}
)

// addStrained starts the endpoints of the services of the strain and registers them.
func (r *run) addStrained() {
	for _, service := range []serviceSize{{strained, strainedCount}, {strainedStages, strainedStagesCount}, {beside, besideCount}} {
		for i := range service.count {
			s := fleettest.NewServer(fmt.Sprintf("%s-%d-%d", service.name, r.o.Seed, i))
			s.SetStream(streamEvents, r.eventGap())
			s.SetVersion(engineVersions[0])
			dataCentre := fmt.Sprintf("dc-%d", i%dataCentres)
			if service.name == beside {
				dataCentre = "dc-beside" // no fault takes it out of service
			}
			spec := s.EndpointSpec(service.name, dataCentre)
			spec["slots"] = endlessCallers
			r.strained = append(r.strained, s)
			r.store.Put(fleet.KindEndpoints, s.ID, spec)
		}
	}
}

// scheduleStrain draws when an endpoint sends bad bodies, after which endpoints send bytes without end. It has a source
// of random numbers of its own, so that the other faults of a seed stay what they were.
func (r *run) scheduleStrain(ctx context.Context, injections *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 7))
	start, duration := time.Duration(rng.Int64N(int64(r.o.Duration)/4)), time.Duration(1000+rng.IntN(2500))*time.Millisecond
	kind, pause := endless[rng.IntN(len(endless))], time.Duration(rng.IntN(2)*rng.IntN(int(maxEndlessPause)))
	bad, e := badBodies[rng.IntN(len(badBodies))], r.entries[rng.IntN(len(r.entries))]
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.1f s bad bodies of kind %d at %s, then bytes without end of kind %d, pause %v (%v)",
		start.Seconds(), bad, e.name, kind, pause, duration))
	injections.Go(func() {
		time.Sleep(start)
		r.withStrain(ctx, e, badCallers, func() { r.spoilBodies(e, bad) })
		r.withStrain(ctx, e, endlessCallers, func() { r.sendEndlessly(kind, pause, duration) })
	})
}

// withStrain calls inject beside clients of the strained services at one entry, and one of the sound service at each.
func (r *run) withStrain(ctx context.Context, e *entry, callers int, inject func()) {
	ctx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range callers {
		clients.Go(func() { r.sendStrained(ctx, e, strainedKinds[i%len(strainedKinds)], callers*1000+i) })
	}
	for i, e := range r.entries {
		clients.Go(func() { r.sendStrained(ctx, e, besideKind, callers*1000+callers+i) })
	}
	inject()
	stop()
	clients.Wait()
}

// sendStrained sends requests of a kind one after the other until ctx is done. Those to the sound service must be
// served if the entry is undisturbed; all are checked like others at the end of the run.
func (r *run) sendStrained(ctx context.Context, e *entry, k requestKind, source int) {
	rng := rand.New(rand.NewPCG(r.o.Seed, uint64(200_000+source)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		id := fmt.Sprintf("%s-%016x", k.name, rng.Uint64())
		resp := r.sendTo(ctx, client, e, response{id: id, kind: k.name}, k.method, k.path, r.requestBody(id), nil)
		if served := resp.status == http.StatusOK && resp.err == nil; k == besideKind && !served && e.isCalm(contactTime+resp.latency) {
			r.recordViolation("%s, beside strained endpoints, got status %d after %v at %s: %.100q, %v", id, resp.status, resp.latency, e.name, resp.body, resp.err)
		}
		r.mu.Lock()
		r.responses = append(r.responses, resp)
		r.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// spoilBodies makes one endpoint of each strained service, in the entry's data centre, send good heads and bad bodies
// for a while, and checks that the entry avoids it if it is undisturbed meanwhile.
func (r *run) spoilBodies(e *entry, b fleettest.Behaviour) {
	all, i := r.strained[:strainedCount], slices.Index(r.entries, e)%dataCentres
	bad := all[i : i+1]
	for _, s := range all {
		s.SetWorkTime(func(*http.Request) time.Duration { return soundWorkTime })
		defer s.SetWorkTime(nil)
	}
	bad[0].SetWorkTime(nil)
	faulty := append(slices.Clone(bad), r.strained[strainedCount+i])
	setBehaviour(faulty, b)
	defer setBehaviour(faulty, fleettest.Serve)
	time.Sleep(badDelay)
	badRuns, allRuns := -countRuns(bad), -countRuns(all)
	time.Sleep(badWindow)
	badRuns, allRuns = badRuns+countRuns(bad), allRuns+countRuns(all)
	if e.isCalm(badDelay+badWindow) && float64(badRuns) > badShare*float64(allRuns)+badSlack {
		r.recordViolation("%s, with bad bodies of kind %d, ran %d of %d requests to %d endpoints", bad[0].ID, b, badRuns, allRuns, len(all))
	}
}

// sendEndlessly makes the endpoints of the strained services send bytes without end for a while.
func (r *run) sendEndlessly(b fleettest.Behaviour, pause, duration time.Duration) {
	faulty := r.strained[:strainedCount+strainedStagesCount]
	for _, s := range faulty {
		s.SetEndlessPace(0, pause)
	}
	setBehaviour(faulty, b)
	time.Sleep(duration)
	setBehaviour(faulty, fleettest.Serve)
}

func setBehaviour(endpoints []*fleettest.Server, b fleettest.Behaviour) {
	for _, s := range endpoints {
		s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour { return b })
	}
}

// countRuns returns the number of clients' requests that endpoints ran.
func countRuns(endpoints []*fleettest.Server) int {
	n := 0
	for _, s := range endpoints {
		n += len(s.Runs())
	}
	return n
}

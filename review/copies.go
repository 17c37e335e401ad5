//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

func init() { cases["copies"] = copies }

const (
	// one of copiesEvery answers of a stage server states only a reason, and in trouble gets a second copy.
	copiesEvery    = 40
	copiesRequests = 360
	// copiesInterval is the mean time between two requests. Each has as many pieces as a call takes.
	copiesInterval = 180 * time.Millisecond
	copiesPieces   = "8"
)

// copies lets a stage server send a second copy of a few of its answers where the next one is expected.
func copies(r *run) []string {
	made := &results{of: make(map[string]piece)}
	var portals []*stageServer
	for i := range 2 {
		s := r.startStageServer(fmt.Sprintf("i-portal-%d", i), &stageServer{
			results: made, callTime: 150 * time.Millisecond, itemTime: 16 * time.Millisecond,
			fails: func(n int) bool { return n%copiesEvery == copiesEvery/2 }, repeats: r.trouble && i == 0,
		})
		portals = append(portals, s)
		r.store.Put("servers", s.id, endpointSpec("install-portal", s.address(), zones[i], 1))
	}
	var engines []*engine
	for i := range 4 {
		e := r.startEngine(fmt.Sprintf("i-llm-%d", i), &engine{results: made, events: 10, gap: 20 * time.Millisecond})
		engines = append(engines, e)
		r.store.Put("servers", e.id, endpointSpec("heater-llm", e.address, zones[i], 64))
	}
	route := fleettest.Route("manual-deep", "/stream/manual/", "streaming", "heater-llm", map[string]any{
		"timeoutMs": 8000, "targetLatencyMs": 1000, "targetGapMs": 400, "attempts": 2, "resumable": true, "sticky": true, "priority": 0,
		"stages": []map[string]any{{"service": "install-portal", "after": []int{}, "bytes": 8000}},
	})
	r.putConfig(1, []map[string]any{route}, []map[string]any{fleettest.EngineService("heater-llm"), portalService("install-portal")})
	r.startGateways(4)

	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range copiesRequests {
		wg.Go(func() {
			id := newAttemptID()
			a := r.send(newChannels(), r.gateways[i%len(r.gateways)], id, request{
				method: "POST", path: "/stream/manual/q", body: "question", timeout: 8 * time.Second, headers: map[string]string{
					"Azurelead-Model": "m", "Azurelead-Token-Usage": "1460,80", "Azurelead-Prompt-Prefix": fmt.Sprintf("5c1e07a%x:800,%08x:300", i%8, i),
					"Azurelead-Chunks": copiesPieces, "Azurelead-Chunk-Key": "key-" + id,
				},
			})
			if a.status == 200 && a.complete {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(time.Duration(min(rng.ExpFloat64(), 3) * float64(copiesInterval)))
	}
	wg.Wait()
	for _, s := range portals {
		calls, copies := s.answers()
		r.add("%s answered %d calls and sent %d second copies", s.id, calls, copies)
	}
	r.add("%d of %d requests were served", served, copiesRequests)
	if served < copiesRequests/2 {
		panic(unusable("most requests were not served"))
	}
	var foreign []string
	for _, e := range engines {
		e.mu.Lock()
		foreign = append(foreign, e.foreign...)
		e.mu.Unlock()
	}
	return foreign
}

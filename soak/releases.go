package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
)

// killDuringRelease takes the engines of one software version off the list, one after the other, as at the end of a
// release. They serve on. Then it kills one entry or all of them, which start again, and lists the engines again.
func (r *run) killDuringRelease(rng *rand.Rand) {
	version := engineVersions[rng.IntN(len(engineVersions))]
	killed := r.entries
	if rng.IntN(2) == 0 {
		first := rng.IntN(len(r.entries))
		killed = r.entries[first : first+1]
	}
	start := time.Duration(rng.Int64N(int64(r.o.Duration)))
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.1f s engines of %s leave, %d entries killed", start.Seconds(), version, len(killed)))
	time.Sleep(start)
	for i, s := range r.servers {
		if r.endpointSpecs[i]["service"] != "llm" || engineVersions[i%len(engineVersions)] != version {
			continue
		}
		r.store.Delete(fleet.KindEndpoints, s.ID)
		defer r.store.Put(fleet.KindEndpoints, s.ID, r.endpointSpecs[i])
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	for _, e := range killed {
		e.faultMu.Lock()
		defer e.faultMu.Unlock()
		e.setDisrupted(true)
	}
	r.disruptions.Add(1)
	for _, e := range killed {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
	}
	for _, e := range killed {
		<-e.exited()
	}
	time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	for _, e := range killed {
		r.restart(e)
	}
	time.Sleep(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
	rollouts "github.com/azurelead/azurelead/rollout"
)

const (
	// rolled is the service whose roll-out a run plays. Other faults reach its servers only through the entries and the
	// store.
	rolled = "rolled"
	// rolledCount is the number of servers of each version, and rolledCallers that of clients of each entry.
	rolledCount, rolledCallers = 4, 2
	// rolloutDuration is the time within which the roll-out is to be decided.
	rolloutDuration = 8 * time.Second
	// exposureShare and exposureSlack bound what the new version may get.
	exposureShare, exposureSlack = 0.1, 50
	// rolledWorkTime is the time that a sound server works on a request.
	rolledWorkTime = 50 * time.Millisecond
	// rolloutSettleTime is the time after the last fault in which the status is written.
	rolloutSettleTime = 4 * time.Second
)

var rolledKind = requestKind{"look", "GET", "/rolled/x"}

// versionFault is a way in which a version is bad.
type versionFault int

const (
	goodVersion versionFault = iota
	failsAtOnce
	failsLater
	slowAtOnce
	versionFaults
)

func (f versionFault) String() string {
	return [...]string{"good", "fails each third request", "fails each third request from a third of the time on", "four times slower"}[f]
}

// rollout is the roll-out of a run.
type rollout struct {
	fault versionFault
	// faulty is set while the new version fails.
	faulty atomic.Bool
	// earlier and target count the requests that reached the servers of each version.
	earlier, target atomic.Int64
	servers         []*fleettest.Server
}

// addVersion starts the servers of a version of the service.
func (r *run) addVersion(version string, count *atomic.Int64, bad bool) {
	for i := range rolledCount {
		s := fleettest.NewServer(fmt.Sprintf("%s-%s-%d-%d", rolled, version, r.o.Seed, i))
		s.SetVersion(version)
		s.SetWorkTime(func(*http.Request) time.Duration {
			if bad && r.rollout.fault == slowAtOnce {
				return 4 * rolledWorkTime
			}
			return rolledWorkTime
		})
		s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour {
			if n := count.Add(1); bad && n%3 == 0 && r.rollout.faulty.Load() {
				return fleettest.FailAfterRun
			}
			return fleettest.Serve
		})
		r.rollout.servers = append(r.rollout.servers, s)
		r.store.Put(fleet.KindEndpoints, s.ID, s.EndpointSpec(rolled, fmt.Sprintf("dc-%d", i%dataCentres)))
	}
}

// scheduleRollout orders a roll-out beside the other faults. It has a source of random numbers of its own, so that the other
// faults of a seed stay what they were.
func (r *run) scheduleRollout(ctx context.Context, injections *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 8))
	r.rollout.fault = versionFault(rng.IntN(int(versionFaults)))
	start := time.Duration(rng.Int64N(int64(r.o.Duration) / 4))
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.1f s a roll-out of a version that is: %v", start.Seconds(), r.rollout.fault))
	injections.Go(func() {
		ctx, stop := context.WithCancel(ctx)
		var clients sync.WaitGroup
		for i, e := range r.entries {
			for c := range rolledCallers {
				clients.Go(func() { r.sendStrained(ctx, e, rolledKind, 900_000+i*rolledCallers+c) })
			}
		}
		time.Sleep(start)
		r.playRollout()
		r.awaitStatus()
		stop()
		clients.Wait()
	})
}

// playRollout orders the roll-out, and checks at its end what the new version got.
func (r *run) playRollout() {
	o := &r.rollout
	o.faulty.Store(o.fault == failsAtOnce)
	r.addVersion("v2", &o.target, true)
	earlier := o.earlier.Load()
	r.store.Put(fleet.KindRollouts, rolled, map[string]any{"service": rolled, "target": "v2", "durationS": rolloutDuration.Seconds()})
	time.Sleep(rolloutDuration / 3)
	o.faulty.Store(o.fault == failsAtOnce || o.fault == failsLater)
	time.Sleep(rolloutDuration * 2 / 3)
	target := o.target.Load()
	all := target + o.earlier.Load() - earlier
	allowed := exposureShare*float64(all) + exposureSlack
	r.report.Rollout = fmt.Sprintf("%v: %d of %d requests, %.0f allowed", o.fault, target, all, allowed)
	if o.fault != goodVersion && float64(target) > allowed {
		r.recordViolation("a version that is bad (%v) got %d of %d requests, %.0f are allowed", o.fault, target, all, allowed)
	}
}

// awaitStatus waits until the roll-out is decided, for at most rolloutSettleTime, and returns its status. Entries may have
// heard of the order late.
func (r *run) awaitStatus() (status string) {
	for deadline := time.Now().Add(rolloutSettleTime); ; time.Sleep(50 * time.Millisecond) {
		status = r.store.Status(fleet.KindRollouts, rolled)
		if time.Now().After(deadline) || status != "" && !strings.Contains(status, string(rollouts.Serving)) {
			return status
		}
	}
}

// checkRollout checks the status once all faults have ended, and that a rejected version gets nothing more.
func (r *run) checkRollout(ctx context.Context) {
	o := &r.rollout
	status := r.awaitStatus()
	r.report.Rollout += ", status " + status
	before := o.target.Load()
	for i, e := range r.entries {
		for k := range 20 {
			r.sendTo(ctx, http.DefaultClient, e, response{id: fmt.Sprintf("after-%d-%d-%d", r.o.Seed, i, k), kind: rolledKind.name}, rolledKind.method, rolledKind.path, "", nil)
		}
	}
	switch later := o.target.Load() - before; {
	case o.fault == goodVersion && strings.Contains(status, string(rollouts.RolledBack)):
		r.recordViolation("a good version was rolled back")
	case o.fault != goodVersion && strings.Contains(status, string(rollouts.Succeeded)):
		r.recordViolation("a version that is bad (%v) has succeeded", o.fault)
	case strings.Contains(status, string(rollouts.RolledBack)) && later > 0:
		r.recordViolation("a version that was rolled back got %d more requests", later)
	}
}

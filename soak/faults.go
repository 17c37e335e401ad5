package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// fault is one disturbance; it returns when it is over.
type fault struct {
	name string
	do   func(r *run, rng *rand.Rand, length time.Duration)
}

// faults lists the disturbances that a schedule draws from.
var faults = []fault{
	{"entry killed", func(r *run, rng *rand.Rand, length time.Duration) {
		e := r.entries[rng.IntN(len(r.entries))]
		if !e.disturbing.TryLock() {
			return
		}
		defer e.disturbing.Unlock()
		e.wound(true)
		e.signal(syscall.SIGKILL)
		<-e.ended()
		time.Sleep(length / 4)
		r.restart(e)
	}},
	{"entry paused", func(r *run, rng *rand.Rand, length time.Duration) {
		e := r.entries[rng.IntN(len(r.entries))]
		if !e.disturbing.TryLock() {
			return
		}
		defer e.disturbing.Unlock()
		e.wound(true)
		e.signal(syscall.SIGSTOP)
		time.Sleep(length)
		e.signal(syscall.SIGCONT)
	}},
	{"entry stopped", func(r *run, rng *rand.Rand, _ time.Duration) {
		e := r.entries[rng.IntN(len(r.entries))]
		if !e.disturbing.TryLock() {
			return
		}
		defer e.disturbing.Unlock()
		e.wound(false)
		began := time.Now()
		e.signal(syscall.SIGTERM)
		select {
		case <-e.ended():
		case <-time.After(grace):
			if !e.isWounded() {
				r.broken("%s still ran %v after SIGTERM", e.name, time.Since(began))
			}
			e.signal(syscall.SIGKILL)
			<-e.ended()
		}
		r.restart(e)
	}},
	{"settings read again", func(r *run, rng *rand.Rand, _ time.Duration) {
		r.entries[rng.IntN(len(r.entries))].signal(syscall.SIGHUP)
	}},
	{"store silent", func(r *run, _ *rand.Rand, length time.Duration) { r.hold(r.storeP, wireSilent, length) }},
	{"store deaf", func(r *run, _ *rand.Rand, length time.Duration) { r.hold(r.storeP, wireDeaf, length) }},
	{"store slow", func(r *run, _ *rand.Rand, length time.Duration) { r.hold(r.storeP, wireSlow, length) }},
	{"store busy", func(r *run, _ *rand.Rand, length time.Duration) {
		r.store.SetFault(fleettest.Busy)
		time.Sleep(length)
		r.store.SetFault(fleettest.Healthy)
	}},
	{"store history dropped", func(r *run, _ *rand.Rand, _ time.Duration) {
		r.configure()
		r.store.Compact()
	}},
	{"store connections reset", func(r *run, _ *rand.Rand, _ time.Duration) { r.storeP.reset() }},
	{"configuration changed", func(r *run, _ *rand.Rand, _ time.Duration) { r.configure() }},
	{"endpoint silent", func(r *run, rng *rand.Rand, length time.Duration) { r.hold(r.someProxy(rng), wireSilent, length) }},
	{"endpoint deaf", func(r *run, rng *rand.Rand, length time.Duration) { r.hold(r.someProxy(rng), wireDeaf, length) }},
	{"endpoint connections reset", func(r *run, rng *rand.Rand, _ time.Duration) { r.someProxy(rng).reset() }},
	{"endpoint faulty", func(r *run, rng *rand.Rand, length time.Duration) {
		s := r.servers[rng.IntN(len(r.servers))]
		b := fleettest.Behaviour(1 + rng.IntN(int(fleettest.Unsigned)))
		share := uint64(2 + rng.IntN(4))
		s.SetBehaviour(func(n int, _ *http.Request) fleettest.Behaviour {
			if uint64(n)%share == 0 {
				return b
			}
			return fleettest.Serve
		})
		time.Sleep(length)
		s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour { return fleettest.Serve })
	}},
	{"endpoint's clock steps", func(r *run, rng *rand.Rand, length time.Duration) {
		i := rng.IntN(len(r.servers))
		stepped := maps.Clone(r.listed[i])
		stepped["born"] = clockStep.Milliseconds() - rng.Int64N(2*clockStep.Milliseconds())
		r.store.Put(fleet.KindEndpoints, r.servers[i].ID, stepped)
		time.Sleep(length)
		r.store.Put(fleet.KindEndpoints, r.servers[i].ID, r.listed[i])
	}},
	{"data centre out", func(r *run, rng *rand.Rand, length time.Duration) {
		name := fmt.Sprintf("dc-%d", rng.IntN(dataCentres))
		r.store.Put(fleet.KindEvacuations, name, map[string]any{})
		time.Sleep(length)
		r.store.Delete(fleet.KindEvacuations, name)
	}},
}

// clockStep is how far an endpoint's time of day may be off, either way: it states
// its start by it, and may seem to have started before it did, or to come.
const clockStep = time.Hour

func (r *run) hold(p *proxy, m wire, length time.Duration) {
	p.set(m)
	time.Sleep(length)
	p.set(wirePass)
	// Bytes were lost: what is left of the connections is of no use.
	p.reset()
}

// someProxy is the proxy of an endpoint.
func (r *run) someProxy(rng *rand.Rand) *proxy { return r.proxies[1+rng.IntN(len(r.proxies)-1)] }

func (r *run) restart(e *entry) {
	if err := r.spawn(e); err != nil {
		r.broken("%s did not start again: %v", e.name, err)
	}
}

// play disturbs the entries while clients ask, and then lets service return.
func (r *run) play(ctx context.Context) {
	asking, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range r.entries {
		for c := range clients {
			callers.Go(func() { r.ask(asking, r.entries[i], rand.New(rand.NewPCG(r.o.Seed, uint64(100+i*clients+c)))) })
		}
	}
	var disturbing sync.WaitGroup
	for at := time.Duration(0); at < r.o.Duration; {
		f := faults[r.rng.IntN(len(faults))]
		length := time.Duration(300+r.rng.IntN(2500)) * time.Millisecond
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 2))
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.1f s %s (%v)", at.Seconds(), f.name, length))
		start := at
		disturbing.Go(func() {
			time.Sleep(start)
			f.do(r, rng, length)
		})
		at += time.Duration(100+r.rng.IntN(900)) * time.Millisecond
	}
	disturbing.Wait()
	r.recovered(ctx)
	stop()
	callers.Wait()
}

// recovered checks that every entry serves soon after the last fault. All are
// asked at once, so that each has the whole time.
func (r *run) recovered(ctx context.Context) {
	end := time.Now().Add(settle)
	var asked sync.WaitGroup
	for _, e := range r.entries {
		asked.Go(func() {
			for !r.serves(ctx, e) {
				if time.Now().After(end) {
					r.broken("%s does not serve %v after the last fault", e.name, settle)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	asked.Wait()
}

func (r *run) serves(ctx context.Context, e *entry) bool {
	a := r.one(ctx, http.DefaultClient, e, "look", "recovery-"+e.name+fmt.Sprint(time.Now().UnixNano()))
	return a.status == http.StatusOK
}

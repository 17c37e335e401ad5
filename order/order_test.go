package order

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/lease"
	"github.com/azurelead/azurelead/platform"
)

const agentBoot = contract.BootID("boot-1")

// fakeEngine ignores fencing numbers and records those of the orders that it applied.
type fakeEngine struct {
	mu      sync.Mutex
	serving Target
	applied []uint64
}

func (e *fakeEngine) Apply(_ context.Context, o Order) *contract.Problem {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applied = append(e.applied, o.Fence)
	e.serving = o.Target
	return nil
}

func (e *fakeEngine) Serving(context.Context) (Target, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serving, nil
}

// fences returns the fencing numbers of the orders applied so far.
func (e *fakeEngine) fences() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.applied)
}

// fakeDrainer is a Drainer whose Drain takes a fixed time.
type fakeDrainer struct{ duration time.Duration }

func (d *fakeDrainer) Drain(ctx context.Context) error {
	select {
	case <-time.After(d.duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
func (d *fakeDrainer) Resume()                           {}
func (d *fakeDrainer) Occupancy() (int, int, bool, bool) { return 0, 1, false, false }

// fakeFenceSource returns a fixed generation. A non-nil err simulates a store outage.
type fakeFenceSource struct {
	generation uint64
	err        error
}

func (s *fakeFenceSource) Generation(context.Context) (uint64, error) { return s.generation, s.err }

func newTestExecutor(e Engine, drain time.Duration, source FenceSource) *Executor {
	return NewExecutor(ExecutorOptions{
		Instance: "engine-1", AgentBoot: agentBoot, Guard: NewGuard(source),
		Engine: e, Drainer: &fakeDrainer{duration: drain}, Timeout: time.Minute,
	})
}

func testOrder(fence uint64, version string) Order {
	return Order{ID: "o", Fence: fence, Instance: "engine-1", AgentBoot: agentBoot, Kind: LoadModel, Target: Target{Model: "m", Version: version}}
}

func codeOf(p *contract.Problem) contract.Code {
	if p == nil {
		return ""
	}
	return p.Code
}

// TestRestartedAgentRefusesOrdersUntilItKnowsTheFence checks that a restarted agent refuses
// all orders until it has read the highest fencing number, and then refuses orders with
// a lower number and orders that were made for an earlier boot of the agent.
func TestRestartedAgentRefusesOrdersUntilItKnowsTheFence(t *testing.T) {
	source := &fakeFenceSource{generation: 5, err: errors.New("store down")}
	e := &fakeEngine{}
	c := newTestExecutor(e, 0, source)
	var got []contract.Code
	got = append(got, codeOf(c.Accept(t.Context(), testOrder(5, "2"))))
	source.err = nil
	got = append(got, codeOf(c.Accept(t.Context(), testOrder(4, "2"))))
	got = append(got, codeOf(c.Accept(t.Context(), testOrder(5, "2"))))
	c.Wait()
	earlier := testOrder(6, "3")
	earlier.AgentBoot = "boot-0"
	got = append(got, codeOf(c.Accept(t.Context(), earlier)))
	want := []contract.Code{contract.CodeClaimUnavailable, contract.CodeFenced, "", contract.CodeWrongBoot}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff([]uint64{5}, e.fences()); diff != "" {
		t.Fatal(diff)
	}
}

// TestSuccessorFencesADrainingOrder checks that an order of a former lease holder is not
// applied if a successor requests a report while the engine drains for the order. The
// engine ignores fencing numbers, so that only the agent can stop the order.
func TestSuccessorFencesADrainingOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{}
		c := newTestExecutor(e, 10*time.Second, &fakeFenceSource{generation: 1})
		if p := c.Accept(t.Context(), testOrder(1, "2")); p != nil {
			t.Fatal(p)
		}
		time.Sleep(time.Second)
		r, p := c.Report(t.Context(), 2)
		if p != nil || !r.busy() {
			t.Fatalf("report to the successor: %+v, %v", r, p)
		}
		c.Wait()
		if fences := e.fences(); len(fences) != 0 {
			t.Fatalf("fencing numbers of applied orders: %v, want none", fences)
		}
		if r, _ := c.Report(t.Context(), 2); r.busy() {
			t.Fatal("the executor is still busy after the order was fenced")
		}
	})
}

// localAgents is an Agents that calls executors directly.
type localAgents struct {
	executors map[string]*Executor
	// beforeOrder is called once, after the holder has checked its lease and before its
	// order arrives, to simulate a pause of the holder.
	beforeOrder func()
}

func (a *localAgents) Report(ctx context.Context, i platform.Instance, fence uint64) (Report, *contract.Problem) {
	return a.executors[i.Name].Report(ctx, fence)
}

func (a *localAgents) Order(ctx context.Context, i platform.Instance, o Order) *contract.Problem {
	if a.beforeOrder != nil {
		hook := a.beforeOrder
		a.beforeOrder = nil
		hook()
	}
	return a.executors[i.Name].Accept(ctx, o)
}

// TestOrderOfAPausedHolderIsFenced pauses a holder between the check of its lease and the
// arrival of its order, until after the end of its term. By then its successor has changed
// the engine to a newer version, so the late order must have no effect.
func TestOrderOfAPausedHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.NewMemory(platform.MemoryOptions{})
		e := &fakeEngine{}
		executor := newTestExecutor(e, 0, LeaseFenceSource{Store: store, Key: "lease"})
		agents := &localAgents{executors: map[string]*Executor{"engine-1": executor}}
		version := "2"
		newController := func(holder contract.BootID) *Controller {
			return NewController(ControllerOptions{
				Lease:  lease.New(lease.Options{Store: store, Key: "lease", Holder: holder, Term: 10 * time.Second, Margin: 2 * time.Second}),
				Agents: agents, CallTimeout: time.Second,
				ReadDemand: func(context.Context) (Demand, error) {
					g := Group{Instances: []platform.Instance{{Name: "engine-1"}}, Desired: []DesiredModel{desired("m", version, 1)}}
					return Demand{Groups: []Group{g}, MaxLoads: 1, SettingsVersion: 1}, nil
				},
			})
		}
		paused, successor := newController("a"), newController("b")
		agents.beforeOrder = func() {
			version = "3"
			for range 15 {
				time.Sleep(time.Second)
				successor.Reconcile(t.Context())
				executor.Wait()
			}
		}
		paused.Reconcile(t.Context())
		executor.Wait()
		paused.Reconcile(t.Context())
		if diff := cmp.Diff([]uint64{2}, e.fences()); diff != "" {
			t.Fatalf("fencing numbers applied (-want +got):\n%s", diff)
		}
	})
}

// TestRollOutDuringStoreOutage takes the store down after the first engine of a pool has
// been ordered to change. The holder may issue orders until its term ends and must issue
// none afterwards, so the other engines keep their version. When the store is back, the
// roll-out must continue, whichever controller then holds the lease.
func TestRollOutDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.NewMemory(platform.MemoryOptions{})
		agents := &localAgents{executors: map[string]*Executor{}}
		var group Group
		var engines []*fakeEngine
		for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
			e := &fakeEngine{serving: Target{Model: "m", Version: "1"}}
			engines = append(engines, e)
			c := NewExecutor(ExecutorOptions{
				Instance: name, AgentBoot: agentBoot, Guard: NewGuard(LeaseFenceSource{Store: store, Key: "lease"}),
				Engine: e, Drainer: &fakeDrainer{duration: 8 * time.Second}, Timeout: time.Minute,
			})
			agents.executors[name] = c
			group.Instances = append(group.Instances, platform.Instance{Name: name})
		}
		group.Desired = []DesiredModel{desired("m", "2", 3)}
		newController := func(holder contract.BootID) *Controller {
			return NewController(ControllerOptions{
				Lease:  lease.New(lease.Options{Store: store, Key: "lease", Holder: holder, Term: 10 * time.Second, Margin: 2 * time.Second}),
				Agents: agents, CallTimeout: time.Second,
				ReadDemand: func(context.Context) (Demand, error) { return Demand{Groups: []Group{group}, MaxLoads: 3}, nil },
			})
		}
		controllers := []*Controller{newController("a"), newController("b")}
		rounds := func(n int) {
			for range n {
				for _, controller := range controllers {
					controller.Reconcile(t.Context())
				}
				time.Sleep(time.Second)
			}
		}
		changed := func() (n int) {
			for _, e := range engines {
				if serving, _ := e.Serving(t.Context()); serving.Version == "2" {
					n++
				}
			}
			return n
		}
		rounds(6) // the first engine drains
		store.SetFaults(platform.Faults{Down: true})
		rounds(30) // the term ends, and so does an order that was issued within it
		changedInTerm := changed()
		if changedInTerm == len(engines) {
			t.Fatal("the roll-out completed before the end of the term")
		}
		rounds(600)
		if n := changed(); n != changedInTerm {
			t.Fatalf("%d engines changed after the end of the term, want 0", n-changedInTerm)
		}
		store.SetFaults(platform.Faults{})
		rounds(60)
		if n := changed(); n != 3 {
			t.Fatalf("%d engines changed after the store came back, want 3", n)
		}
		for _, e := range engines {
			if fences := e.fences(); len(fences) != 1 {
				t.Errorf("an engine applied %d orders with the fencing numbers %v, want 1", len(fences), fences)
			}
		}
	})
}

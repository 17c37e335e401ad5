package order

import (
	"context"
	"sync"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// Engine is the engine beside the agent, as far as orders concern it.
type Engine interface {
	// Apply carries the order out and returns when the engine has done so or
	// refused it.
	Apply(ctx context.Context, o Order) *contract.Problem
	// Serving returns what the engine serves now.
	Serving(ctx context.Context) (Target, error)
}

// Drainer empties the engine before a disrupting order.
type Drainer interface {
	// Drain refuses new work as not run and waits until nothing runs.
	Drain(ctx context.Context) error
	// Resume takes new work again, from the cold limit.
	Resume()
	// Occupancy returns the calls in flight, the limit, and whether the
	// engine is cold or leaving.
	Occupancy() (inFlight, limit int, cold, leaving bool)
}

// ExecutorOptions configures a Executor.
type ExecutorOptions struct {
	Instance  string
	AgentBoot contract.BootID
	Guard     *Guard
	Engine    Engine
	Drainer   Drainer
	// Timeout bounds one order with its drain.
	Timeout time.Duration
}

// Executor is the agent's side of orders: it checks them and carries them out
// one at a time.
type Executor struct {
	o ExecutorOptions

	mu       sync.Mutex
	becoming *Target
	done     sync.WaitGroup
}

// NewExecutor returns an idle executor.
func NewExecutor(o ExecutorOptions) *Executor { return &Executor{o: o} }

// Report tells the holder of the lease about the engine. The call carries the
// holder's fencing number, so that from its first look at an engine on no
// order of a former holder passes there.
func (e *Executor) Report(ctx context.Context, fence uint64) (Report, *contract.Problem) {
	if p := e.o.Guard.Admit(ctx, fence); p != nil {
		return Report{}, p
	}
	serving, err := e.o.Engine.Serving(ctx)
	if err != nil {
		return Report{}, contract.NewProblem(contract.CodeEndpointFailed, contract.NotRun, "engine's state: %v", err)
	}
	inFlight, limit, cold, leaving := e.o.Drainer.Occupancy()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{
		Instance: e.o.Instance, AgentBoot: e.o.AgentBoot, Serving: serving, PendingTarget: e.becoming,
		Cold: cold, Leaving: leaving, InFlight: inFlight, Limit: limit,
	}, nil
}

// Accept checks the order and starts it. A nil problem means accepted; the
// engine's next reports show the result.
func (e *Executor) Accept(ctx context.Context, o Order) *contract.Problem {
	if o.AgentBoot != e.o.AgentBoot {
		return contract.NewProblem(contract.CodeWrongBoot, contract.NotRun, "the order was made for an earlier boot of this agent")
	}
	if p := e.o.Guard.Admit(ctx, o.Fence); p != nil {
		return p
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.becoming != nil {
		return contract.NewProblem(contract.CodeInProgress, contract.NotRun, "the engine carries out another order")
	}
	target := o.Target
	e.becoming = &target
	e.done.Go(func() { e.carryOut(o) })
	return nil
}

// Wait returns when no order is being carried out.
func (e *Executor) Wait() { e.done.Wait() }

func (e *Executor) carryOut(o Order) {
	ctx, cancel := context.WithTimeout(context.Background(), e.o.Timeout)
	defer cancel()
	defer e.finish()
	if o.disrupts() {
		defer e.o.Drainer.Resume()
		if err := e.o.Drainer.Drain(ctx); err != nil {
			return
		}
	}
	// A drain takes long: a successor may have been elected meanwhile, and
	// its number, known here from its first report, stops this order.
	if p := e.o.Guard.Admit(ctx, o.Fence); p != nil {
		return
	}
	_ = e.o.Engine.Apply(ctx, o)
}

func (e *Executor) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.becoming = nil
}

package order

import (
	"context"
	"sync"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// Engine is the agent's engine, limited to the methods that orders need.
type Engine interface {
	// Apply carries out the order. It returns when the engine has completed or refused it.
	Apply(ctx context.Context, o Order) *contract.Problem
	// Serving returns what the engine serves now.
	Serving(ctx context.Context) (Target, error)
}

// Drainer drains the engine before an order that interrupts its work.
type Drainer interface {
	// Drain refuses new work as not run and waits until no work is in flight.
	Drain(ctx context.Context) error
	// Resume accepts new work again, starting with the cold limit.
	Resume()
	// Occupancy returns the number of calls in flight, the concurrency limit, and
	// whether the engine is cold and whether its agent is leaving.
	Occupancy() (inFlight, limit int, cold, leaving bool)
}

// ExecutorOptions configures an Executor.
type ExecutorOptions struct {
	Instance  string
	AgentBoot contract.BootID
	Guard     *Guard
	Engine    Engine
	Drainer   Drainer
	// Timeout bounds one order including its drain.
	Timeout time.Duration
}

// Executor checks the orders that an agent receives, and carries them out one at a time.
type Executor struct {
	options ExecutorOptions

	mu            sync.Mutex
	pendingTarget *Target
	wg            sync.WaitGroup
}

// NewExecutor returns an idle executor.
func NewExecutor(options ExecutorOptions) *Executor { return &Executor{options: options} }

// Report returns a report on the engine to the holder of the lease. The request includes
// the holder's fencing number, so that orders of earlier holders are refused from the
// first report on.
func (e *Executor) Report(ctx context.Context, fence uint64) (Report, *contract.Problem) {
	if p := e.options.Guard.Admit(ctx, fence); p != nil {
		return Report{}, p
	}
	serving, err := e.options.Engine.Serving(ctx)
	if err != nil {
		return Report{}, contract.NewProblem(contract.CodeEndpointFailed, contract.NotRun, "engine's state: %v", err)
	}
	inFlight, limit, cold, leaving := e.options.Drainer.Occupancy()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{
		Instance: e.options.Instance, AgentBoot: e.options.AgentBoot, Serving: serving, PendingTarget: e.pendingTarget,
		Cold: cold, Leaving: leaving, InFlight: inFlight, Limit: limit,
	}, nil
}

// Accept checks the order and starts to carry it out in the background. It returns nil if
// the order is accepted. Later reports of the engine show the result.
func (e *Executor) Accept(ctx context.Context, o Order) *contract.Problem {
	if o.AgentBoot != e.options.AgentBoot {
		return contract.NewProblem(contract.CodeWrongBoot, contract.NotRun, "the order was made for an earlier boot of this agent")
	}
	if p := e.options.Guard.Admit(ctx, o.Fence); p != nil {
		return p
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pendingTarget != nil {
		return contract.NewProblem(contract.CodeInProgress, contract.NotRun, "the engine carries out another order")
	}
	target := o.Target
	e.pendingTarget = &target
	e.wg.Go(func() { e.execute(o) })
	return nil
}

// Wait waits until no order is being carried out.
func (e *Executor) Wait() { e.wg.Wait() }

func (e *Executor) execute(o Order) {
	ctx, cancel := context.WithTimeout(context.Background(), e.options.Timeout)
	defer cancel()
	defer e.finish()
	if o.needsDrain() {
		defer e.options.Drainer.Resume()
		if err := e.options.Drainer.Drain(ctx); err != nil {
			return
		}
	}
	// During a long drain another holder may have acquired the lease. Its fencing
	// number, which is known here from its first report request, stops this order.
	if p := e.options.Guard.Admit(ctx, o.Fence); p != nil {
		return
	}
	_ = e.options.Engine.Apply(ctx, o)
}

func (e *Executor) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingTarget = nil
}

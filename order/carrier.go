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

// CarrierOptions configures a Carrier.
type CarrierOptions struct {
	Instance  string
	AgentBoot contract.BootID
	Guard     *Guard
	Engine    Engine
	Drainer   Drainer
	// Timeout bounds one order with its drain.
	Timeout time.Duration
}

// Carrier is the agent's side of orders: it checks them and carries them out
// one at a time.
type Carrier struct {
	o CarrierOptions

	mu       sync.Mutex
	becoming *Target
	done     sync.WaitGroup
}

// NewCarrier returns an idle carrier.
func NewCarrier(o CarrierOptions) *Carrier { return &Carrier{o: o} }

// Report tells the holder of the lease about the engine. The call carries the
// holder's fencing number, so that from its first look at an engine on no
// order of a former holder passes there.
func (c *Carrier) Report(ctx context.Context, fence uint64) (Report, *contract.Problem) {
	if p := c.o.Guard.Admit(ctx, fence); p != nil {
		return Report{}, p
	}
	serving, err := c.o.Engine.Serving(ctx)
	if err != nil {
		return Report{}, contract.NewProblem(contract.CodeEndpointFailed, contract.NotRun, "engine's state: %v", err)
	}
	inFlight, limit, cold, leaving := c.o.Drainer.Occupancy()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{
		Instance: c.o.Instance, AgentBoot: c.o.AgentBoot, Serving: serving, Becoming: c.becoming,
		Cold: cold, Leaving: leaving, InFlight: inFlight, Limit: limit,
	}, nil
}

// Accept checks the order and starts it. A nil problem means accepted; the
// engine's next reports show the result.
func (c *Carrier) Accept(ctx context.Context, o Order) *contract.Problem {
	if o.AgentBoot != c.o.AgentBoot {
		return contract.NewProblem(contract.CodeWrongBoot, contract.NotRun, "the order was made for an earlier boot of this agent")
	}
	if p := c.o.Guard.Admit(ctx, o.Fence); p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.becoming != nil {
		return contract.NewProblem(contract.CodeInProgress, contract.NotRun, "the engine carries out another order")
	}
	target := o.Target
	c.becoming = &target
	c.done.Go(func() { c.carryOut(o) })
	return nil
}

// Wait returns when no order is being carried out.
func (c *Carrier) Wait() { c.done.Wait() }

func (c *Carrier) carryOut(o Order) {
	ctx, cancel := context.WithTimeout(context.Background(), c.o.Timeout)
	defer cancel()
	defer c.finish()
	if o.disrupts() {
		defer c.o.Drainer.Resume()
		if err := c.o.Drainer.Drain(ctx); err != nil {
			return
		}
	}
	// A drain takes long: a successor may have been elected meanwhile, and
	// its number, known here from its first report, stops this order.
	if p := c.o.Guard.Admit(ctx, o.Fence); p != nil {
		return
	}
	_ = c.o.Engine.Apply(ctx, o)
}

func (c *Carrier) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.becoming = nil
}

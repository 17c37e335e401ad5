package order

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/lease"
	"github.com/azurelead/azurelead/platform"
)

// FenceSource reads the generation of the orders' lease from the platform's
// store. An agent that has just started asks it before it passes any order.
type FenceSource interface {
	Generation(ctx context.Context) (uint64, error)
}

// Guard refuses orders with an old fencing number. For engines that ignore
// the number it is the only check. It is safe for concurrent use.
type Guard struct {
	source FenceSource

	mu      sync.Mutex
	known   bool
	highest uint64
}

// NewGuard returns a guard that knows no number yet and refuses every order
// until it has learned the highest one from source.
func NewGuard(source FenceSource) *Guard { return &Guard{source: source} }

// Admit returns nil when an order with this number may pass, and remembers the
// number. It returns a problem with CodeFenced for an old number, and with
// CodeClaimUnavailable when a restarted agent cannot learn the highest number.
func (g *Guard) Admit(ctx context.Context, fence uint64) *contract.Problem {
	if p := g.learn(ctx); p != nil {
		return p
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.highest {
		return contract.NewProblem(contract.CodeFenced, contract.NotRun, "fencing number %d is below %d", fence, g.highest)
	}
	g.highest = fence
	return nil
}

// learn asks the store once in this agent's life. A number that arrived with
// an order before the answer counts as well.
func (g *Guard) learn(ctx context.Context) *contract.Problem {
	g.mu.Lock()
	known := g.known
	g.mu.Unlock()
	if known {
		return nil
	}
	generation, err := g.source.Generation(ctx)
	if err != nil {
		return contract.NewProblem(contract.CodeClaimUnavailable, contract.NotRun, "the highest fencing number is not known yet: %v", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.highest = max(g.highest, generation)
	g.known = true
	return nil
}

// LeaseFenceSource is a FenceSource that reads the lease object itself.
type LeaseFenceSource struct {
	Store platform.Store
	Key   string
}

// Generation implements FenceSource. A lease that nobody has held yet is 0.
func (f LeaseFenceSource) Generation(ctx context.Context) (uint64, error) {
	o, err := f.Store.Get(ctx, f.Key)
	if platform.NotFound.Has(err) {
		return 0, nil
	}
	if err != nil {
		return 0, Error.Wrap(err)
	}
	var r lease.Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return 0, Error.Wrap(err)
	}
	return r.Generation, nil
}

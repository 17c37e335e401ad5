package order

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/lease"
	"github.com/azurelead/azurelead/platform"
)

// FenceSource reads the generation of the lease for orders from the platform's store.
// A restarted agent reads it before it accepts any order.
type FenceSource interface {
	Generation(ctx context.Context) (uint64, error)
}

// Guard refuses orders with an old fencing number. It is the only check for engines that
// ignore the number. It is safe for concurrent use.
type Guard struct {
	source FenceSource

	mu          sync.Mutex
	initialised bool
	highest     uint64
}

// NewGuard returns a guard that refuses every order until it has read the highest
// fencing number from source.
func NewGuard(source FenceSource) *Guard { return &Guard{source: source} }

// Admit returns nil if an order with this fencing number is accepted, and stores the
// number as the highest one. It returns a problem with CodeFenced for an old number, and
// one with CodeClaimUnavailable if the highest number cannot be read after a restart.
func (g *Guard) Admit(ctx context.Context, fence uint64) *contract.Problem {
	if p := g.initialise(ctx); p != nil {
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

// initialise reads the highest number from the source, until that has succeeded once. It
// keeps a higher number that another call has stored meanwhile.
func (g *Guard) initialise(ctx context.Context) *contract.Problem {
	g.mu.Lock()
	known := g.initialised
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
	g.initialised = true
	return nil
}

// LeaseFenceSource is a FenceSource that reads the lease object from the store.
type LeaseFenceSource struct {
	Store platform.Store
	Key   string
}

// Generation implements FenceSource. It returns 0 if the lease does not exist yet.
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

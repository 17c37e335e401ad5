package entry

import "sync"

const (
	// retryBurst bounds the retries that a pool may save up.
	retryBurst = 10
	// retryOverdraft is how many retries may be made before they are earned, so
	// that a quiet pool has some too.
	retryOverdraft = 2
)

// RetryBudget pays for the retries and hedges of one pool: each first attempt
// earns a share of a token, each retry costs one. While the budget is overdrawn
// attempts earn half, so that retries stay below their share of the first
// attempts as soon as there are a few, also when every attempt fails.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// Earn credits one first attempt at percent of a token.
func (b *RetryBudget) Earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := float64(percent) / 100
	if b.tokens < 0 {
		credit /= 2
	}
	b.tokens = min(b.tokens+credit, retryBurst)
}

// Spend takes one token, and reports whether it may.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	const rounding = 1e-9
	if b.tokens-1 < -retryOverdraft-rounding {
		return false
	}
	b.tokens--
	return true
}

// budgets keeps the budget of each pool.
type budgets struct {
	mu    sync.Mutex
	pools map[string]*RetryBudget
}

func newBudgets() *budgets { return &budgets{pools: make(map[string]*RetryBudget)} }

func (b *budgets) of(pool string) *RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[pool]
	if p == nil {
		p = &RetryBudget{}
		b.pools[pool] = p
	}
	return p
}

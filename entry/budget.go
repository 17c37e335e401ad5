package entry

import "sync"

// retryBurst bounds the retries that a pool may save up.
const retryBurst = 10

// RetryBudget pays for the retries and hedges of one pool: each first attempt
// earns a share of a token, each retry costs one. When every attempt at a pool
// fails, retries stay below that share of the first attempts.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// Earn credits one first attempt at percent of a token.
func (b *RetryBudget) Earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+float64(percent)/100, retryBurst)
}

// Spend takes one token, and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	const almostOne = 1 - 1e-9
	if b.tokens < almostOne {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
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

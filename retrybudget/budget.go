// Package retrybudget limits retries and hedges to a share of the first attempts,
// so that a failing service does not receive a multiple of its load.
package retrybudget

import (
	"cmp"
	"sync"
)

const (
	// defaultBurst is the largest balance of a budget, in retries.
	defaultBurst = 10
	// defaultOverdraft is the number of retries that are allowed beyond the balance,
	// so that a service with little traffic can retry too.
	defaultOverdraft = 2
)

// Budget is the retry budget of one service. Each first attempt deposits a
// fraction of a token, and each retry or hedge withdraws one token. While the
// balance is negative, first attempts deposit half as much. This keeps retries
// below their share of the first attempts after the first few, even when every
// attempt fails. The zero value is ready to use, and a Budget is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	// burst and overdraft override the defaults unless they are 0.
	burst, overdraft float64
}

// Deposit credits one first attempt with percent hundredths of a token.
func (b *Budget) Deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := float64(percent) / 100
	if b.tokens < 0 {
		credit /= 2
	}
	b.tokens = min(b.tokens+credit, cmp.Or(b.burst, defaultBurst))
}

// TryWithdraw reports whether the budget allows one more retry, and takes a token
// if it does.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	const tolerance = 1e-9 // absorbs rounding errors of the deposits
	if b.tokens-1 < -cmp.Or(b.overdraft, defaultOverdraft)-tolerance {
		return false
	}
	b.tokens--
	return true
}

// Refund returns the token of a retry that was not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, cmp.Or(b.burst, defaultBurst))
}

// Set holds one budget for each service. The zero value is ready to use, and a Set
// is safe for concurrent use.
type Set struct {
	mu       sync.Mutex
	services map[string]*Budget
	// burst and overdraft apply to every budget.
	burst, overdraft float64
}

// SetLimits sets the largest balance and the overdraft of every service's budget,
// in retries. A value of 0 selects the default.
func (s *Set) SetLimits(burst, overdraft float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.burst, s.overdraft = burst, overdraft
	for _, b := range s.services {
		b.limit(burst, overdraft)
	}
}

func (b *Budget) limit(burst, overdraft float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst, b.overdraft = burst, overdraft
	b.tokens = min(b.tokens, cmp.Or(burst, defaultBurst))
}

// For returns the budget of a service, and creates it on first use.
func (s *Set) For(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[string]*Budget)
	}
	b := s.services[service]
	if b == nil {
		b = &Budget{burst: s.burst, overdraft: s.overdraft}
		s.services[service] = b
	}
	return b
}

// Package retrybudget pays for repeated requests, so that a service in trouble
// is not sent a multiple of its load.
package retrybudget

import (
	"cmp"
	"sync"
)

const (
	// defaultBurst bounds the retries that may be saved up.
	defaultBurst = 10
	// defaultOverdraft is how many retries may be made before they are earned, so
	// that a quiet service has some too.
	defaultOverdraft = 2
)

// Budget pays for the retries and hedges of one service: each first attempt
// earns a share of a token, each retry costs one. While the budget is overdrawn
// attempts earn half, so that retries stay below their share of the first
// attempts as soon as there are a few, also when every attempt fails. The zero
// value is ready to use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	// burst and overdraft replace the defaults when they are set.
	burst, overdraft float64
}

// Deposit credits one first attempt at percent of a token.
func (b *Budget) Deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := float64(percent) / 100
	if b.tokens < 0 {
		credit /= 2
	}
	b.tokens = min(b.tokens+credit, cmp.Or(b.burst, defaultBurst))
}

// TryWithdraw takes one token, and reports whether it may.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	const rounding = 1e-9
	if b.tokens-1 < -cmp.Or(b.overdraft, defaultOverdraft)-rounding {
		return false
	}
	b.tokens--
	return true
}

// Set keeps the budget of each service.
type Set struct {
	mu       sync.Mutex
	services map[string]*Budget
	// burst and overdraft are those of every budget.
	burst, overdraft float64
}

// SetLimits sets what each service's budget may save up and draw ahead, in retries.
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

// For returns the budget of a service.
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

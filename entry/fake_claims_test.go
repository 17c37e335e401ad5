package entry

import (
	"context"
	"sync"
	"time"

	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/contract"
)

// fakeClaims holds claims in memory.
type fakeClaims struct {
	mu           sync.Mutex
	down         bool
	finishFails  bool
	acquireDelay time.Duration
	// lostRace makes the next Acquire lose against another entry with the same request, which
	// gives the attempt up and runs the call itself.
	lostRace bool
	held     map[string]claim.Request
	done     map[string]claim.Outcome
}

func (f *fakeClaims) Acquire(_ context.Context, r claim.Request) (claim.Decision, error) {
	time.Sleep(f.acquireDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return claim.Decision{}, claim.Unavailable.New("down")
	}
	k := r.Organisation + r.Key
	if f.lostRace {
		f.lostRace = false
		f.held[k] = claim.Request{Organisation: r.Organisation, Key: r.Key, Fingerprint: r.Fingerprint, Attempt: "of another entry"}
		f.done[k] = claim.Outcome{Run: contract.Ran, Body: []byte(`{"booked":"by another"}`)}
		return claim.Decision{}, claim.Abandoned.New("attempt %s was given up", r.Attempt)
	}
	h, ok := f.held[k]
	switch o, finished := f.done[k]; {
	case ok && h.Fingerprint != r.Fingerprint:
		return claim.Decision{State: claim.KeyReused}, nil
	case finished:
		return claim.Decision{State: claim.Finished, Outcome: &o}, nil
	case ok:
		return claim.Decision{State: claim.Held, Attempt: h.Attempt, Candidates: h.Candidates}, nil
	}
	f.held[k] = r
	return claim.Decision{State: claim.Granted, Attempt: r.Attempt}, nil
}

func (f *fakeClaims) Finish(_ context.Context, r claim.Request, o claim.Outcome) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finishFails {
		return claim.Unavailable.New("down")
	}
	f.done[r.Organisation+r.Key] = o
	return nil
}

func (f *fakeClaims) Release(_ context.Context, r claim.Request) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := r.Organisation + r.Key; f.held[k].Attempt == r.Attempt {
		delete(f.held, k)
	}
	return nil
}

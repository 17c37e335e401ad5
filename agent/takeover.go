package agent

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// Attach implements link.Handler: it follows an attempt from a token on.
func (a *Agent) Attach(ctx context.Context, p link.AttachParams, emit func(string)) link.RunResult {
	if p.AgentBoot != a.o.Boot {
		return a.unknown(p.Attempt)
	}
	kind, t := a.attempts.settle(p.Attempt, 0)
	switch kind {
	case kindRunning, kindFinished:
	case kindClosed:
		return a.refused(p.Attempt, &refusal{code: contract.CodeCancelled, detail: "attempt never came and is closed"})
	default:
		return a.unknown(p.Attempt)
	}
	a.metrics.attached.Inc()
	t.follow()
	t.attach(1)
	defer t.attach(-1)
	n := p.From
	for {
		tokens, r, changed := t.snapshot(n)
		for _, token := range tokens {
			emit(token)
		}
		n += len(tokens)
		if r != nil {
			t.unfollow()
			return *r
		}
		select {
		case <-changed:
		case <-ctx.Done():
			a.orphan(t, true)
			return a.unknown(p.Attempt)
		}
	}
}

// unknown answers for an attempt of which nothing can be said.
func (a *Agent) unknown(id contract.AttemptID) link.RunResult {
	return link.RunResult{
		Attempt: id, Run: contract.MayHaveRun, Code: contract.CodeOutcomeUnknown,
		Detail: "attempt is not known here", Load: a.Load(),
	}
}

// Settle implements link.Handler.
func (a *Agent) Settle(_ context.Context, p link.SettleParams) link.SettleResult {
	r := a.settle(p)
	a.metrics.settled.WithLabelValues(string(r.State)).Inc()
	return r
}

func (a *Agent) settle(p link.SettleParams) link.SettleResult {
	if p.AgentBoot != a.o.Boot {
		return link.SettleResult{State: link.AttemptUnknown}
	}
	kind, t := a.attempts.settle(p.Attempt, time.Duration(p.AgeMS)*time.Millisecond)
	switch kind {
	case kindRunning:
		return link.SettleResult{State: link.AttemptRunning}
	case kindClosed:
		return link.SettleResult{State: link.AttemptClosed}
	case kindFinished:
		_, r, _ := t.snapshot(0)
		return link.SettleResult{State: link.AttemptFinished, Result: r}
	}
	return link.SettleResult{State: link.AttemptUnknown}
}

// Cancel implements link.Handler. A cancelled id never begins after; a call
// that may not be repeated is not cut once the endpoint may have seen it.
func (a *Agent) Cancel(p link.CancelParams) {
	if kind, t := a.attempts.settle(p.Attempt, 0); kind == kindRunning {
		t.cancelUnlessOnce(errCancelled)
	}
}

// orphan ends an attempt that no link waits for, after a grace in which one
// may take it over.
func (a *Agent) orphan(t *attempt, repeatable bool) {
	if t.unfollow() > 0 || !repeatable {
		return
	}
	time.AfterFunc(a.o.OrphanGracePeriod, func() {
		if t.abandoned() && a.attempts.get(t.id) == t {
			a.metrics.orphans.Inc()
			t.cancelUnlessOnce(errOrphaned)
		}
	})
}

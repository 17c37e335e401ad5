package agent

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// Attach implements link.Handler. It sends the tokens of an attempt from index p.From on and
// returns its result.
func (a *Agent) Attach(ctx context.Context, p link.AttachParams, emit func(string)) link.RunResult {
	if p.AgentBoot != a.options.Boot {
		return a.unknownResult(p.Attempt)
	}
	status, t := a.attempts.settle(p.Attempt, 0)
	switch status {
	case statusRunning, statusFinished:
	case statusClosed:
		return a.refusedResult(p.Attempt, &refusal{code: contract.CodeCancelled, detail: "attempt never came and is closed"})
	default:
		return a.unknownResult(p.Attempt)
	}
	a.metrics.attached.Inc()
	t.addLink()
	t.addAttachedLinks(1)
	defer t.addAttachedLinks(-1)
	n := p.From
	for {
		tokens, r, changed := t.snapshot(n)
		for _, token := range tokens {
			emit(token)
		}
		n += len(tokens)
		if r != nil {
			t.removeLink()
			return *r
		}
		select {
		case <-changed:
		case <-ctx.Done():
			a.handleLostLink(t, true)
			return a.unknownResult(p.Attempt)
		}
	}
}

// unknownResult returns the result for an attempt whose outcome is unknown.
func (a *Agent) unknownResult(id contract.AttemptID) link.RunResult {
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
	if p.AgentBoot != a.options.Boot {
		return link.SettleResult{State: link.AttemptUnknown}
	}
	status, t := a.attempts.settle(p.Attempt, time.Duration(p.AgeMS)*time.Millisecond)
	switch status {
	case statusRunning:
		return link.SettleResult{State: link.AttemptRunning}
	case statusClosed:
		return link.SettleResult{State: link.AttemptClosed}
	case statusFinished:
		_, r, _ := t.snapshot(0)
		return link.SettleResult{State: link.AttemptFinished, Result: r}
	}
	return link.SettleResult{State: link.AttemptUnknown}
}

// Cancel implements link.Handler. A cancelled attempt that has not started never will. A
// non-repeatable call is not cancelled once the endpoint may have received it.
func (a *Agent) Cancel(p link.CancelParams) {
	if status, t := a.attempts.settle(p.Attempt, 0); status == statusRunning {
		t.cancelIfSafe(errCancelled)
	}
}

// handleLostLink cancels a repeatable attempt for which no link waits any longer, unless a link
// takes it over within the grace period.
func (a *Agent) handleLostLink(t *attempt, repeatable bool) {
	if t.removeLink() > 0 || !repeatable {
		return
	}
	time.AfterFunc(a.options.OrphanGracePeriod, func() {
		if t.isOrphaned() && a.attempts.runningAttempt(t.id) == t {
			a.metrics.orphans.Inc()
			t.cancelIfSafe(errOrphaned)
		}
	})
}

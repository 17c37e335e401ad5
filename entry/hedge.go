package entry

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/suspect"
)

// hedgeMinDelay is the shortest delay before a hedge.
const hedgeMinDelay = 5 * time.Millisecond

// tryHedged runs one attempt on p. If the settings enable hedging, it sends a second
// attempt to another endpoint once the first exceeds the hedge percentile. The first
// good answer wins and the other attempt is cancelled. Generate stages are not hedged,
// because their tokens are delivered as they arrive.
func (s *stageRun) tryHedged(ctx context.Context, p *peer, kind string) (res link.RunResult) {
	s.updateReport(func(r *StageReport) { r.Attempts++; r.Endpoint = p.instance.Name })
	runBefore := s.report.Run
	if !s.markDispatched() {
		return refusedResult(contract.CodeCancelled, "the last caller was answered")
	}
	defer func() { s.updateReport(func(r *StageReport) { r.Run = runBefore.LeastCertain(res.Run) }) }()
	delay := s.hedgeDelay()
	if delay == 0 || kind != "first" {
		s.tokens.dropUnread()
		return s.recordUsage(s.try(ctx, p, kind, contract.NewAttemptID(), s.tokens))
	}
	return s.runWithHedge(ctx, p, delay)
}

// runWithHedge runs an attempt on p, and a hedge after delay.
func (s *stageRun) runWithHedge(ctx context.Context, p *peer, delay time.Duration) link.RunResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan link.RunResult, 2)
	go func() { results <- s.tryConcurrent(ctx, p, "first") }()
	select {
	case res := <-results:
		return s.recordUsage(res)
	case <-time.After(delay):
	}
	if !s.sendHedge(ctx, p, results) {
		return s.recordUsage(<-results)
	}
	first := s.recordUsage(<-results)
	if first.Code == "" {
		return first
	}
	second := s.recordUsage(<-results)
	second.Run = second.Run.LeastCertain(first.Run)
	return second
}

// sendHedge starts the second attempt if there is another endpoint and the retry
// budget allows it.
func (s *stageRun) sendHedge(ctx context.Context, first *peer, results chan<- link.RunResult) bool {
	s.tried[first.instance.Name] = true
	other, refusal := s.pickEndpoint(ctx)
	budget := s.e.budgets.For(s.stage.Pool)
	if refusal != nil || !budget.TryWithdraw() {
		delete(s.tried, first.instance.Name)
		return false
	}
	s.updateReport(func(r *StageReport) { r.Attempts++; r.Hedges++ })
	go func() { results <- s.tryConcurrent(ctx, other, "hedge") }()
	return true
}

// hedgeDelay returns how long to wait before a hedge, or 0 for no hedge.
func (s *stageRun) hedgeDelay() time.Duration {
	if !s.requestSettings.Hedge || s.stage.Kind == pipeline.Generate {
		return 0
	}
	if verdict, _ := s.e.o.Suspects.Verdict(s.suspectDigest()); verdict != suspect.Allowed {
		return 0 // a hedge might crash a second endpoint
	}
	now := time.Now()
	q := s.e.latencies.estimator(s.latencyKey(s.stage), now).Quantile(now, hedgePercentile)
	if q == 0 {
		return 0
	}
	return max(q, hedgeMinDelay)
}

// tryConcurrent runs an attempt that may have another one in parallel, with a token
// buffer of its own.
func (s *stageRun) tryConcurrent(ctx context.Context, p *peer, kind string) link.RunResult {
	return s.try(ctx, p, kind, contract.NewAttemptID(), newTokenBuffer())
}

// recordUsage adds the usage of an attempt to the report.
func (s *stageRun) recordUsage(res link.RunResult) link.RunResult {
	s.report.Usage = addUsage(s.report.Usage, res.Usage)
	s.f.setReportWithUsage(s.index, s.report)
	return res
}

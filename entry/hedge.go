package entry

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/suspect"
)

// hedgeMin is the shortest wait before a hedge.
const hedgeMin = 5 * time.Millisecond

// tryHedged runs one attempt on p and, where the settings say so, a second one
// on another endpoint once the first has taken longer than most. The first
// good answer wins and the other attempt is cancelled. Generate stages are not
// hedged: their tokens are shown as they come.
func (s *stageRun) tryHedged(ctx context.Context, p *peer, kind string) (res link.RunResult) {
	s.note(func(r *StageReport) { r.Attempts++; r.Endpoint = p.instance.Name })
	settled := s.report.Run
	if !s.handOver() {
		return refused(contract.CodeCancelled, "the last caller was answered")
	}
	defer func() { s.note(func(r *StageReport) { r.Run = settled.LeastCertain(res.Run) }) }()
	wait := s.hedgeWait()
	if wait == 0 || kind != "first" {
		s.tokens.restart()
		return s.settle(s.try(ctx, p, kind, contract.NewAttemptID(), s.tokens))
	}
	return s.race(ctx, p, wait)
}

// race runs an attempt on p and a hedge after wait.
func (s *stageRun) race(ctx context.Context, p *peer, wait time.Duration) link.RunResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan link.RunResult, 2)
	go func() { results <- s.tryBeside(ctx, p, "first") }()
	select {
	case res := <-results:
		return s.settle(res)
	case <-time.After(wait):
	}
	if !s.sendHedge(ctx, p, results) {
		return s.settle(<-results)
	}
	first := s.settle(<-results)
	if first.Code == "" {
		return first
	}
	second := s.settle(<-results)
	second.Run = second.Run.LeastCertain(first.Run)
	return second
}

// sendHedge starts the second attempt if another endpoint and the budget allow.
func (s *stageRun) sendHedge(ctx context.Context, first *peer, results chan<- link.RunResult) bool {
	s.tried[first.instance.Name] = true
	other, none := s.pick(ctx)
	budget := s.e.budgets.For(s.stage.Pool)
	if none != nil || !budget.TryWithdraw() {
		delete(s.tried, first.instance.Name)
		return false
	}
	s.note(func(r *StageReport) { r.Attempts++; r.Hedges++ })
	go func() { results <- s.tryBeside(ctx, other, "hedge") }()
	return true
}

// hedgeWait is how long the first attempt has; 0 for no hedge.
func (s *stageRun) hedgeWait() time.Duration {
	if !s.set.Hedge || s.stage.Kind == pipeline.Generate {
		return 0
	}
	if verdict, _ := s.e.o.Suspects.Verdict(s.suspectDigest()); verdict != suspect.Allowed {
		return 0 // a second copy may crash a second endpoint
	}
	now := time.Now()
	q := s.e.latencies.of(s.key(s.stage), now).Quantile(now, hedgeQuantile)
	if q == 0 {
		return 0
	}
	return max(q, hedgeMin)
}

// tryBeside runs an attempt beside another one.
func (s *stageRun) tryBeside(ctx context.Context, p *peer, kind string) link.RunResult {
	return s.try(ctx, p, kind, contract.NewAttemptID(), newTokenBuffer())
}

// settle adds what an attempt consumed to the report.
func (s *stageRun) settle(res link.RunResult) link.RunResult {
	s.report.Usage = addUsage(s.report.Usage, res.Usage)
	s.f.settled(s.index, s.report)
	return res
}

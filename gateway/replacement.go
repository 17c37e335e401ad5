package gateway

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/retrybudget"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/upstream"
)

// replacement is what a request needs to go on at another endpoint. It is secured before an attempt at a silent
// endpoint is ended, because the silent endpoint may be sound and the only one that answers.
type replacement struct {
	// budget has paid for the retry.
	budget *retrybudget.Budget
	// endpoint is the ID of the endpoint that was found to be reachable.
	endpoint string
	// stages are the stages that ran again for the next endpoint; nil if they did not have to.
	stages *stageRun
}

// discard gives the budget and the results of the stages back.
func (r *replacement) discard() {
	r.budget.Refund()
	if r.stages != nil {
		r.stages.output.release(dispatch.EngineReport{})
	}
}

// Verdicts on a silent endpoint: another one takes over, or why none does.
const (
	silenceReplaced  = "replaced"
	silenceWentOn    = "endpoint went on"
	silenceNoOther   = "no other endpoint"
	silenceSuspect   = "request is suspected of crashes"
	silenceNoBudget  = "retry budget spent"
	silenceNoStages  = "stages failed"
	silenceNoContact = "other endpoint unreachable"
	silenceTooLate   = "too late"
)

// noteSilence records the verdict on a silent endpoint. It is safe for concurrent use with the attempt.
func (q *request) noteSilence(verdict string) {
	q.silence.Store(&verdict)
	q.gw.opts.Metrics.SilentAttempts.WithLabelValues(q.service, verdict).Inc()
}

// reserveRetry reserves a retry at one of the selected endpoints. It returns nil if the request may get none.
func (q *request) reserveRetry(f roster.Filter) *replacement {
	budget := q.gw.opts.RetryBudgets.For(q.service)
	switch {
	case len(q.gw.opts.Roster.Candidates(time.Now(), f)) == 0:
		q.noteSilence(silenceNoOther)
	case q.gw.crashes.refusal(q) != "":
		q.noteSilence(silenceSuspect)
	case !budget.TryWithdraw():
		q.noteSilence(silenceNoBudget)
	default:
		return &replacement{budget: budget}
	}
	return nil
}

// secureStream secures another endpoint for a stream, for which the stages run again if their results were
// freed. It is safe for concurrent use with the attempt.
func (s *stream) secureStream(ctx context.Context, tried map[string]bool, out stageOutput) (r *replacement) {
	defer func() {
		if p := recover(); p != nil {
			s.logPanic(p)
			r = nil
		}
	}()
	f := s.untried(tried)
	f.Healthy = true // the silent endpoint is more likely to go on than one that has failed is to answer
	if r = s.reserveRetry(f); r == nil {
		return nil
	}
	if job, needed := s.stageJob(tried); needed && (s.hasBegun() || out.wereRead()) {
		run := s.submitStages(ctx, job)
		if run.failure != nil {
			return s.giveBack(ctx, r, silenceNoStages)
		}
		r.stages, out = run, run.output
	}
	c, found := s.chooseEngine(f, out)
	switch {
	case !found:
		return s.giveBack(ctx, r, silenceNoOther)
	case !s.reachable(ctx, c) || !s.mayGoOnAt(ctx, c):
		return s.giveBack(ctx, r, silenceNoContact)
	case s.nextEventDeadline().Before(time.Now().Add(s.prefillTime())):
		return s.giveBack(ctx, r, silenceTooLate)
	}
	r.endpoint = c.ID
	return r
}

// giveBack discards a replacement that is not complete, and records why, or that the silence has ended.
func (s *stream) giveBack(ctx context.Context, r *replacement, verdict string) *replacement {
	r.discard()
	if ctx.Err() != nil {
		verdict = silenceWentOn
	}
	s.noteSilence(verdict)
	return nil
}

// reachable tries to open a new connection to an endpoint, which is kept for the next request.
func (q *request) reachable(ctx context.Context, c roster.Candidate) bool {
	return q.connect(ctx, c) == nil
}

func (q *request) connect(ctx context.Context, c roster.Candidate) error {
	ctx, cancel := context.WithTimeout(ctx, reachableTimeout)
	defer cancel()
	return q.gw.opts.Upstream.Connect(ctx, upstream.Target{ID: c.ID, Address: c.Address})
}

// isUp is like reachable, and goes on trying while connections are neither accepted nor refused: a sound endpoint may be
// silent, and packets may be lost.
func (q *request) isUp(ctx context.Context, c roster.Candidate) bool {
	ctx, cancel := context.WithTimeout(ctx, maxSilence)
	defer cancel()
	for {
		if err := q.connect(ctx, c); err == nil || ctx.Err() != nil || !isTimeout(err) {
			return err == nil
		}
	}
}

const (
	// reachableTimeout bounds the attempt to open a connection that checks whether an endpoint is up. It allows
	// several round trips between data centres.
	reachableTimeout = 100 * time.Millisecond
	// maxSilence is how long a sound endpoint may be silent.
	maxSilence = 1500 * time.Millisecond
)

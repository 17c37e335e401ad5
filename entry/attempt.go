package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/suspect"
)

// maxRecoveries bounds how many links in a row an attempt is recovered on without
// receiving any more of its answer, if another attempt could replace it. Otherwise it is
// the number after which the attempt pauses between recoveries.
const maxRecoveries = 4

// attempt is one call of an agent. It may continue over several links.
type attempt struct {
	s         *stageRun
	p         *peer
	params    link.RunParams
	tokens    *tokenBuffer
	tracker   *usageTracker
	createdAt time.Time
	chunkErr  error // why a chunk was rejected
	cancel    context.CancelFunc
}

// try runs one attempt of the stage on p. The Run field of the result states what is
// known about whether the attempt ran.
func (s *stageRun) try(ctx context.Context, p *peer, kind string, id contract.AttemptID, tokens *tokenBuffer) link.RunResult {
	s.e.m.attempts.WithLabelValues(s.stage.Pool, kind).Inc()
	s.e.pauseGuard.Check(ctx, time.Now())
	l := p.beginCall()
	if l == nil {
		return unsentResult("no link to " + p.instance.Name)
	}
	if s.agentBoot != "" && l.Peer().AgentBoot != s.agentBoot {
		p.endCall()
		return unsentResult(p.instance.Name + " has restarted")
	}
	defer p.endCall()
	tctx, span := startSpan(s.ctx, "attempt", trace.SpanKindClient,
		attribute.String("azurelead.agent", p.instance.Name), attribute.String("azurelead.attempt", string(id)))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempt{s: s, p: p, createdAt: s.started, tokens: tokens, tracker: &usageTracker{}, cancel: cancel, params: s.params(ctx, l, id, traceParent(tctx))}
	s.f.setPartialUsage(a.tracker)
	res := a.verify(a.run(ctx, l))
	p.recordResult(res.Code)
	s.e.o.Suspects.Merge(res.Suspects)
	s.e.m.recordUsage(s.req.Organisation, s.req.PipelineName, s.stage.Name, res.Usage, res.Code == "")
	if res.Code != "" {
		span.SetStatus(codes.Error, string(res.Code))
	}
	return res
}

func (s *stageRun) params(ctx context.Context, l Link, id contract.AttemptID, parent string) link.RunParams {
	verdict, _ := s.e.o.Suspects.Verdict(s.suspectDigest())
	deadline, ok := ctx.Deadline()
	left := s.budget
	if ok {
		left = time.Until(deadline)
	}
	p := link.RunParams{
		Attempt:      id,
		AgentBoot:    l.Peer().AgentBoot,
		Request:      s.req.ID,
		Organisation: s.req.Organisation,
		Pipeline:     s.req.PipelineName,
		Stage:        s.stage.Name,
		BudgetUS:     max(left.Microseconds(), 1),
		TraceParent:  parent,
		Settings:     s.e.o.Settings.Current().Version,
		Repeatable:   !s.stage.Once,
		Digest:       s.suspectDigest(),
		Alone:        verdict == suspect.Alone,
		Priority:     s.requestSettings.Priority,
		Input:        s.input,
	}
	if s.stage.Once {
		p.IdempotencyKey = s.req.Key
	}
	return p
}

// run sends the attempt, and recovers it over new links when its link is lost.
func (a *attempt) run(ctx context.Context, l Link) link.RunResult {
	res, err := l.Run(ctx, a.params, a.receiveChunk)
	linksWithoutProgress := 0 // links in a row without any more of the answer
	for link.Lost.Has(err) && ctx.Err() == nil {
		if linksWithoutProgress >= maxRecoveries {
			if a.replaceable() {
				break
			}
			sleep(ctx, a.s.e.o.RecoveryTimeout)
		}
		var final bool
		countBefore := a.tokens.count()
		if res, final, err = a.recoverAttempt(ctx); final {
			break
		}
		linksWithoutProgress++
		if a.tokens.count() > countBefore {
			linksWithoutProgress = 0
		}
	}
	return a.conclude(ctx, res, err)
}

// receiveChunk adds a chunk to the token buffer. A chunk that does not match cancels
// the attempt.
func (a *attempt) receiveChunk(c link.Chunk) {
	if a.chunkErr != nil {
		return
	}
	if c.Attempt != a.params.Attempt {
		a.chunkErr = Error.New("chunk of another attempt")
	} else {
		a.chunkErr = a.tokens.add(c)
		a.tracker.recordTokens(c.First + len(c.Tokens))
	}
	if a.chunkErr != nil {
		a.cancel()
	}
}

// conclude converts the end of a call into a result.
func (a *attempt) conclude(ctx context.Context, res link.RunResult, err error) link.RunResult {
	switch {
	case a.chunkErr != nil:
		return a.unknownResult("the answer was damaged: " + a.chunkErr.Error())
	case err == nil:
		return res
	case link.NotSent.Has(err):
		return unsentResult(err.Error())
	case ctx.Err() != nil:
		return link.RunResult{
			Run: contract.MayHaveRun, Code: contract.CodeDeadlineExceeded, Usage: a.tracker.usage(),
			Detail: "no answer within the stage's share of the deadline",
		}
	}
	return a.unknownResult("the link was lost and the attempt could not be asked for")
}

// unknownResult returns the result of an attempt whose own result was not received.
func (a *attempt) unknownResult(detail string) link.RunResult {
	res := failedResult(contract.MayHaveRun, detail)
	res.Usage = a.tracker.usage()
	return res
}

// recoverAttempt settles the attempt over a new link and attaches to it if it is
// still known. final reports that another recovery would not help; err is then set
// if it stays unknown whether the attempt ran.
func (a *attempt) recoverAttempt(ctx context.Context) (res link.RunResult, final bool, err error) {
	l := a.awaitLink(ctx)
	if l == nil {
		a.s.e.m.recoveries.WithLabelValues("no-link").Inc()
		return res, true, link.Lost.New("no new link to the agent")
	}
	// No time-out is needed here: if this link has become silent too, its monitor detects
	// that and fails the call. Repeating the call on the same link would not help.
	st, err := l.Settle(ctx, link.SettleParams{
		Attempt: a.params.Attempt, AgentBoot: a.params.AgentBoot, AgeMS: time.Since(a.createdAt).Milliseconds() + 1,
	})
	if err != nil {
		a.s.e.m.recoveries.WithLabelValues("lost-again").Inc()
		return res, false, settlementError(err)
	}
	a.s.e.m.recoveries.WithLabelValues(string(st.State)).Inc()
	switch st.State {
	case link.AttemptClosed:
		return unsentResult("the link was lost before the attempt arrived"), true, nil
	case link.AttemptRunning, link.AttemptFinished:
		res, err = l.Attach(ctx, link.AttachParams{Attempt: a.params.Attempt, AgentBoot: a.params.AgentBoot, From: a.tokens.count()}, a.receiveChunk)
		if link.NotSent.Has(err) {
			err = settlementError(err)
		}
		return res, err == nil, err
	}
	return res, true, link.Lost.New("the agent does not know the attempt")
}

// awaitLink returns a link to the attempt's agent, or nil if there is none in time: within the
// recovery time-out if another attempt could replace this one, else until ctx ends. An agent that
// cannot be reached may still run the attempt.
func (a *attempt) awaitLink(ctx context.Context) Link {
	timed, cancel := context.WithTimeout(ctx, a.s.e.o.RecoveryTimeout)
	defer cancel()
	if l := a.p.waitForLink(timed); l != nil || a.replaceable() {
		return l
	}
	return a.p.waitForLink(ctx)
}

// replaceable reports whether an attempt at another endpoint could take the place of this one: the
// stage may be repeated, no part of the answer was delivered, and there is another endpoint.
func (a *attempt) replaceable() bool {
	return !a.s.stage.Once && !a.tokens.wasRead() && a.s.e.hasOtherEndpoint(a.s.stage.Pool, a.s.stage.Model, a.p)
}

// settlementError converts the error of a failed settlement to link.Lost. The class
// of err is dropped: NotSent would refer to the settlement, but the attempt was sent.
func settlementError(err error) error { return link.Lost.New("%v", err) }

// verify rejects the result of another attempt, and an answer that is incomplete.
func (a *attempt) verify(res link.RunResult) link.RunResult {
	if res.Code != "" {
		return res
	}
	if res.Attempt != a.params.Attempt {
		return failedResult(contract.MayHaveRun, "the result is of another attempt")
	}
	if a.s.stage.Kind != pipeline.Generate {
		return res
	}
	if err := a.tokens.checkComplete(res.TokenCount, res.Digest); err != nil {
		bad := failedResult(contract.Ran, "the answer is not whole: "+err.Error())
		bad.Usage = res.Usage
		return bad
	}
	res.Output.Text = a.tokens.text()
	return res
}

func failedResult(run contract.RunState, detail string) link.RunResult {
	return link.RunResult{Run: run, Code: contract.CodeEndpointFailed, Detail: detail}
}

// unsentResult returns the result of a call that never reached the agent.
func unsentResult(detail string) link.RunResult {
	return link.RunResult{Run: contract.NotRun, Code: contract.CodeNoEndpoint, Detail: detail}
}

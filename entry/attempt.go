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

// maxRecoveries bounds how often in a row one attempt is followed to a new link
// that brings none of its answer.
const maxRecoveries = 4

// attempt is one call of one agent, over as many links as it takes.
type attempt struct {
	s      *stageRun
	p      *peer
	params link.RunParams
	tokens *tokenBuffer
	spent  *spending
	made   time.Time
	fault  error // why a chunk was refused
	cancel context.CancelFunc
}

// try runs one attempt of the stage on p. Its result's Run is true to what is known.
func (s *stageRun) try(ctx context.Context, p *peer, kind string, id contract.AttemptID, tokens *tokenBuffer) link.RunResult {
	s.e.m.attempts.WithLabelValues(s.stage.Pool, kind).Inc()
	s.e.pause.Check(ctx, time.Now())
	l := p.begin()
	if l == nil {
		return unsent("no link to " + p.instance.Name)
	}
	if s.boot != "" && l.Peer().AgentBoot != s.boot {
		p.end()
		return unsent(p.instance.Name + " has restarted")
	}
	defer p.end()
	tctx, span := startSpan(s.ctx, "attempt", trace.SpanKindClient,
		attribute.String("azurelead.agent", p.instance.Name), attribute.String("azurelead.attempt", string(id)))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempt{s: s, p: p, made: s.started, tokens: tokens, spent: &spending{}, cancel: cancel, params: s.params(ctx, l, id, traceParent(tctx))}
	s.f.spends(a.spent)
	res := a.verify(a.run(ctx, l))
	s.e.o.Suspects.Merge(res.Suspects)
	s.e.m.cost(s.req.Organisation, s.req.PipelineName, s.stage.Name, res.Usage, res.Code == "")
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
		Priority:     s.set.Priority,
		Input:        s.input,
	}
	if s.stage.Once {
		p.IdempotencyKey = s.req.Key
	}
	return p
}

// run hands the attempt over and follows it when its link is lost.
func (a *attempt) run(ctx context.Context, l Link) link.RunResult {
	res, err := l.Run(ctx, a.params, a.take)
	barren := 0 // links in a row that brought nothing
	for barren < maxRecoveries && link.Lost.Has(err) && ctx.Err() == nil {
		var final bool
		had := a.tokens.count()
		if res, final, err = a.recover(ctx); final {
			break
		}
		barren++
		if a.tokens.count() > had {
			barren = 0
		}
	}
	return a.conclude(ctx, res, err)
}

// take puts a chunk into the buffer. A chunk that does not fit ends the attempt.
func (a *attempt) take(c link.Chunk) {
	if a.fault != nil {
		return
	}
	if c.Attempt != a.params.Attempt {
		a.fault = Error.New("chunk of another attempt")
	} else {
		a.fault = a.tokens.put(c)
		a.spent.came(c.First + len(c.Tokens))
	}
	if a.fault != nil {
		a.cancel()
	}
}

// conclude turns the end of a call into a result.
func (a *attempt) conclude(ctx context.Context, res link.RunResult, err error) link.RunResult {
	switch {
	case a.fault != nil:
		return a.broken("the answer was damaged: " + a.fault.Error())
	case err == nil:
		return res
	case link.NotSent.Has(err):
		return unsent(err.Error())
	case ctx.Err() != nil:
		return link.RunResult{
			Run: contract.MayHaveRun, Code: contract.CodeDeadlineExceeded, Usage: a.spent.usage(),
			Detail: "no answer within the stage's share of the deadline",
		}
	}
	return a.broken("the link was lost and the attempt could not be asked for")
}

// broken is the result of an attempt whose own result never came.
func (a *attempt) broken(detail string) link.RunResult {
	res := failed(contract.MayHaveRun, detail)
	res.Usage = a.spent.usage()
	return res
}

// recover asks for the attempt over a new link. It is final when asking again
// does not help; err is then set if the attempt's fate stays unknown.
func (a *attempt) recover(ctx context.Context) (res link.RunResult, final bool, err error) {
	l := a.awaitLink(ctx)
	if l == nil {
		a.s.e.m.recovered.WithLabelValues("no-link").Inc()
		return res, true, link.Lost.New("no new link to the agent")
	}
	// A link that has fallen silent meanwhile is the watch's to find, which fails
	// the question: asking that link again would bring no more.
	st, err := l.Settle(ctx, link.SettleParams{
		Attempt: a.params.Attempt, AgentBoot: a.params.AgentBoot, AgeMS: time.Since(a.made).Milliseconds() + 1,
	})
	if err != nil {
		a.s.e.m.recovered.WithLabelValues("lost-again").Inc()
		return res, false, unsettled(err)
	}
	a.s.e.m.recovered.WithLabelValues(string(st.State)).Inc()
	switch st.State {
	case link.AttemptClosed:
		return unsent("the link was lost before the attempt arrived"), true, nil
	case link.AttemptRunning, link.AttemptFinished:
		res, err = l.Attach(ctx, link.AttachParams{Attempt: a.params.Attempt, AgentBoot: a.params.AgentBoot, From: a.tokens.count()}, a.take)
		if link.NotSent.Has(err) {
			err = unsettled(err)
		}
		return res, err == nil, err
	}
	return res, true, link.Lost.New("the agent does not know the attempt")
}

// awaitLink returns the next link to the attempt's agent, or nil if none comes in time.
func (a *attempt) awaitLink(ctx context.Context) Link {
	ctx, cancel := context.WithTimeout(ctx, a.s.e.o.RecoveryTimeout)
	defer cancel()
	return a.p.await(ctx)
}

// unsettled is the error of a settlement that failed. It drops the class of
// err: that the question was not sent says nothing of the attempt, which was.
func unsettled(err error) error { return link.Lost.New("%v", err) }

// verify refuses a result of another attempt, and an answer that is not whole.
func (a *attempt) verify(res link.RunResult) link.RunResult {
	if res.Code != "" {
		return res
	}
	if res.Attempt != a.params.Attempt {
		return failed(contract.MayHaveRun, "the result is of another attempt")
	}
	if a.s.stage.Kind != pipeline.Generate {
		return res
	}
	if err := a.tokens.check(res.TokenCount, res.Digest); err != nil {
		bad := failed(contract.Ran, "the answer is not whole: "+err.Error())
		bad.Usage = res.Usage
		return bad
	}
	res.Output.Text = a.tokens.text()
	return res
}

func failed(run contract.RunState, detail string) link.RunResult {
	return link.RunResult{Run: run, Code: contract.CodeEndpointFailed, Detail: detail}
}

// unsent is the result of a call that surely never reached the agent.
func unsent(detail string) link.RunResult {
	return link.RunResult{Run: contract.NotRun, Code: contract.CodeNoEndpoint, Detail: detail}
}

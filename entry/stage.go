package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/retrybudget"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/suspect"
)

// maxRedirects bounds how often a stage moves on from an agent that refused an attempt
// as not run. Redirects cost no endpoint time, so they are not charged to the retry budget.
const maxRedirects = 2

// stageRun is the execution of one stage of a run.
type stageRun struct {
	*pipelineRun
	index           int
	stage           settings.Stage
	requestSettings settings.RequestSettings
	budget          time.Duration
	// started bounds the age of every attempt of the stage.
	started time.Time
	ctx     context.Context
	span    trace.Span
	report  StageReport
	tried   map[string]bool
	excused map[string]bool // endpoints whose first link failure was not held against them
	input   pipeline.Input
	tokens  *tokenBuffer
	// agentBoot is the boot of the agent that a claimed call must reach.
	agentBoot contract.BootID
}

func (r *pipelineRun) newStageRun(i int, st settings.Stage, budget time.Duration) *stageRun {
	set := r.snap.ResolveRequest(r.req.Organisation, r.req.PipelineName, st.Name)
	s := &stageRun{
		pipelineRun:     r,
		index:           i,
		stage:           st,
		requestSettings: set,
		budget:          budget,
		started:         time.Now(),
		report:          StageReport{Stage: st.Name, Kind: st.Kind, Run: contract.NotRun},
		tried:           make(map[string]bool),
		excused:         make(map[string]bool),
		input:           stageInput(st, r.req.Body, r.maxTokens(set), &r.outputs),
		tokens:          newTokenBuffer(),
	}
	if st.Kind == pipeline.Generate && lastGenerate(r.req.Pipeline) == i {
		s.tokens = r.f.answer
	}
	s.ctx, s.span = startSpan(r.traceCtx, "stage "+st.Name, trace.SpanKindInternal, attribute.String("azurelead.pool", st.Pool))
	r.f.setReport(i, s.report)
	return s
}

func lastGenerate(p settings.Pipeline) int {
	last := -1
	for i, st := range p.Stages {
		if st.Kind == pipeline.Generate {
			last = i
		}
	}
	return last
}

// updateReport changes the stage's report and publishes it to the callers.
func (s *stageRun) updateReport(change func(*StageReport)) {
	change(&s.report)
	s.f.setReport(s.index, s.report)
}

// markDispatched marks the stage as possibly run, before it is sent. It returns false
// if nothing may be sent any more.
func (s *stageRun) markDispatched() bool {
	if !s.f.markDispatched(s.index) {
		return false
	}
	s.report.Run = contract.MayHaveRun
	return true
}

// execute runs the stage to its final result. A repeatable stage that exceeds its share
// of the deadline starts again if a caller with a later deadline has joined in the
// meantime and the new share allows it.
func (s *stageRun) execute() link.RunResult {
	if s.stage.Once {
		return s.executeOnce()
	}
	for {
		before := s.f.latestDeadline()
		ctx, cancel := context.WithTimeout(s.f.ctx, s.budget)
		res := s.executeRepeatable(ctx)
		late := res.Code != "" && ctx.Err() != nil
		cancel()
		if late {
			res.Code = contract.CodeDeadlineExceeded
		}
		if !late || s.f.ctx.Err() != nil || !s.f.latestDeadline().After(before) {
			return res
		}
		plan, problem := s.planDeadline(s.index)
		if problem != nil {
			return res
		}
		s.budget = plan.Budget
		clear(s.tried)
	}
}

// executeRepeatable tries endpoints until one answers or until the retry budget, the
// time or the endpoints are exhausted. It does not wait between attempts.
func (s *stageRun) executeRepeatable(ctx context.Context) link.RunResult {
	budget := s.e.budgets.For(s.stage.Pool)
	budget.Deposit(s.requestSettings.RetryPercent)
	kind := "first"
	for {
		p, refusal := s.pickEndpoint(ctx)
		if refusal != nil {
			return s.withLastFailure(*refusal)
		}
		res := s.tryHedged(ctx, p, kind)
		if res.Code == "" || ctx.Err() != nil || !retryable(res.Code) {
			return res
		}
		s.exclude(p, res)
		s.updateReport(func(r *StageReport) { r.Code, r.Run = res.Code, r.Run.LeastCertain(res.Run) })
		if kind = s.nextAttemptKind(res, budget); kind == "" {
			return res
		}
	}
}

// nextAttemptKind decides whether another attempt follows the failed res, and charges
// it to the retry budget or the redirects. It returns "" if the stage ends with res.
func (s *stageRun) nextAttemptKind(res link.RunResult, budget *retrybudget.Budget) string {
	if redirectable(res) {
		if s.report.Redirects >= maxRedirects {
			return ""
		}
		s.updateReport(func(r *StageReport) { r.Redirects++ })
		return "redirect"
	}
	if !s.e.o.UnboundedRetries && !budget.TryWithdraw() {
		return ""
	}
	s.updateReport(func(r *StageReport) { r.Retries++ })
	return "retry"
}

// exclude excludes an endpoint that failed from further attempts of the stage. If only
// the link failed and the attempt never ran, the endpoint gets one more chance, because
// it may be the only one of its pool.
func (s *stageRun) exclude(p *peer, res link.RunResult) {
	name := p.instance.Name
	if linkFailed := res.Code == contract.CodeNoEndpoint && res.Run == contract.NotRun; linkFailed && !s.excused[name] {
		s.excused[name] = true
		return
	}
	s.tried[name] = true
}

// withLastFailure returns the refusal with the code of the last attempt if no further
// endpoint is available, because that code is more specific.
func (s *stageRun) withLastFailure(refusal link.RunResult) link.RunResult {
	refusal.Run = s.report.Run
	if s.report.Code != "" && refusal.Code == contract.CodeNoEndpoint {
		refusal.Code = s.report.Code
		refusal.Detail = "no further endpoint after the last failure"
	}
	return refusal
}

// suspectDigest identifies the stage's call in the marks of suspect requests. It includes
// the stage, so that a good run of one stage does not clear the marks that the same
// request got by crashing the endpoints of another stage.
func (s *stageRun) suspectDigest() string { return suspectDigest(s.f.digest, s.stage.Name) }

func suspectDigest(digest, stage string) string { return digest + "/" + stage }

// pickEndpoint chooses an endpoint that has not been tried. It returns a result instead
// if the request is refused as suspect or no endpoint is available.
func (s *stageRun) pickEndpoint(ctx context.Context) (*peer, *link.RunResult) {
	if verdict, d := s.e.o.Suspects.Verdict(s.suspectDigest()); verdict == suspect.Refused {
		return nil, &link.RunResult{
			Run: contract.NotRun, Code: contract.CodeSuspectRequest,
			Detail: "the request crashed endpoints", RetryAfterMS: d.Milliseconds(),
		}
	}
	peers, candidates := s.e.awaitEligible(ctx, s.stage.Pool, s.stage.Model, s.tried)
	if len(candidates) == 0 {
		return nil, &link.RunResult{
			Run: contract.NotRun, Code: contract.CodeNoEndpoint,
			Detail: "pool " + s.stage.Pool + " has no endpoint for new work",
		}
	}
	return peers[s.e.o.Chooser.Choose(s.chooserQuery(), candidates)], nil
}

func (s *stageRun) chooserQuery() Query {
	if s.stage.Kind != pipeline.Generate {
		return Query{}
	}
	return Query{Affinity: s.f.digest}
}

// retryable reports whether another endpoint may succeed after the code.
func retryable(code contract.Code) bool {
	switch code {
	case contract.CodeOverloaded, contract.CodeNoEndpoint, contract.CodeEndpointFailed,
		contract.CodeShuttingDown, contract.CodeDataCentreOut, contract.CodeWrongBoot,
		contract.CodeSettingsMissing, contract.CodeInternal:
		return true
	}
	return false
}

// redirectable reports whether the attempt was refused before an endpoint spent time on it.
func redirectable(res link.RunResult) bool {
	if res.Run != contract.NotRun {
		return false
	}
	switch res.Code {
	case contract.CodeOverloaded, contract.CodeNoEndpoint, contract.CodeShuttingDown,
		contract.CodeDataCentreOut, contract.CodeWrongBoot, contract.CodeSettingsMissing:
		return true
	}
	return false
}

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

// maxRedirects bounds how often one stage moves on from an agent that refused
// an attempt as not run. Redirects cost no endpoint time, so that the retry
// budget does not pay for them.
const maxRedirects = 2

// stageRun is one stage of one run.
type stageRun struct {
	*run
	index  int
	stage  settings.Stage
	set    settings.RequestSettings
	budget time.Duration
	// started bounds the age of every attempt id of the stage.
	started time.Time
	ctx     context.Context
	span    trace.Span
	report  StageReport
	tried   map[string]bool
	spared  map[string]bool // had their one more chance
	input   pipeline.Input
	tokens  *tokenBuffer
	// boot is the agent boot that a claimed call is meant for.
	boot contract.BootID
}

func (r *run) newStage(i int, st settings.Stage, budget time.Duration) *stageRun {
	set := r.snap.ResolveRequest(r.req.Organisation, r.req.PipelineName, st.Name)
	s := &stageRun{
		run:     r,
		index:   i,
		stage:   st,
		set:     set,
		budget:  budget,
		started: time.Now(),
		report:  StageReport{Stage: st.Name, Kind: st.Kind, Run: contract.NotRun},
		tried:   make(map[string]bool),
		spared:  make(map[string]bool),
		input:   stageInput(st, r.req.Body, r.maxTokens(set), &r.carry),
		tokens:  newTokenBuffer(),
	}
	if st.Kind == pipeline.Generate && lastGenerate(r.req.Pipeline) == i {
		s.tokens = r.f.answer
	}
	s.ctx, s.span = startSpan(r.trace, "stage "+st.Name, trace.SpanKindInternal, attribute.String("azurelead.pool", st.Pool))
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

// note changes the stage's report where callers can see it.
func (s *stageRun) note(change func(*StageReport)) {
	change(&s.report)
	s.f.setReport(s.index, s.report)
}

// handOver marks the stage as one that may have run, before it is sent. It
// reports false when nothing may be sent any more.
func (s *stageRun) handOver() bool {
	if !s.f.handOver(s.index) {
		return false
	}
	s.report.Run = contract.MayHaveRun
	return true
}

// execute runs the stage to its final result. A repeatable stage whose share
// of the deadline ran out starts again if a caller with a later deadline has
// joined meanwhile and its own share allows it.
func (s *stageRun) execute() link.RunResult {
	if s.stage.Once {
		return s.executeOnce()
	}
	for {
		before := s.f.until()
		ctx, cancel := context.WithTimeout(s.f.ctx, s.budget)
		res := s.executeRepeatable(ctx)
		late := res.Code != "" && ctx.Err() != nil
		cancel()
		if late {
			res.Code = contract.CodeDeadlineExceeded
		}
		if !late || s.f.ctx.Err() != nil || !s.f.until().After(before) {
			return res
		}
		plan, refused := s.plan(s.index)
		if refused != nil {
			return res
		}
		s.budget = plan.Budget
		clear(s.tried)
	}
}

// executeRepeatable tries endpoints until one answers, or until neither
// budget, time nor endpoints are left. It never waits between tries.
func (s *stageRun) executeRepeatable(ctx context.Context) link.RunResult {
	budget := s.e.budgets.For(s.stage.Pool)
	budget.Deposit(s.set.RetryPercent)
	kind := "first"
	for {
		p, refused := s.pick(ctx)
		if refused != nil {
			return s.lastOr(*refused)
		}
		res := s.tryHedged(ctx, p, kind)
		if res.Code == "" || ctx.Err() != nil || !retryable(res.Code) {
			return res
		}
		s.exclude(p, res)
		s.note(func(r *StageReport) { r.Code, r.Run = res.Code, r.Run.LeastCertain(res.Run) })
		if kind = s.nextKind(res, budget); kind == "" {
			return res
		}
	}
}

// nextKind decides whether another attempt follows the failed res, and pays
// for it. It returns "" when the stage ends with res.
func (s *stageRun) nextKind(res link.RunResult, budget *retrybudget.Budget) string {
	if redirectable(res) {
		if s.report.Redirects >= maxRedirects {
			return ""
		}
		s.note(func(r *StageReport) { r.Redirects++ })
		return "redirect"
	}
	if !s.e.o.UnboundedRetries && !budget.TryWithdraw() {
		return ""
	}
	s.note(func(r *StageReport) { r.Retries++ })
	return "retry"
}

// exclude keeps a stage from an endpoint that failed it. Where only the link
// failed and the attempt never ran, the endpoint gets one more chance: it may
// be the only one of its pool.
func (s *stageRun) exclude(p *peer, res link.RunResult) {
	name := p.instance.Name
	if linkFailed := res.Code == contract.CodeNoEndpoint && res.Run == contract.NotRun; linkFailed && !s.spared[name] {
		s.spared[name] = true
		return
	}
	s.tried[name] = true
}

// lastOr keeps the code of the last attempt when no further endpoint is left,
// since it tells more than the lack of another.
func (s *stageRun) lastOr(refused link.RunResult) link.RunResult {
	refused.Run = s.report.Run
	if s.report.Code != "" && refused.Code == contract.CodeNoEndpoint {
		refused.Code = s.report.Code
		refused.Detail = "no further endpoint after the last failure"
	}
	return refused
}

// suspectDigest is what marks of crashes name the stage's call by. A good run of
// one stage must not clear what the same request did to another's endpoints.
func (s *stageRun) suspectDigest() string { return suspectDigest(s.f.digest, s.stage.Name) }

func suspectDigest(digest, stage string) string { return digest + "/" + stage }

// pick chooses an endpoint that has not been tried.
func (s *stageRun) pick(ctx context.Context) (*peer, *link.RunResult) {
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
	return peers[s.e.o.Chooser.Choose(s.query(), candidates)], nil
}

func (s *stageRun) query() Query {
	if s.stage.Kind != pipeline.Generate {
		return Query{}
	}
	return Query{Affinity: s.f.digest}
}

// retryable reports whether another endpoint may do better.
func retryable(code contract.Code) bool {
	switch code {
	case contract.CodeOverloaded, contract.CodeNoEndpoint, contract.CodeEndpointFailed,
		contract.CodeShuttingDown, contract.CodeDataCentreOut, contract.CodeWrongBoot,
		contract.CodeSettingsMissing, contract.CodeInternal:
		return true
	}
	return false
}

// redirectable reports whether the attempt was refused before any endpoint
// spent time on it.
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

package entry

import (
	"context"
	"errors"
	"math/bits"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/settings"
)

const tracerName = "github.com/azurelead/azurelead/entry"

// pipelineRun takes a flight through the stages of its pipeline.
type pipelineRun struct {
	e        *Entry
	f        *flight
	req      *Request
	snap     *settings.Snapshot
	traceCtx context.Context
	outputs  stageOutputs
}

// execute runs the stages in order and finishes the flight.
func (r *pipelineRun) execute() {
	defer r.e.flights.remove(r.f)
	for i := range r.req.Pipeline.Stages {
		if p := r.runStage(i); p != nil {
			r.f.finish(r.withRunState(p))
			return
		}
	}
	r.e.shares.forPipeline(r.req.PipelineName).OnSuccess(time.Now())
	for _, st := range r.req.Pipeline.Stages {
		r.e.o.Suspects.Cleared(suspectDigest(r.f.digest, st.Name))
	}
	r.recordLateWaste()
	r.f.finish(nil)
}

// recordLateWaste counts the usage of a run that ended after the deadline of its last
// caller as wasted.
func (r *pipelineRun) recordLateWaste() {
	if r.f.timeLeft() > 0 {
		return
	}
	reports, _ := r.f.snapshot()
	for _, rep := range reports {
		r.e.m.recordWaste(r.req.Organisation, r.req.PipelineName, rep.Stage, rep.Usage)
	}
}

// withRunState sets the run state of the whole request on a problem.
func (r *pipelineRun) withRunState(p *contract.Problem) *contract.Problem {
	reports, _ := r.f.snapshot()
	p.Run = requestRunState(r.req.Pipeline, reports)
	return p
}

// runStage runs stage i and keeps its output for later stages. It returns a problem
// if the request ends here.
func (r *pipelineRun) runStage(i int) *contract.Problem {
	st := r.req.Pipeline.Stages[i]
	r.e.pauseGuard.Check(r.f.ctx, time.Now())
	plan, problem := r.planDeadline(i)
	if problem != nil {
		return problem
	}
	s := r.newStageRun(i, st, plan.Budget)
	started := time.Now()
	res := s.execute()
	took := time.Since(started)
	s.updateReport(func(rep *StageReport) {
		rep.Code = res.Code
		if res.Code == "" {
			rep.Run = contract.Ran
		} else {
			rep.Run = rep.Run.LeastCertain(res.Run)
		}
		rep.DurationUS = took.Microseconds()
	})
	s.span.End()
	r.e.m.stageSeconds.WithLabelValues(r.req.PipelineName, st.Name).Observe(took.Seconds())
	if res.Code != "" {
		s.span.SetStatus(codes.Error, string(res.Code))
		return r.problemFor(st, res)
	}
	if !s.report.Replayed {
		r.e.latencies.estimator(r.latencyKey(st), started).Record(time.Now(), took)
	}
	r.outputs.add(st.Kind, res.Output)
	if st.Kind == pipeline.Service {
		r.f.addResult(ServiceResult{Stage: st.Name, Operation: st.Operation, Body: res.Output.Body})
	}
	return nil
}

// latencyKey returns the key under which the durations of a stage are estimated.
func (r *pipelineRun) latencyKey(st settings.Stage) stageKey {
	k := stageKey{pipeline: r.req.PipelineName, stage: st.Name}
	if st.Kind == pipeline.Generate {
		k.tokenMagnitude = bits.Len(uint(r.maxTokens(r.snap.ResolveRequest(r.req.Organisation, r.req.PipelineName, st.Name))))
	}
	return k
}

// maxTokens returns the token limit of a generate stage.
func (r *pipelineRun) maxTokens(set settings.RequestSettings) int {
	if r.req.Body.MaxTokens > 0 {
		return min(set.MaxTokens, r.req.Body.MaxTokens)
	}
	return set.MaxTokens
}

// planDeadline splits the remaining time between the stages from i on. It returns a
// problem if they cannot finish in time.
func (r *pipelineRun) planDeadline(i int) (Plan, *contract.Problem) {
	now := time.Now()
	var remaining []StageTimes
	for _, st := range r.req.Pipeline.Stages[i:] {
		remaining = append(remaining, r.e.latencies.stageTimes(r.latencyKey(st), now))
	}
	left := r.f.timeLeft()
	plan := SplitDeadline(left, remaining)
	if left <= 0 {
		return plan, contract.NewProblem(contract.CodeDeadlineExceeded, contract.NotRun, "the deadline passed before stage %q", r.req.Pipeline.Stages[i].Name)
	}
	if plan.Feasible || r.e.o.NoEarlyRefusal || r.e.latencies.allowProbe(r.req.PipelineName, now) {
		return plan, nil
	}
	p := contract.NewProblem(contract.CodeDeadlineTooShort, contract.NotRun, "the stages from %q on need about %s, %s are left",
		r.req.Pipeline.Stages[i].Name, plan.MinDuration.Round(time.Millisecond), left.Round(time.Millisecond))
	p.Stage = r.req.Pipeline.Stages[i].Name
	return plan, p.WithRetryAfter(retryAfterLate)
}

// problemFor converts the failed result of a stage into the request's problem.
func (r *pipelineRun) problemFor(st settings.Stage, res link.RunResult) *contract.Problem {
	code := res.Code
	if cause := context.Cause(r.f.ctx); cause != nil {
		code = contract.CodeCancelled
		if errors.Is(cause, errDeadline) {
			code = contract.CodeDeadlineExceeded
		}
	}
	if code == contract.CodeOverloaded {
		r.e.shares.forPipeline(r.req.PipelineName).OnOverload(time.Now())
	}
	p := contract.NewProblem(code, res.Run, "stage %q: %s", st.Name, res.Detail)
	p.Stage = st.Name
	if d := retryAfter(code, res.RetryAfterMS); d > 0 {
		p = p.WithRetryAfter(d)
	}
	return p
}

// Delays after which callers may retry, by cause.
const (
	retryAfterLate    = time.Second
	retryAfterBusy    = 250 * time.Millisecond
	retryAfterFailure = time.Second
)

// retryAfter returns when a caller may retry after a problem, or 0 if a retry of the
// same request would not help. The time is randomised so that callers who were
// refused together do not retry together.
func retryAfter(code contract.Code, hintMS int64) time.Duration {
	d := time.Duration(hintMS) * time.Millisecond
	if d <= 0 {
		d = defaultRetryAfter(code)
	}
	return d + rand.N(d/2+1)
}

func defaultRetryAfter(code contract.Code) time.Duration {
	switch code {
	case contract.CodeOverloaded:
		return retryAfterBusy
	case contract.CodeNoEndpoint, contract.CodeEndpointFailed, contract.CodeClaimUnavailable,
		contract.CodeInProgress, contract.CodeShuttingDown, contract.CodeDataCentreOut,
		contract.CodeSettingsMissing, contract.CodeDeadlineExceeded, contract.CodeWrongBoot:
		return retryAfterFailure
	}
	return 0
}

// startSpan starts a span for one hop.
func startSpan(ctx context.Context, name string, kind trace.SpanKind, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attrs...))
}

// traceParent returns the W3C traceparent header of the span in ctx.
func traceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

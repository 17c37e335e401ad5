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

// run carries one flight through the stages of its pipeline.
type run struct {
	e     *Entry
	f     *flight
	req   *Request
	snap  *settings.Snapshot
	trace context.Context
	carry carried
}

// execute runs the stages in order, and finishes the flight.
func (r *run) execute() {
	defer r.e.flights.ended(r.f)
	for i := range r.req.Pipeline.Stages {
		if p := r.step(i); p != nil {
			r.f.finish(r.complete(p))
			return
		}
	}
	r.e.shares.of(r.req.PipelineName).OnSuccess(time.Now())
	for _, st := range r.req.Pipeline.Stages {
		r.e.o.Suspects.Cleared(suspectDigest(r.f.digest, st.Name))
	}
	r.countLate()
	r.f.finish(nil)
}

// countLate counts the work of a run that ended after its last deadline.
func (r *run) countLate() {
	if r.f.left() > 0 {
		return
	}
	reports, _ := r.f.snapshot()
	for _, rep := range reports {
		r.e.m.waste(r.req.Organisation, r.req.PipelineName, rep.Stage, rep.Usage)
	}
}

// complete adds to a problem what the request as a whole states.
func (r *run) complete(p *contract.Problem) *contract.Problem {
	reports, _ := r.f.snapshot()
	p.Run = requestRun(r.req.Pipeline, reports)
	return p
}

// step runs stage i and takes its output. It returns a problem when the
// request ends here.
func (r *run) step(i int) *contract.Problem {
	st := r.req.Pipeline.Stages[i]
	r.e.pause.Check(r.f.ctx, time.Now())
	plan, problem := r.plan(i)
	if problem != nil {
		return problem
	}
	s := r.newStage(i, st, plan.Budget)
	started := time.Now()
	res := s.execute()
	took := time.Since(started)
	s.note(func(rep *StageReport) {
		rep.Code = res.Code
		if res.Code == "" {
			rep.Run = contract.Ran
		} else {
			rep.Run = rep.Run.LeastCertain(res.Run)
		}
		rep.DurationUS = took.Microseconds()
	})
	s.span.End()
	r.e.m.stage.WithLabelValues(r.req.PipelineName, st.Name).Observe(took.Seconds())
	if res.Code != "" {
		s.span.SetStatus(codes.Error, string(res.Code))
		return r.refusal(st, res)
	}
	if !s.report.Replayed {
		r.e.latencies.of(r.key(st), started).Record(time.Now(), took)
	}
	r.carry.take(st.Kind, res.Output)
	if st.Kind == pipeline.Service {
		r.f.addResult(ServiceResult{Stage: st.Name, Operation: st.Operation, Body: res.Output.Body})
	}
	return nil
}

// key names the durations that this run's stage is expected to be like.
func (r *run) key(st settings.Stage) stageKey {
	k := stageKey{pipeline: r.req.PipelineName, stage: st.Name}
	if st.Kind == pipeline.Generate {
		k.size = bits.Len(uint(r.maxTokens(r.snap.ResolveRequest(r.req.Organisation, r.req.PipelineName, st.Name))))
	}
	return k
}

// maxTokens bounds the tokens of a generate stage.
func (r *run) maxTokens(set settings.RequestSettings) int {
	if r.req.Body.MaxTokens > 0 {
		return min(set.MaxTokens, r.req.Body.MaxTokens)
	}
	return set.MaxTokens
}

// plan splits what is left between the stages from i on, and refuses what
// cannot finish any more.
func (r *run) plan(i int) (Plan, *contract.Problem) {
	now := time.Now()
	var remaining []StageTimes
	for _, st := range r.req.Pipeline.Stages[i:] {
		remaining = append(remaining, r.e.latencies.times(r.key(st), now))
	}
	left := r.f.left()
	plan := SplitDeadline(left, remaining)
	if left <= 0 {
		return plan, contract.NewProblem(contract.CodeDeadlineExceeded, contract.NotRun, "the deadline passed before stage %q", r.req.Pipeline.Stages[i].Name)
	}
	if plan.Feasible || r.e.o.NoEarlyRefusal || r.e.latencies.mayProbe(r.req.PipelineName, now) {
		return plan, nil
	}
	p := contract.NewProblem(contract.CodeDeadlineTooShort, contract.NotRun, "the stages from %q on need about %s, %s are left",
		r.req.Pipeline.Stages[i].Name, plan.MinDuration.Round(time.Millisecond), left.Round(time.Millisecond))
	p.Stage = r.req.Pipeline.Stages[i].Name
	return plan, p.WithRetryAfter(retryAfterLate)
}

// refusal turns the result of a stage into the request's problem.
func (r *run) refusal(st settings.Stage, res link.RunResult) *contract.Problem {
	code := res.Code
	if cause := context.Cause(r.f.ctx); cause != nil {
		code = contract.CodeCancelled
		if errors.Is(cause, errDeadline) {
			code = contract.CodeDeadlineExceeded
		}
	}
	if code == contract.CodeOverloaded {
		r.e.shares.of(r.req.PipelineName).OnOverload(time.Now())
	}
	p := contract.NewProblem(code, res.Run, "stage %q: %s", st.Name, res.Detail)
	p.Stage = st.Name
	if d := retryAfter(code, res.RetryAfterMS); d > 0 {
		p = p.WithRetryAfter(d)
	}
	return p
}

const (
	retryAfterLate    = time.Second
	retryAfterBusy    = 250 * time.Millisecond
	retryAfterFailure = time.Second
)

// retryAfter is when a caller may come back after a problem; 0 when coming
// back unchanged does not help. The time is spread, so that callers who were
// refused together do not come back together.
func retryAfter(code contract.Code, hintMS int64) time.Duration {
	d := time.Duration(hintMS) * time.Millisecond
	if d <= 0 {
		d = usualRetryAfter(code)
	}
	return d + rand.N(d/2+1)
}

func usualRetryAfter(code contract.Code) time.Duration {
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

// startSpan starts the span of one hop.
func startSpan(ctx context.Context, name string, kind trace.SpanKind, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attrs...))
}

// traceParent returns the W3C header value of the span in ctx.
func traceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

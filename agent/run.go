package agent

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/suspect"
)

// Causes of cancelled attempts.
var (
	errCancelled = errors.New("cancelled by the entry")
	errOrphaned  = errors.New("no link waits for it")
)

// Hello implements link.Handler.
func (a *Agent) Hello(link.HelloParams) (link.HelloResult, error) {
	return link.HelloResult{
		Agent:      a.options.Name,
		AgentBoot:  a.options.Boot,
		Endpoint:   a.options.EndpointName,
		Pool:       a.options.Pool,
		Kind:       a.options.Kind,
		DataCentre: a.options.DataCentre,
		Load:       a.Load(),
	}, nil
}

// Load implements link.Handler.
func (a *Agent) Load() link.Load { return a.admission.load() }

// Run implements link.Handler. ctx is the context of the link. When it ends, the attempt keeps
// running, so that another link can take it over.
func (a *Agent) Run(ctx context.Context, p link.RunParams, emit func(string)) link.RunResult {
	if p.AgentBoot != a.options.Boot {
		// The attempt was meant for an earlier boot, which may have run it under this id. This boot
		// never runs it.
		return a.refusedResult(p.Attempt, &refusal{code: contract.CodeWrongBoot, detail: "attempt is meant for another boot"})
	}
	runCtx, cancel := context.WithCancelCause(a.baseCtx)
	defer cancel(nil)
	runCtx, cancelTimeout := context.WithTimeout(runCtx, time.Duration(p.BudgetUS)*time.Microsecond)
	defer cancelTimeout()
	t := newAttempt(p.Attempt, p.Digest, !p.Repeatable, cancel)
	if status := a.attempts.begin(t); status != statusNew {
		return a.duplicateResult(p.Attempt, status)
	}
	stopOrphan := context.AfterFunc(ctx, func() { a.handleLostLink(t, p.Repeatable) })
	defer stopOrphan()
	r := a.run(runCtx, t, p, emit)
	a.attempts.finish(t, r)
	a.metrics.observe(r)
	return r
}

// duplicateResult returns the result for an attempt whose id is not new.
func (a *Agent) duplicateResult(id contract.AttemptID, status attemptStatus) link.RunResult {
	a.metrics.duplicates.Inc()
	if status == statusClosed {
		return a.refusedResult(id, &refusal{code: contract.CodeCancelled, detail: "attempt was closed before it came"})
	}
	return link.RunResult{
		Attempt: id, Run: contract.MayHaveRun, Code: contract.CodeDuplicateAttempt,
		Detail: "attempt came before", Load: a.Load(),
	}
}

func (a *Agent) refusedResult(id contract.AttemptID, r *refusal) link.RunResult {
	return link.RunResult{
		Attempt: id, Run: contract.NotRun, Code: r.code, Detail: r.detail,
		RetryAfterMS: r.retryAfter.Milliseconds(), Load: a.Load(),
	}
}

// run admits the attempt and sends it to the endpoint.
func (a *Agent) run(ctx context.Context, t *attempt, p link.RunParams, emit func(string)) link.RunResult {
	span := startSpan(ctx, p)
	defer span.End()
	w, r := a.admit(ctx, p)
	if r != nil {
		span.SetAttributes(attribute.String("azurelead.refused", string(r.code)))
		return a.refusedResult(t.id, r)
	}
	if !t.markSent(ctx) {
		a.admission.release(w)
		return a.refusedResult(t.id, contextRefusal(ctx))
	}
	start := time.Now()
	timeToFirstToken := time.Duration(0)
	res := a.options.Endpoint.Run(ctx, endpointCall(p), func(token string) {
		if timeToFirstToken == 0 {
			timeToFirstToken = time.Since(start)
		}
		t.add(token)
		emit(token)
	})
	elapsed := time.Since(start)
	if !res.Crashed {
		t.markEnded()
	}
	a.releaseSlot(ctx, w, res, timeToFirstToken, elapsed)
	a.reportOutcome(t, res)
	span.SetAttributes(attribute.Int64("azurelead.endpoint_us", elapsed.Microseconds()))
	return a.buildResult(t, res, elapsed)
}

// admit decides whether the attempt may run now. It waits for a slot if necessary.
func (a *Agent) admit(ctx context.Context, p link.RunParams) (*waiter, *refusal) {
	now := time.Now()
	if a.pause.isStale(now) {
		// A message that is read after a pause may have been in a buffer throughout the pause.
		return nil, &refusal{contract.CodeOverloaded, "agent was paused", minRetryAfter}
	}
	a.applySettings()
	verdict, ttl := a.options.Suspects.Verdict(p.Digest)
	if verdict == suspect.Refused {
		return nil, &refusal{contract.CodeSuspectRequest, "request has crashed endpoints", ttl}
	}
	deadline, _ := ctx.Deadline()
	w := &waiter{
		organisation: p.Organisation,
		weight:       a.weight(p.Organisation),
		priority:     p.Priority,
		alone:        p.Alone || verdict == suspect.Alone,
		deadline:     deadline,
	}
	if r := a.admission.acquire(ctx, w); r != nil {
		return nil, r
	}
	if a.pause.isStale(time.Now()) {
		// The process was paused between the grant and this check.
		a.admission.release(w)
		return nil, &refusal{contract.CodeOverloaded, "agent was paused", minRetryAfter}
	}
	return w, nil
}

func (a *Agent) weight(organisation string) int {
	s := a.options.Settings.Current()
	if s == nil {
		return 1
	}
	return s.OrganisationWeight(organisation)
}

func endpointCall(p link.RunParams) endpoint.Call {
	return endpoint.Call{Attempt: p.Attempt, Priority: p.Priority, Input: p.Input}
}

// releaseSlot records the result of a call and returns its slot. The endpoint learns of a
// cancellation with a delay, so a cancelled call keeps its slot a little longer.
func (a *Agent) releaseSlot(ctx context.Context, w *waiter, res endpoint.Result, timeToFirstToken, elapsed time.Duration) {
	latency := elapsed
	if timeToFirstToken > 0 {
		latency = timeToFirstToken
	}
	a.admission.recordResult(res.Problem == nil, latency, elapsed)
	a.recordColdChange()
	if ctx.Err() == nil {
		a.admission.release(w)
		return
	}
	a.wg.Go(func() {
		select {
		case <-a.baseCtx.Done():
		case <-time.After(a.options.CancelReleaseDelay):
		}
		a.admission.release(w)
	})
}

// reportOutcome reports crashes and successful runs. The calls in flight at a crash are reported
// once, by the first of them that detects it.
func (a *Agent) reportOutcome(t *attempt, res endpoint.Result) {
	if !res.Crashed {
		if res.Problem == nil {
			a.options.Suspects.Cleared(t.digest)
		}
		if endpointUnreachable(res) {
			a.handleEndpointDown()
		}
		return
	}
	a.handleEndpointDown()
	if n := a.markSuspects(t); n > 0 {
		a.metrics.crashes.Inc()
		a.options.Logger.Warn("endpoint crashed with calls in flight", "endpoint", a.options.EndpointName, "in_flight", n)
		a.options.OnStateChange()
	}
}

// markSuspects marks the calls that were in flight at the crash that ended t, and returns their number, or 0 if t was
// marked before. The mutex serialises calls that end together, so that none of them is marked as the only
// one in flight, and none returns a result before it is marked.
func (a *Agent) markSuspects(t *attempt) int {
	a.crashMu.Lock()
	defer a.crashMu.Unlock()
	digests := a.collectSuspects(t)
	if len(digests) > 0 {
		a.options.Suspects.Crashed(digests)
	}
	return len(digests)
}

// collectSuspects returns the digests of the calls that were in flight at the crash that ended t,
// or none if t was reported before. The caller holds crashMu.
func (a *Agent) collectSuspects(t *attempt) []string {
	if !t.markCrashReported() {
		return nil
	}
	digests := []string{t.digest}
	for _, other := range a.attempts.runningAttempts() {
		if other != t && other.isInFlight() && other.markCrashReported() {
			digests = append(digests, other.digest)
		}
	}
	return digests
}

// endpointUnreachable reports whether the endpoint could not be reached for the call.
func endpointUnreachable(res endpoint.Result) bool {
	p := res.Problem
	return p != nil && p.Run == contract.NotRun && p.Code == contract.CodeEndpointFailed
}

func (a *Agent) buildResult(t *attempt, res endpoint.Result, elapsed time.Duration) link.RunResult {
	r := link.RunResult{Attempt: t.id, Run: contract.Ran, Output: res.Output, Usage: res.Usage}
	r.TokenCount, r.Digest = t.tokenDigest()
	if r.Usage.EndpointUS == 0 {
		r.Usage.EndpointUS = elapsed.Microseconds()
	}
	if res.Problem != nil {
		r.Run, r.Code, r.Detail = res.Problem.Run, res.Problem.Code, res.Problem.Detail
		r.RetryAfterMS = res.Problem.RetryAfterMS
		if endpointUnreachable(res) {
			// The entry counts this as an endpoint that is not available, not as a failed attempt.
			r.Code = contract.CodeNoEndpoint
		}
	}
	if res.Crashed {
		r.Suspects = a.options.Gossip.Suspects()
	}
	r.Load = a.Load()
	return r
}

// tracer is created once; it follows the global tracer provider.
var tracer = otel.Tracer("github.com/azurelead/azurelead/agent")

func startSpan(ctx context.Context, p link.RunParams) trace.Span {
	if p.TraceParent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": p.TraceParent})
	}
	_, span := tracer.Start(ctx, "agent "+p.Stage, trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("azurelead.attempt", string(p.Attempt)),
			attribute.String("azurelead.organisation", p.Organisation),
			attribute.String("azurelead.pipeline", p.Pipeline))
	}
	return span
}

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

// Causes of ended attempts.
var (
	errCancelled = errors.New("cancelled by the entry")
	errOrphaned  = errors.New("no link waits for it")
)

// Hello implements link.Handler.
func (a *Agent) Hello(link.HelloParams) (link.HelloResult, error) {
	return link.HelloResult{
		Agent:      a.o.Name,
		AgentBoot:  a.o.Boot,
		Endpoint:   a.o.EndpointName,
		Pool:       a.o.Pool,
		Kind:       a.o.Kind,
		DataCentre: a.o.DataCentre,
		Load:       a.Load(),
	}, nil
}

// Load implements link.Handler.
func (a *Agent) Load() link.Load { return a.admission.load() }

// Run implements link.Handler. ctx is the link's: when it ends, the attempt
// runs on for those that take it over.
func (a *Agent) Run(ctx context.Context, p link.RunParams, emit func(string)) link.RunResult {
	if p.AgentBoot != a.o.Boot {
		// Meant for an earlier boot, which may have run it under this id; this
		// boot never does.
		return a.refused(p.Attempt, &refusal{code: contract.CodeWrongBoot, detail: "attempt is meant for another boot"})
	}
	run, cancel := context.WithCancelCause(a.base)
	defer cancel(nil)
	run, stop := context.WithTimeout(run, time.Duration(p.BudgetUS)*time.Microsecond)
	defer stop()
	t := newAttempt(p.Attempt, p.Digest, !p.Repeatable, cancel)
	if kind := a.attempts.begin(t); kind != kindNew {
		return a.repeated(p.Attempt, kind)
	}
	lost := context.AfterFunc(ctx, func() { a.orphan(t, p.Repeatable) })
	defer lost()
	r := a.run(run, t, p, emit)
	a.attempts.finish(t, r)
	a.metrics.ended(r)
	return r
}

// repeated answers an attempt id that is not new.
func (a *Agent) repeated(id contract.AttemptID, kind entryKind) link.RunResult {
	a.metrics.duplicates.Inc()
	if kind == kindClosed {
		return a.refused(id, &refusal{code: contract.CodeCancelled, detail: "attempt was closed before it came"})
	}
	return link.RunResult{
		Attempt: id, Run: contract.MayHaveRun, Code: contract.CodeDuplicateAttempt,
		Detail: "attempt came before", Load: a.Load(),
	}
}

func (a *Agent) refused(id contract.AttemptID, r *refusal) link.RunResult {
	return link.RunResult{
		Attempt: id, Run: contract.NotRun, Code: r.code, Detail: r.detail,
		RetryAfterMS: r.after.Milliseconds(), Load: a.Load(),
	}
}

// run admits the attempt and hands it to the endpoint.
func (a *Agent) run(ctx context.Context, t *attempt, p link.RunParams, emit func(string)) link.RunResult {
	span := startSpan(ctx, p)
	defer span.End()
	w, r := a.admit(ctx, p)
	if r != nil {
		span.SetAttributes(attribute.String("azurelead.refused", string(r.code)))
		return a.refused(t.id, r)
	}
	if !t.hand(ctx) {
		a.admission.release(w)
		return a.refused(t.id, endedEarly(ctx))
	}
	began := time.Now()
	first := time.Duration(0)
	res := a.o.Endpoint.Run(ctx, call(p), func(token string) {
		if first == 0 {
			first = time.Since(began)
		}
		t.add(token)
		emit(token)
	})
	took := time.Since(began)
	a.giveBack(ctx, w, res, first, took)
	a.judge(t, res)
	span.SetAttributes(attribute.Int64("azurelead.endpoint_us", took.Microseconds()))
	return a.result(t, res, took)
}

// admit decides whether the attempt may run now.
func (a *Agent) admit(ctx context.Context, p link.RunParams) (*waiter, *refusal) {
	now := time.Now()
	if a.pause.isStale(now) {
		// What is read after a pause may have waited in buffers for as long.
		return nil, &refusal{contract.CodeOverloaded, "agent was paused", minRetryAfter}
	}
	a.follow()
	verdict, stands := a.o.Suspects.Verdict(p.Digest)
	if verdict == suspect.Refused {
		return nil, &refusal{contract.CodeSuspectRequest, "request has crashed endpoints", stands}
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
		// The pause fell between the grant and here.
		a.admission.release(w)
		return nil, &refusal{contract.CodeOverloaded, "agent was paused", minRetryAfter}
	}
	return w, nil
}

func (a *Agent) weight(organisation string) int {
	s := a.o.Settings.Current()
	if s == nil {
		return 1
	}
	return s.OrganisationWeight(organisation)
}

func call(p link.RunParams) endpoint.Call {
	return endpoint.Call{Attempt: p.Attempt, Priority: p.Priority, Input: p.Input}
}

// giveBack returns the slot. The endpoint learns later that a call was cut
// short, so that call keeps its slot a little longer.
func (a *Agent) giveBack(ctx context.Context, w *waiter, res endpoint.Result, first, took time.Duration) {
	latency := took
	if first > 0 {
		latency = first
	}
	a.admission.answered(res.Problem == nil, latency, took)
	a.noteCold()
	if ctx.Err() == nil {
		a.admission.release(w)
		return
	}
	a.wg.Go(func() {
		select {
		case <-a.base.Done():
		case <-time.After(a.o.CancelReleaseDelay):
		}
		a.admission.release(w)
	})
}

// judge reports crashes and good runs. All that was in flight at a crash is
// reported once, by whichever call finds it first.
func (a *Agent) judge(t *attempt, res endpoint.Result) {
	if !res.Crashed {
		if res.Problem == nil {
			a.o.Suspects.Cleared(t.digest)
		}
		if neverReached(res) {
			a.endpointDied()
		}
		return
	}
	a.endpointDied()
	digests := a.suspectsOf(t)
	if len(digests) > 0 {
		a.metrics.crashes.Inc()
		a.o.Logger.Warn("endpoint crashed", "endpoint", a.o.EndpointName, "in_flight", len(digests))
		a.o.Suspects.Crashed(digests)
		a.o.OnStateChange()
	}
}

// suspectsOf returns what was in flight at the crash that ended t, or nothing if it
// was returned before. Calls that end together take turns, so that none of them
// is taken to have been alone.
func (a *Agent) suspectsOf(t *attempt) []string {
	a.collecting.Lock()
	defer a.collecting.Unlock()
	if !t.markSuspected() {
		return nil
	}
	digests := []string{t.digest}
	for _, other := range a.attempts.list() {
		if other != t && other.wasHanded() && other.markSuspected() {
			digests = append(digests, other.digest)
		}
	}
	return digests
}

// neverReached reports whether the endpoint could not be reached for the call.
func neverReached(res endpoint.Result) bool {
	p := res.Problem
	return p != nil && p.Run == contract.NotRun && p.Code == contract.CodeEndpointFailed
}

func (a *Agent) result(t *attempt, res endpoint.Result, took time.Duration) link.RunResult {
	r := link.RunResult{Attempt: t.id, Run: contract.Ran, Output: res.Output, Usage: res.Usage}
	r.TokenCount, r.Digest = t.digestOf()
	if r.Usage.EndpointUS == 0 {
		r.Usage.EndpointUS = took.Microseconds()
	}
	if res.Problem != nil {
		r.Run, r.Code, r.Detail = res.Problem.Run, res.Problem.Code, res.Problem.Detail
		r.RetryAfterMS = res.Problem.RetryAfterMS
		if neverReached(res) {
			// For the entry this is one endpoint fewer, not a failed try.
			r.Code = contract.CodeNoEndpoint
		}
	}
	if res.Crashed {
		r.Suspects = a.o.Gossip.Suspects()
	}
	r.Load = a.Load()
	return r
}

// tracer is resolved once; it follows the global provider.
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

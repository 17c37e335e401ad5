package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/settings"
	"github.com/azurelead/azurelead/suspect"
	"github.com/azurelead/azurelead/upload"
)

// RunsPath is the route on which callers start pipeline runs.
const RunsPath = "/v1/pipelines/{pipeline}/runs"

const (
	// bodyTimeout bounds the reading of a request body.
	bodyTimeout = 10 * time.Second
	// writeGracePeriod is how long after its deadline a caller may still read its answer.
	// Without it, a caller that reads nothing would hold up a graceful shutdown.
	writeGracePeriod = 5 * time.Second
)

func (e *Entry) routes() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(RunsPath, e.serveRun).Methods(http.MethodPost)
	return m
}

// serveRun handles one request.
func (e *Entry) serveRun(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	id := contract.NewRequestID()
	w.Header().Set("Azurelead-Request-Id", string(id))
	control := http.NewResponseController(w)
	if !e.beginRequest() {
		defer endReading(w, control)()
		e.refuse(w, started, &Request{ID: id}, shuttingDown(contract.NotRun))
		return
	}
	defer e.inProgress.Done()
	e.m.inFlight.Inc()
	defer e.m.inFlight.Dec()
	req := &Request{ID: id, Deadline: started}
	body := upload.NewBody(r)
	if !body.Ended() {
		_ = control.SetReadDeadline(started.Add(bodyTimeout))
	}
	snap, problem := e.validate(req, r, body, started)
	if err := body.Discard(); err != nil {
		defer endReading(w, control)()
	} else {
		_ = control.SetReadDeadline(time.Time{}) // net/http watches for the caller's leaving
	}
	left := max(time.Until(req.Deadline), 0) // a refusal is written after a slow upload
	_ = control.SetWriteDeadline(time.Now().Add(left + writeGracePeriod))
	if problem == nil && e.draining.Load() {
		problem = shuttingDown(contract.NotRun)
	}
	if problem != nil {
		e.refuse(w, started, req, problem)
		return
	}
	parent := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := startSpan(parent, "request", trace.SpanKindServer)
	defer span.End()
	f, joined, problem := e.joinOrStartRun(ctx, snap, req)
	if problem != nil {
		e.refuse(w, started, req, problem)
		return
	}
	defer e.flights.leave(f)
	c := &caller{e: e, w: w, req: req, f: f, joined: joined, started: started}
	waitCtx, cancelWait := context.WithCancelCause(r.Context())
	defer cancelWait(nil)
	defer context.AfterFunc(e.answerCtx, func() { cancelWait(errShuttingDown) })()
	waitCtx, cancel := context.WithDeadline(waitCtx, req.Deadline)
	defer cancel()
	if req.Body.Stream {
		c.stream(waitCtx)
		return
	}
	c.answer(waitCtx)
}

// endReading makes the response close its connection, whose request is not read to its end. It returns a function to be
// called after the response: net/http would wait for the rest of a short body, without a bound.
func endReading(w http.ResponseWriter, control *http.ResponseController) func() {
	w.Header().Set("Connection", "close")
	return func() { _ = control.SetReadDeadline(time.Now()) }
}

// errShuttingDown ends the wait of callers that a stop does not wait for.
var errShuttingDown = Error.New("this entry is shutting down")

func shuttingDown(run contract.RunState) *contract.Problem {
	return contract.NewProblem(contract.CodeShuttingDown, run, "this entry is shutting down").WithRetryAfter(retryAfterBusy)
}

// validate performs every check that needs no endpoint, the cheapest first.
func (e *Entry) validate(req *Request, r *http.Request, body io.Reader, now time.Time) (*settings.Snapshot, *contract.Problem) {
	snap := e.o.Settings.Current()
	if snap == nil {
		return nil, contract.NewProblem(contract.CodeSettingsMissing, contract.NotRun, "this entry has no settings yet").WithRetryAfter(retryAfterFailure)
	}
	var problem *contract.Problem
	if req.Organisation, problem = e.auth.organisation(snap, r.Header); problem != nil {
		return nil, problem
	}
	req.Weight = snap.Document.Organisations[req.Organisation].Weight
	name := mux.Vars(r)["pipeline"]
	p, ok := snap.Document.Pipelines[name]
	if !ok {
		return nil, contract.NewProblem(contract.CodeUnknownPipeline, contract.NotRun, "there is no pipeline of that name")
	}
	req.PipelineName, req.Pipeline = name, p
	set := snap.ResolveRequest(req.Organisation, name, "")
	left, problem := parseDeadline(r.Header, set.MaxDeadline)
	if problem != nil {
		return nil, problem
	}
	req.Deadline = now.Add(left)
	req.Key = r.Header.Get(HeaderIdempotencyKey)
	if problem = checkKey(p, req.Key); problem != nil {
		return nil, problem
	}
	if req.Body, problem = DecodeBody(body, set.MaxBodyBytes); problem != nil {
		return nil, problem
	}
	req.Digest = requestDigest(req.Organisation, name, req.Body)
	return snap, checkBody(p, req.Body)
}

// joinOrStartRun joins the flight of an identical request, or starts a new one. The
// second result reports whether it joined.
func (e *Entry) joinOrStartRun(ctx context.Context, snap *settings.Snapshot, req *Request) (*flight, bool, *contract.Problem) {
	key := e.joinKey(req)
	if f := e.flights.join(key, req.Deadline); f != nil {
		return e.checkJoined(f, req)
	}
	if problem := e.admit(req); problem != nil {
		return nil, false, problem
	}
	f, isNew := e.flights.start(newFlight(context.WithoutCancel(ctx), key, req.Digest, req.Deadline))
	if !isNew {
		e.shares.forPipeline(req.PipelineName).Release(req.Organisation)
		return e.checkJoined(f, req)
	}
	run := &pipelineRun{e: e, f: f, req: req, snap: snap, traceCtx: context.WithoutCancel(ctx)}
	e.background(func(context.Context) {
		defer e.shares.forPipeline(req.PipelineName).Release(req.Organisation)
		run.execute()
	})
	return f, false, nil
}

// checkJoined refuses a request that joined the flight of another body with the same
// idempotency key.
func (e *Entry) checkJoined(f *flight, req *Request) (*flight, bool, *contract.Problem) {
	if f.digest != req.Digest {
		e.flights.leave(f)
		return nil, false, contract.NewProblem(contract.CodeKeyReused, contract.NotRun, "the idempotency key is in use for another body")
	}
	e.m.joined.WithLabelValues(req.Organisation, req.PipelineName).Inc()
	return f, true, nil
}

// joinKey returns the key that coalesced requests share. If a stage may not be
// repeated, only the idempotency key can tell two separate orders from a repeated one.
func (e *Entry) joinKey(req *Request) string {
	prefix := req.Organisation + "\x00" + req.PipelineName + "\x00"
	switch {
	case hasOnceStage(req.Pipeline):
		return prefix + "key\x00" + req.Key
	case e.o.NoCoalescing:
		return prefix + "request\x00" + string(req.ID)
	}
	return prefix + "digest\x00" + req.Digest
}

// admit checks whether a new run may start. It does not wait.
func (e *Entry) admit(req *Request) *contract.Problem {
	for _, st := range req.Pipeline.Stages {
		if verdict, d := e.o.Suspects.Verdict(suspectDigest(req.Digest, st.Name)); verdict == suspect.Refused {
			return contract.NewProblem(contract.CodeSuspectRequest, contract.NotRun, "the request crashed endpoints").WithRetryAfter(d)
		}
	}
	ok := e.shares.forPipeline(req.PipelineName).TryAcquire(time.Now(), req.Organisation, req.Weight)
	if ok || e.o.NoShares {
		return nil
	}
	return contract.NewProblem(contract.CodeOverloaded, contract.NotRun, "the organisation's share of this entry is in use").WithRetryAfter(retryAfterBusy)
}

// refuse writes a problem as the complete response.
func (e *Entry) refuse(w http.ResponseWriter, started time.Time, req *Request, p *contract.Problem) {
	writeProblem(w, req.ID, p, nil)
	e.recordRequest(req, p, started)
}

// recordRequest counts a finished request in the metrics.
func (e *Entry) recordRequest(req *Request, p *contract.Problem, started time.Time) {
	if p == nil {
		e.m.requests.WithLabelValues(req.Organisation, req.PipelineName, "ok", string(contract.Ran)).Inc()
		return
	}
	e.m.requests.WithLabelValues(req.Organisation, req.PipelineName, string(p.Code), string(p.Run)).Inc()
	e.m.refusalSeconds.Observe(time.Since(started).Seconds())
}

// writeProblem writes a problem document. It sets the request's id on a copy, because
// coalesced callers share the problem.
func writeProblem(w http.ResponseWriter, id contract.RequestID, p *contract.Problem, stages []StageReport) {
	doc := *p
	doc.RequestID = id
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if doc.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(doc.RetryAfterMS)/1000))))
	}
	w.WriteHeader(doc.Status)
	_ = json.NewEncoder(w).Encode(ProblemReport{Problem: &doc, Stages: stages})
}

// earlyProblem returns the problem of a caller that is answered before the run ends: the entry
// stops, the caller's own deadline has passed, or it has disconnected.
func earlyProblem(ctx context.Context, run contract.RunState) *contract.Problem {
	if errors.Is(context.Cause(ctx), errShuttingDown) {
		return shuttingDown(run)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return contract.NewProblem(contract.CodeDeadlineExceeded, run, "the deadline passed").WithRetryAfter(retryAfterFailure)
	}
	return contract.NewProblem(contract.CodeCancelled, run, "the caller has left")
}

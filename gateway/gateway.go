// Package gateway serves clients' requests on the platform's routes. For each request it looks up
// the route and the organisation, runs the stages that the route requires, chooses an endpoint, and
// retries only where the route allows it. The client gets a complete response or an error that
// states truthfully whether the request may have run.
package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"

	"github.com/azurelead/azurelead/canary"
	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/memorybudget"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/retrybudget"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/suspect"
	"github.com/azurelead/azurelead/upload"
	"github.com/azurelead/azurelead/upstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

const (
	// deadlineMargin is subtracted from the request's timeout to allow for the transfer of the request
	// to this entry and of the response to the client.
	deadlineMargin = 20 * time.Millisecond
	// unconfiguredRetryAfter is the retry delay sent while this entry has no configuration yet.
	unconfiguredRetryAfter = 300 * time.Millisecond
	// busyRetryAfter is the retry delay sent while no endpoint accepts work.
	busyRetryAfter = 500 * time.Millisecond
	// engineReadDelay is the initial ReadDelay of engines: opening a connection, sending a prompt over a
	// slow link, and fetching large results.
	engineReadDelay = 80 * time.Millisecond
)

var tracer = otel.Tracer("github.com/azurelead/azurelead/gateway")

// StageRunner runs the stages of requests.
type StageRunner interface {
	// Submit blocks until the stages have ended, or returns at once if they are refused. The
	// session key identifies a client across its attempts.
	Submit(ctx context.Context, j dispatch.Job, sessionKey string) (peers.Outcome, JobResults, error)
}

// JobResults holds the results of one job's stages until they are released.
type JobResults interface {
	// InputsRead frees the results that the engine has fetched, while it still works on the prompt.
	InputsRead()
	// Release frees the results after the engine has read them or when they are no longer needed. The report is about
	// the engine that was to read them.
	Release(r dispatch.EngineReport)
}

// Options configures a Gateway.
type Options struct {
	// DataCentre is the data centre of this entry.
	DataCentre string
	// Table returns the configuration in force, or nil if there is none yet.
	Table func() *catalog.Table
	// AwaitState blocks after a start until the state that requests need is known, for a bounded time. nil never
	// blocks.
	AwaitState func(ctx context.Context)
	Roster     *roster.Roster
	Upstream   *upstream.Client
	// Uploads bounds the memory that the bodies of requests hold, by organisation.
	Uploads *memorybudget.Budget
	// OnUpload is called with the context of a request before its body is read, and with the owner in the budget for uploads;
	// it may be nil.
	OnUpload func(ctx context.Context, owner string)
	// OnRead is called with the context of a request once its body has been read; it may be nil.
	OnRead func(ctx context.Context)
	// Stages runs the stages that precede a request.
	Stages StageRunner
	// RetryBudgets holds the retry budget of each service.
	RetryBudgets *retrybudget.Set
	// RetryPercent returns the number of retries that a service may receive per 100 first attempts.
	RetryPercent func() int
	// SuspectParts holds the parts of prompts that have crashed endpoints.
	SuspectParts *suspect.Parts
	// SuspectRequests holds the requests that have crashed endpoints.
	SuspectRequests *suspect.Requests
	// Origins knows where streams began; nil knows none.
	Origins Origins
	// Rollouts divides the requests between the versions of a service while a roll-out is undecided; nil knows none.
	Rollouts *canary.Tracker
	// OnCrash is called after an endpoint crashed with requests of this entry; it may be nil.
	OnCrash func()
	// OnNotice is called after an endpoint stated what the other entries need to know; it may be nil.
	OnNotice func()
	Logger   *slog.Logger
	Metrics  *Metrics
}

// Gateway is the HTTP handler for clients' requests. It is safe for concurrent use.
type Gateway struct {
	opts    Options
	crashes *crashTracker
	// readDelay is the time after which an engine is taken to have fetched the results of the stages.
	readDelay          *dispatch.ReadDelay
	keepAlivesDisabled atomic.Bool
	inFlight           inFlight
	promptLimits       *promptLimits
}

// New returns a Gateway. Without metrics or suspect tables in the options it creates its own.
func New(opts Options) *Gateway {
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	if opts.Uploads == nil {
		opts.Uploads = memorybudget.New(defaultUploadBudget)
	}
	if opts.SuspectParts == nil {
		opts.SuspectParts = suspect.NewParts(nil)
	}
	if opts.SuspectRequests == nil {
		opts.SuspectRequests = suspect.NewRequests(opts.SuspectParts, nil)
	}
	if opts.Origins == nil {
		opts.Origins = noOrigins{}
	}
	if opts.OnCrash == nil {
		opts.OnCrash = func() {}
	}
	if opts.OnNotice == nil {
		opts.OnNotice = func() {}
	}
	if opts.OnUpload == nil {
		opts.OnUpload = func(context.Context, string) {}
	}
	if opts.OnRead == nil {
		opts.OnRead = func(context.Context) {}
	}
	if opts.AwaitState == nil {
		opts.AwaitState = func(context.Context) {}
	}
	return &Gateway{
		opts: opts, crashes: newCrashTracker(opts), readDelay: dispatch.NewReadDelay(engineReadDelay),
		inFlight: inFlight{requests: make(map[*progress]bool)}, promptLimits: newPromptLimits(opts),
	}
}

// DisableKeepAlives makes every response close its connection, so that clients move to other
// entries.
func (g *Gateway) DisableKeepAlives() { g.keepAlivesDisabled.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, span := tracer.Start(r.Context(), "request")
	defer span.End()
	q := &request{gw: g, w: w, r: r.WithContext(ctx), started: time.Now()}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer q.kept.release()
	q.progress = &progress{cancel: cancel, unblockBody: unblockBody(w)}
	q.incoming = upload.NewBody(r)
	g.inFlight.add(q.progress)
	defer g.inFlight.remove(q.progress)
	if g.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	g.opts.Metrics.InFlight.Inc()
	defer g.opts.Metrics.InFlight.Dec()
	defer q.log()
	defer q.discardSecured()
	defer func() { q.assignment.GiveUp() }()
	defer q.answerAfterPanic()
	g.opts.AwaitState(ctx)
	q.admissible = time.Now()
	if resp := q.admit(); resp != nil {
		q.respondAfterBody(*resp)
		return
	}
	ctx, cancelDeadline := context.WithDeadline(ctx, q.deadline)
	defer cancelDeadline()
	if q.route.Kind == catalog.Streaming {
		q.serveStream(ctx)
		return
	}
	q.respond(q.serveBuffered(ctx))
}

// request is one incoming request. A client that retries sends a new attempt ID.
type request struct {
	gw      *Gateway
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	// admissible is when the state that the request needs was known.
	admissible time.Time
	// progress is the phase of the request.
	progress *progress

	// headers are the client's platform headers.
	headers fleet.Request
	table   *catalog.Table
	route   *catalog.Route
	org     *catalog.Organisation
	service string
	// assignment is the version for which the request is meant while a roll-out of its service is undecided.
	assignment *canary.Assignment
	// version is the software version that has sent events of the stream; empty if none has. It is set in
	// the request's own goroutine, and read by its silence timer.
	version atomic.Pointer[string]
	// incoming is the body as it arrives, body what was read of an admitted request.
	incoming *upload.Body
	body     []byte
	// kept is what the request holds of the budgets for bodies.
	kept heldMemory
	// arrivedAt is when the end of the body was read.
	arrivedAt time.Time
	// lastEventAfter is the time from started to the last event of the stream, in nanoseconds; 0 before the first.
	lastEventAfter atomic.Int64
	// stageRuns counts how often the stages have been submitted.
	stageRuns atomic.Int64
	deadline  time.Time
	record    accessRecord
	// cachedDigest is the result of digest, which runs in the request's own goroutine.
	cachedDigest string
	// headerSent is set once the header of a response has been written to the client.
	headerSent bool
	// silence is the last verdict on a silent endpoint; nil if none was silent.
	silence atomic.Pointer[string]
	// unframedEnd is the last verdict on the process that sent a response without a length; nil if none did.
	unframedEnd atomic.Pointer[string]
	// secured is the replacement for which the last attempt was abandoned, until it is used.
	secured atomic.Pointer[replacement]
}

// answerAfterPanic is deferred. It logs a panic and answers the request, for which net/http would close the
// connection without an answer. A response that has begun is cut.
func (q *request) answerAfterPanic() {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	q.logPanic(p)
	if q.headerSent {
		q.record.outcome = "broken off"
		q.cutResponse()
	}
	q.respondAfterBody(*unknownOutcomeResponse("internal error"))
}

// logPanic counts and logs a panic with the stack of the deferring goroutine.
func (q *request) logPanic(p any) {
	q.gw.opts.Metrics.Panics.Inc()
	q.gw.opts.Logger.Error("request handler panicked", "request", q.headers.AttemptID, "panic", p, "stack", string(debug.Stack()))
}

// admit reads and validates a request and looks up its route, organisation and service. It returns
// a response if the request must not proceed, and nil otherwise.
func (q *request) admit() *response {
	headers, err := fleet.DecodeRequest(q.r.Header)
	q.headers = headers
	if err != nil {
		return clientError(http.StatusBadRequest, err.Error())
	}
	if q.table = q.gw.opts.Table(); q.table == nil {
		return notRunResponse("no configuration is known yet", unconfiguredRetryAfter)
	}
	if !q.progress.advance(phaseReading) {
		return stoppedResponse()
	}
	if q.route = q.table.Route(q.r.Host, requestPath(q.r.RequestURI)); q.route == nil {
		return clientError(http.StatusNotFound, "no route")
	}
	if resp := q.authorise(); resp != nil {
		return resp
	}
	timeout := q.route.Timeout
	if headers.Timeout > 0 && (timeout == 0 || headers.Timeout < timeout) {
		timeout = headers.Timeout
	}
	q.deadline = q.started.Add(timeout - deadlineMargin)
	q.service = q.route.Service(headers.AttemptID)
	if s := q.table.Services[q.service]; s != nil && s.KVCacheTokens > 0 && headers.PromptTokens > s.KVCacheTokens {
		q.gw.promptLimits.exceeded(q, cachedTokens)
		return clientError(http.StatusRequestEntityTooLarge, "the prompt is longer than the cache of any engine")
	}
	if resp := q.readBody(); resp != nil {
		return resp
	}
	// The body may have arrived while the state was awaited.
	q.arrivedAt = time.Now().Add(-q.admissible.Sub(q.started))
	if !q.progress.advance(phaseWaiting) {
		return stoppedResponse()
	}
	if reason := q.gw.crashes.refusal(q); reason != "" {
		return notRunResponse(reason, suspectRetryAfter)
	}
	q.assignment = q.gw.opts.Rollouts.Assign(time.Now(), q.service, func(f roster.Filter) bool {
		f.Regions = q.allowedRegions()
		return len(q.gw.opts.Roster.Candidates(time.Now(), f)) > 0
	})
	return nil
}

// requestPath returns the path of a request URI without decoding it.
func requestPath(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// authorise looks up the organisation by its API key. It returns a response if the route is not
// public and the key is missing or unknown. Without any configured organisation all requests pass.
func (q *request) authorise() *response {
	if len(q.table.Organisations) == 0 {
		return nil
	}
	if q.headers.APIKey != "" {
		q.org = q.table.Organisation(q.headers.APIKey)
	}
	if q.org == nil && !q.route.Public {
		return clientError(http.StatusUnauthorized, "unknown key")
	}
	return nil
}

// organisationName returns the name that is forwarded to the endpoint, or "" if there is no
// organisation.
func (q *request) organisationName() string {
	if q.org == nil {
		return ""
	}
	return q.org.Name
}

// allowedRegions returns the regions that may serve the request; an empty list allows all.
func (q *request) allowedRegions() []string {
	switch {
	case q.org == nil || len(q.org.Regions) == 0:
		return q.route.Regions
	case len(q.route.Regions) == 0:
		return q.org.Regions
	}
	var common []string
	for _, routeRegion := range q.route.Regions {
		for _, orgRegion := range q.org.Regions {
			if routeRegion == orgRegion {
				common = append(common, routeRegion)
			}
		}
	}
	if len(common) == 0 {
		common = []string{""} // matches no region, as an empty list would allow all
	}
	return common
}

// filter selects the endpoints that may serve the request.
func (q *request) filter() roster.Filter {
	f := roster.Filter{Service: q.service, Regions: q.allowedRegions()}
	if v := q.version.Load(); v != nil {
		f.Version = *v
	}
	return q.assignment.Filter(f)
}

// untried selects the endpoints that may serve the request and have not been tried.
func (q *request) untried(tried map[string]bool) roster.Filter {
	f := q.filter()
	f.Tried = tried
	return f
}

// discardSecured returns a secured replacement that the request did not use.
func (q *request) discardSecured() {
	if r := q.secured.Swap(nil); r != nil {
		r.discard()
	}
}

// clientGone reports whether the client has disconnected.
func (q *request) clientGone() bool { return q.r.Context().Err() != nil && !q.progress.wasUnblocked() }

// remaining returns the time until the request's deadline.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }

// Package gateway takes clients' requests on the platform's routes and answers
// each whole or refuses it truthfully: it finds the route and the organisation,
// has the stages done, chooses an endpoint, and repeats only what may be
// repeated.
package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/retrybudget"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/suspect"
	"github.com/azurelead/azurelead/upstream"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

const (
	// deadlineMargin covers the way of the request to this entry and of the
	// answer to the client.
	deadlineMargin = 20 * time.Millisecond
	// unconfiguredRetry is when a client may come back to an entry that knows no
	// configuration yet.
	unconfiguredRetry = 300 * time.Millisecond
	// busyRetry is when a client may come back while no endpoint takes work.
	busyRetry = 500 * time.Millisecond
	// stoppingRetry is when a client of a stopping entry may try another one.
	stoppingRetry = 50 * time.Millisecond
	// defaultBodyLimit bounds a body until the configuration does, in bytes.
	defaultBodyLimit = 4 << 20
)

var tracer = otel.Tracer("github.com/azurelead/azurelead/gateway")

// StageRunner has the stages of requests done.
type StageRunner interface {
	// Submit answers when the stages ended, or at once with a refusal.
	Submit(ctx context.Context, j dispatch.Job, subject string) (peers.Outcome, StageResults, error)
}

// StageResults stands for the results of one job.
type StageResults interface {
	// Release gives the results up once they were read or are of no use, and
	// tells whether the engine failed that was to read them.
	Release(engineFailed bool)
}

// Options configures a Gateway.
type Options struct {
	DataCentre   string
	Table        func() *catalog.Table
	Roster       *roster.Roster
	Upstream     *upstream.Client
	Stages       StageRunner
	RetryBudgets *retrybudget.Set
	// RetryPercent is the share of repeated requests that a service may get.
	RetryPercent func() int
	// Suspects holds the requests that crashed endpoints.
	Suspects *suspect.Table
	Logger   *slog.Logger
	Metrics  *Metrics
}

// Gateway is the clients' handler. It is safe for concurrent use.
type Gateway struct {
	o        Options
	crashes  *crashes
	stopping atomic.Bool
	closing  atomic.Bool
}

// New returns a gateway.
func New(o Options) *Gateway {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	if o.Suspects == nil {
		o.Suspects = suspect.New(suspect.Options{})
	}
	return &Gateway{o: o, crashes: newCrashes(o.Suspects)}
}

// DisableKeepAlives lets clients move to other entries: answers close their connections.
func (g *Gateway) DisableKeepAlives() { g.stopping.Store(true) }

// RejectNewRequests answers new requests as not run; it follows Stop once the balancer
// sends no new connections.
func (g *Gateway) RejectNewRequests() { g.closing.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, span := tracer.Start(r.Context(), "request")
	defer span.End()
	q := &request{g: g, w: w, r: r.WithContext(ctx), began: time.Now()}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	g.o.Metrics.InFlight.Inc()
	defer g.o.Metrics.InFlight.Dec()
	defer q.log()
	if a := q.admit(); a != nil {
		q.answer(*a)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if q.route.Kind == catalog.Streaming {
		q.serveStream(ctx)
		return
	}
	q.answer(q.serveWhole(ctx))
}

// request is one attempt of a client.
type request struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	began time.Time

	head     fleet.Request
	table    *catalog.Table
	route    *catalog.Route
	org      *catalog.Organisation
	service  string
	body     []byte
	deadline time.Time
	trace    trace
}

// admit reads a request and finds what it asks for. It returns the answer to a
// request that goes no further.
func (q *request) admit() *answer {
	head, err := fleet.DecodeRequest(q.r.Header)
	q.head = head
	if err != nil {
		return refusal(http.StatusBadRequest, err.Error())
	}
	if q.table = q.g.o.Table(); q.table == nil {
		return notRun("no configuration is known yet", unconfiguredRetry)
	}
	if q.g.closing.Load() {
		return notRun("this entry is stopping", stoppingRetry)
	}
	if q.route = q.table.Route(q.r.Host, pathOf(q.r.RequestURI)); q.route == nil {
		return refusal(http.StatusNotFound, "no route")
	}
	if a := q.authorise(); a != nil {
		return a
	}
	wait := q.route.Timeout
	if head.Timeout > 0 && (wait == 0 || head.Timeout < wait) {
		wait = head.Timeout
	}
	q.deadline = q.began.Add(wait - deadlineMargin)
	q.service = q.route.Service(head.AttemptID)
	if a := q.readBody(); a != nil {
		return a
	}
	if q.g.crashes.refused(q.digest()) {
		return notRun("the request has crashed the endpoints that ran it", suspectRetry)
	}
	return nil
}

// pathOf is the path of a request's target as the client wrote it.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

func (q *request) authorise() *answer {
	if len(q.table.Organisations) == 0 {
		return nil
	}
	if q.head.APIKey != "" {
		q.org = q.table.Organisation(q.head.APIKey)
	}
	if q.org == nil && !q.route.Public {
		return refusal(http.StatusUnauthorized, "unknown key")
	}
	return nil
}

func (q *request) readBody() *answer {
	limit := q.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal(http.StatusRequestEntityTooLarge, "body too large")
	case err != nil:
		q.trace.outcome = "body not read"
		return refusal(http.StatusBadRequest, "body not read")
	}
	q.body = body
	return nil
}

// organisation is the name that the endpoint is told.
func (q *request) organisation() string {
	if q.org == nil {
		return ""
	}
	return q.org.Name
}

// regions are the only ones that may serve the request; all if empty.
func (q *request) regions() []string {
	switch {
	case q.org == nil || len(q.org.Regions) == 0:
		return q.route.Regions
	case len(q.route.Regions) == 0:
		return q.org.Regions
	}
	var both []string
	for _, r := range q.route.Regions {
		for _, o := range q.org.Regions {
			if r == o {
				both = append(both, r)
			}
		}
	}
	if len(both) == 0 {
		both = []string{""} // no region is allowed
	}
	return both
}

// gone reports whether the client has left.
func (q *request) gone() bool { return q.r.Context().Err() != nil }

// left is the time until the client's deadline.
func (q *request) left() time.Duration { return time.Until(q.deadline) }

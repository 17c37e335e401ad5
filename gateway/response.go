package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
)

// response is a complete response, either from an endpoint or generated locally by the gateway.
type response struct {
	status int
	// header and body are those of an endpoint's response.
	header http.Header
	body   []byte
	// local is set for responses that the gateway generated itself; reason then says why.
	local  bool
	reason string
	// retryAfter is the delay after which the client may retry. It is set only for requests that
	// did not run.
	retryAfter time.Duration
}

// heldMemory is what a request holds of budgets: its body, and responses that were read completely. It is safe for
// concurrent use.
type heldMemory struct {
	mu       sync.Mutex
	releases []func()
}

// add adds a function that gives back a part of what is held.
func (m *heldMemory) add(release func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releases = append(m.releases, release)
}

// release gives all back.
func (m *heldMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, release := range m.releases {
		release()
	}
}

// clientError returns the final response to a request that cannot be served in its present form.
func clientError(status int, reason string) *response {
	return &response{status: status, local: true, reason: reason}
}

// notRunResponse returns a 503 response, which promises that the request has not run and never will.
func notRunResponse(reason string, retryAfter time.Duration) *response {
	return &response{status: http.StatusServiceUnavailable, local: true, reason: reason, retryAfter: retryAfter}
}

// unknownOutcomeResponse returns a 502 response, for requests that may have run.
func unknownOutcomeResponse(reason string) *response {
	return &response{status: http.StatusBadGateway, local: true, reason: reason}
}

// deadlineResponse returns a 504 response, for requests that may have run and whose time has ended.
func deadlineResponse(reason string) *response {
	return &response{status: http.StatusGatewayTimeout, local: true, reason: reason}
}

// errFirstEventLate is the cause of contexts of streams that have sent no event while their client waits.
var errFirstEventLate = Error.New("no event within the client's patience")

// stoppedResponse returns the response to a request that has not run because this entry stops.
func stoppedResponse() *response { return notRunResponse(stoppingReason, stoppingRetryAfter) }

// endedResponse returns the response to a request that may have run and whose context has ended.
func endedResponse(ctx context.Context) *response {
	switch cause := context.Cause(ctx); {
	case isStopping(ctx):
		return unknownOutcomeResponse(stoppingReason)
	case errors.Is(cause, errFirstEventLate):
		return deadlineResponse(cause.Error())
	case errors.Is(ctx.Err(), context.Canceled):
		return unknownOutcomeResponse(clientLeftReason)
	}
	return deadlineResponse("deadline")
}

// errorBody is the JSON body of locally generated responses.
type errorBody struct {
	Reason string `json:"reason"`
}

// abandon ends a request whose client has closed its side of the connection, and may still read: returning from the
// handler would send it a success, or the regular end of its stream. It is told whether the request may have run.
func (q *request) abandon() {
	if !q.headerSent {
		resp := notRunResponse(clientLeftReason, busyRetryAfter)
		if q.progress.reached(phaseSent) {
			resp = unknownOutcomeResponse(clientLeftReason)
		}
		q.respond(*resp)
		// A failure to flush says that the client has left entirely.
		_ = http.NewResponseController(q.w).Flush()
		q.record.outcome = clientLeftOutcome
		panic(http.ErrAbortHandler)
	}
	q.record.outcome = clientLeftOutcome
	q.cutResponse()
}

// cutResponse ends a response that has begun, and the handler, so that the client does not take what it has for all of
// the response. The regular end of a connection is that of a response in HTTP/1.0.
func (q *request) cutResponse() {
	if !q.r.ProtoAtLeast(1, 1) {
		if err := q.resetConnection(); err != nil {
			q.gw.opts.Logger.Warn("failed to reset a connection", "request", q.headers.AttemptID, "error", err)
		}
	}
	panic(http.ErrAbortHandler)
}

func (q *request) resetConnection() error {
	conn, _, err := http.NewResponseController(q.w).Hijack()
	if err != nil {
		return Error.Wrap(err)
	}
	if r, ok := conn.(interface{ Reset() error }); ok {
		return r.Reset()
	}
	return conn.Close()
}

const (
	// clientLeftOutcome is the outcome in the log of requests whose clients closed their side of the connection.
	clientLeftOutcome = "client left"
	clientLeftReason  = "the client has closed its side of the connection"
)

// responseWriteTime is the time after the deadline of a request, or the end of one that is refused, in which its client may
// read a complete response.
const responseWriteTime = 10 * time.Second

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// respond writes a complete response to the client.
func (q *request) respond(resp response) {
	q.record.status, q.record.local, q.record.reason = resp.status, resp.local, resp.reason
	if q.clientGone() {
		q.record.outcome = clientLeftOutcome // it may still read
	}
	q.headerSent = true
	// A client that does not read would hold the response for ever. Writers without deadlines are those of tests.
	_ = http.NewResponseController(q.w).SetWriteDeadline(laterOf(q.deadline, time.Now()).Add(responseWriteTime))
	h := q.w.Header()
	if !resp.local {
		fleet.CopyResponseHeader(h, resp.header)
		q.w.WriteHeader(resp.status)
		_, _ = q.w.Write(resp.body) // the request's context reports a client that disconnected
		return
	}
	fleet.SetAttemptID(h, q.headers.AttemptID)
	h.Set("Content-Type", "application/json")
	if resp.retryAfter > 0 {
		q.record.retryAfter = resp.retryAfter
		fleet.SetRetryAfter(h, resp.retryAfter)
	}
	body, err := json.Marshal(errorBody{Reason: resp.reason})
	if err != nil {
		q.gw.opts.Logger.Error("failed to encode a response", "request", q.headers.AttemptID, "error", err)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(resp.status)
	_, _ = q.w.Write(body)
}

// respondAfterBody writes the response to a request that goes no further, once its body has been read: a client may
// send all of its request before it reads. If the body is not read to its end, the connection is closed after the
// response.
func (q *request) respondAfterBody(resp response) {
	err := q.discardBody()
	if err == nil {
		q.respond(resp)
		return
	}
	q.w.Header().Set("Connection", "close")
	q.respond(resp)
	// Otherwise net/http waits for the rest of a short body, without a bound.
	if err := q.setReadDeadline(time.Now()); err != nil {
		q.gw.opts.Logger.Warn("failed to bound the reading of a body", "request", q.headers.AttemptID, "error", err)
	}
}

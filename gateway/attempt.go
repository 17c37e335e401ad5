package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/canary"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/upstream"
)

// attemptResult says how far a request sent to one endpoint got.
type attemptResult int

const (
	// resultAnswered means that the response header was read, and the body is to be read.
	resultAnswered attemptResult = iota
	// resultNotSent means that the endpoint never received the request.
	resultNotSent
	// resultRejected means that the endpoint states that it did not run the request.
	resultRejected
	// resultLost means that the request may have run.
	resultLost
)

// attempt is one request sent to one endpoint.
type attempt struct {
	endpoint roster.Candidate
	resp     *http.Response
	// info is decoded from the header of the response.
	info   fleet.Response
	result attemptResult
	err    error
	sentAt time.Time
	// firstByte is the time from sentAt to the head of the response.
	firstByte time.Duration
	// patience is the time without an answer after which the endpoint counts as hung if another one has answered, or
	// the client would leave.
	patience time.Duration
	// progressAt is when the endpoint last sent an event that continues a stream; zero if it sent none.
	progressAt time.Time
	// events counts the events of a stream that the endpoint has sent, of which the first came firstEvent after sentAt.
	events     int
	firstEvent time.Duration
	// rollout records the attempt for the roll-out of its service.
	rollout *canary.Send
}

// mayHaveCrashed reports whether the prompt may have crashed the endpoint: it was beginning the answer, and
// the connection was closed. A connection that timed out shows a partition instead.
func (a *attempt) mayHaveCrashed() bool {
	return a.events < beginningEvents && !isTimeout(a.err)
}

// errNoBody ends an attempt whose response has a head without a length, and nothing else.
var errNoBody = Error.New("a response without a length ended after its head")

// readWhole reads the body of a response that is forwarded only as a whole. It fails if the body may not be whole.
// The response counts towards the budget until the end of the request.
func (q *request) readWhole(ctx context.Context, a *attempt) ([]byte, error) {
	body, err := upstream.ReadBody(a.resp, maxResponseBytes)
	if err == nil {
		err = q.checkEnd(ctx, a, body)
	}
	if err == nil {
		q.kept.add(upstream.Detach(a.resp))
	}
	return body, err
}

// checkEnd returns why a response that was read to the end of its body may not be whole, or nil. An endpoint that
// fails after it has sent a head without a length closes the connection like one whose body is empty.
func (q *request) checkEnd(ctx context.Context, a *attempt, body []byte) error {
	success := a.resp.StatusCode/100 == 2
	if success && len(body) == 0 && q.r.Method != http.MethodHead && upstream.IsCloseDelimited(a.resp) {
		return errNoBody
	}
	return q.checkProcessAtEnd(ctx, a)
}

// checkProcessAtEnd returns why a response that has been read may be cut off without a sign, or nil: its end is that of
// its connection, and the process that sent it is gone. The kernel closes the connections of a process that crashes as
// regularly as the process itself does.
func (q *request) checkProcessAtEnd(ctx context.Context, a *attempt) error {
	if !upstream.IsCloseDelimited(a.resp) {
		return nil
	}
	verdict := q.processAtEnd(ctx, a.endpoint)
	q.unframedEnd.Store(&verdict)
	q.gw.opts.Metrics.UnframedEnds.WithLabelValues(q.service, verdict).Inc()
	if verdict != processServes {
		return Error.New("the endpoint's process was %s at the end of a response without a length", verdict)
	}
	return nil
}

// finish closes the response, discarding any unread body, and records the end of the attempt in the
// roster.
func (a *attempt) finish(r *roster.Roster) {
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	r.End(a.endpoint.Endpoint)
	a.rollout.End()
}

// send sends the request to an endpoint. The caller must call finish on the attempt. It is safe for concurrent
// use.
func (q *request) send(ctx context.Context, c roster.Candidate, fwd fleet.Forwarding, patience time.Duration) *attempt {
	a := &attempt{endpoint: c, sentAt: time.Now(), patience: patience}
	if !q.progress.advance(phaseSent) {
		a.result, a.err = resultNotSent, errStopping
		return a
	}
	fwd.Timeout = q.remaining()
	fwd.Endpoint = c.ID
	fwd.Organisation = q.organisationName()
	q.assignment.Use(c.Endpoint)
	a.rollout = q.gw.opts.Rollouts.Begin(c.Endpoint, q.route.Name, c.Cold)
	a.resp, a.err = q.gw.opts.Upstream.Do(ctx, upstream.Target{ID: c.ID, Address: c.Address}, upstream.Request{
		Method: q.r.Method,
		URI:    q.r.RequestURI,
		Host:   q.r.Host,
		Header: fleet.ForwardHeader(q.r.Header, fwd),
		Body:   q.body,
		ID:     q.headers.AttemptID,
	})
	now := time.Now()
	switch {
	case upstream.NotSent.Has(a.err):
		a.result = resultNotSent
		q.reportOutcome(ctx, now, a, roster.Unreachable)
	case a.err != nil:
		a.result = resultLost
		q.reportOutcome(ctx, now, a, roster.ConnectionLost)
	default:
		a.firstByte = now.Sub(a.sentAt)
		a.info = fleet.DecodeResponse(a.resp.StatusCode, a.resp.Header)
		q.recordResponse(now, a)
	}
	return a
}

// reportOutcome records the outcome of an attempt in the roster, unless the attempt ended because the
// client disconnected or because its time ran out before the endpoint had minHangTime to answer. An attempt that
// was ended here shows nothing about a crash.
func (q *request) reportOutcome(ctx context.Context, now time.Time, a *attempt, outcome roster.Outcome) {
	ended := ctx.Err() != nil || q.secured.Load() != nil
	if outcome == roster.ConnectionLost && (!ended || q.wasSilent(ctx, now, a)) {
		a.rollout.Lost()
	}
	if !ended && outcome == roster.ConnectionLost {
		interrupted := interruptedRequest{digest: q.digest(), incarnation: a.endpoint.Incarnation, at: now}
		if a.mayHaveCrashed() {
			interrupted.parts = q.sharedParts()
		}
		q.gw.crashes.recordInterrupted(a.endpoint.ID, interrupted)
		if !q.reachable(ctx, a.endpoint) && ctx.Err() == nil {
			outcome = roster.Unreachable
		}
	}
	if outcome == roster.Unreachable && !ended {
		q.gw.EndpointLost(a.endpoint.ID)
	}
	if !ended || q.wasSilent(ctx, now, a) {
		q.gw.opts.Roster.Report(now, a.endpoint.Endpoint, outcome, now.Sub(a.sentAt))
	}
}

// wasSilent reports whether an attempt was ended here because its endpoint did not answer.
func (q *request) wasSilent(ctx context.Context, now time.Time, a *attempt) bool {
	if isStopping(ctx) {
		return false
	}
	since, hangTime := a.sentAt, minHangTime
	if cause := context.Cause(ctx); errors.Is(cause, errAnsweredElsewhere) || errors.Is(cause, errFirstEventLate) {
		hangTime = a.patience
	}
	if a.progressAt.After(since) {
		since, hangTime = a.progressAt, q.gapTimeout()
	}
	return !q.clientGone() && now.Sub(since) > hangTime
}

// gapTimeout returns the time without an event after which a stream counts as stalled.
func (q *request) gapTimeout() time.Duration {
	return max(time.Duration(silenceGapFactor*float64(q.route.EventGapTarget)), minSilenceTimeout)
}

// abandonFor returns a function that ends an attempt by cancel, because its endpoint is silent and a replacement
// is secured.
func (q *request) abandonFor(cancel context.CancelFunc) func(*replacement) {
	return func(r *replacement) {
		q.secured.Store(r)
		q.noteSilence(silenceReplaced)
		cancel()
	}
}

// minHangTime is the shortest time without an answer after which an endpoint counts as hung.
const minHangTime = 250 * time.Millisecond

// recordResponse passes what the head of a response says of the endpoint to the roster, and classifies the response.
// How the request ended is reported once its body was read.
func (q *request) recordResponse(now time.Time, a *attempt) {
	load := -1
	if a.info.LoadKnown {
		load = a.info.Running + a.info.Waiting
	}
	changed := q.gw.opts.Roster.RecordStatus(now, a.endpoint.Endpoint, roster.Status{
		Load: load, ColdRemaining: a.info.ColdRemaining, Leaving: a.info.Leaving, RetryAfter: a.info.RetryAfter,
		Limit: roster.RateLimit{Active: a.info.Limited, PerSecond: a.info.Limit}, LimitUnknown: !a.info.Signed && !a.info.NotRun, SentAt: a.sentAt,
	})
	if changed {
		q.gw.opts.OnNotice()
	}
	switch {
	case a.info.NotRun:
		a.rollout.End()
		a.result = resultRejected
		q.gw.opts.Roster.Report(now, a.endpoint.Endpoint, roster.Refused, a.firstByte)
	case a.resp.StatusCode/100 == 2 && !a.info.Signed:
		// Endpoints sign their responses, so an unsigned success came from somewhere else.
		a.rollout.Lost()
		a.result = resultLost
		q.gw.opts.Roster.Report(now, a.endpoint.Endpoint, roster.Failed, a.firstByte)
	}
}

// reportWhole records in the roster that the endpoint has sent its whole response.
func (q *request) reportWhole(a *attempt) {
	outcome := roster.Answered
	if a.resp.StatusCode >= http.StatusInternalServerError {
		outcome = roster.Failed
	}
	q.gw.opts.Roster.Report(time.Now(), a.endpoint.Endpoint, outcome, a.firstByte)
	a.rollout.Answered(outcome == roster.Failed, q.relativeLatency(a))
}

// relativeLatency returns the time to the answer of an attempt, or to its first event, in proportion to the forecast if
// there is one: servers of a new version have read no prompts yet.
func (q *request) relativeLatency(a *attempt) time.Duration {
	latency := cmp.Or(a.firstEvent, a.firstByte)
	if forecast := q.record.firstEventForecast; forecast > 0 {
		return time.Duration(float64(time.Second) * float64(latency) / float64(forecast))
	}
	return latency
}

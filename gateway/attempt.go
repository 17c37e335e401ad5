package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/upstream"
)

// attemptResult says how far a request sent to one endpoint got.
type attemptResult int

const (
	// resultAnswered means that the response header was read.
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
	// events counts the events of a stream that the endpoint has sent.
	events int
}

// mayHaveCrashed reports whether the prompt may have crashed the endpoint: it was beginning the answer, and
// the connection was closed. A connection that timed out shows a partition instead.
func (a *attempt) mayHaveCrashed() bool {
	var timeout interface{ Timeout() bool }
	return a.events < beginningEvents && !(errors.As(a.err, &timeout) && timeout.Timeout())
}

// finish closes the response, discarding any unread body, and records the end of the attempt in the
// roster.
func (a *attempt) finish(r *roster.Roster) {
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	r.End(a.endpoint.ID)
}

// send sends the request to an endpoint. The caller must call finish on the attempt.
func (q *request) send(ctx context.Context, c roster.Candidate, fwd fleet.Forwarding) *attempt {
	a := &attempt{endpoint: c, sentAt: time.Now()}
	fwd.Timeout = q.remaining()
	fwd.Endpoint = c.ID
	fwd.Organisation = q.organisationName()
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
		a.info = fleet.DecodeResponse(a.resp.StatusCode, a.resp.Header)
		q.recordResponse(now, a)
	}
	q.record.addAttempt(a)
	return a
}

// reportOutcome records the outcome of an attempt in the roster, unless the attempt ended because the
// client disconnected or because its time ran out before the endpoint had minHangTime to answer.
func (q *request) reportOutcome(ctx context.Context, now time.Time, a *attempt, outcome roster.Outcome) {
	if ctx.Err() == nil && outcome == roster.ConnectionLost {
		interrupted := interruptedRequest{digest: q.digest(), incarnation: a.endpoint.Incarnation, at: now}
		if a.mayHaveCrashed() {
			interrupted.parts = q.sharedParts()
		}
		q.gw.crashes.recordInterrupted(a.endpoint.ID, interrupted)
		if !q.reachable(ctx, a) {
			outcome = roster.Unreachable
		}
	}
	if outcome == roster.Unreachable {
		q.gw.EndpointLost(a.endpoint.ID)
	}
	if ctx.Err() == nil || q.endedBySilence(ctx, now, a) {
		q.gw.opts.Roster.Report(now, a.endpoint.ID, outcome, now.Sub(a.sentAt))
	}
}

// reachable tries to open a new connection to an endpoint whose connection failed. A refused
// connection distinguishes a crash from a lost response before the request is sent elsewhere.
func (q *request) reachable(ctx context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	return q.gw.opts.Upstream.Reachable(ctx, upstream.Target{ID: a.endpoint.ID, Address: a.endpoint.Address})
}

// crashProbeTimeout bounds the connection attempt that checks whether an endpoint is still up. It
// allows several round trips between data centres.
const crashProbeTimeout = 100 * time.Millisecond

// endedBySilence reports whether an attempt was cancelled because the endpoint did not answer.
func (q *request) endedBySilence(ctx context.Context, now time.Time, a *attempt) bool {
	return ctx.Err() != nil && !q.clientGone() && now.Sub(a.sentAt) > minHangTime
}

// abandonSilent ends an attempt whose endpoint has been silent for too long, if the request may be sent
// to another endpoint: there is one, and the retry budget pays for it. Otherwise the attempt goes on,
// because the endpoint may only be slow. It is safe for concurrent use with the attempt.
func (q *request) abandonSilent(cancel context.CancelFunc) bool {
	if len(q.gw.opts.Roster.Candidates(time.Now(), q.filter())) < 2 {
		return false
	}
	if !q.gw.opts.RetryBudgets.For(q.service).TryWithdraw() {
		return false
	}
	q.retryReserved.Store(true)
	cancel()
	return true
}

// takeReservedRetry reports whether abandonSilent has paid for the next retry.
func (q *request) takeReservedRetry() bool { return q.retryReserved.Swap(false) }

// minHangTime is the shortest time without an answer after which an endpoint counts as hung.
const minHangTime = 250 * time.Millisecond

// recordResponse passes what the endpoint reported of itself to the roster, and classifies the
// response.
func (q *request) recordResponse(now time.Time, a *attempt) {
	load := -1
	if a.info.LoadKnown {
		load = a.info.Running + a.info.Waiting
	}
	changed := q.gw.opts.Roster.RecordStatus(now, a.endpoint.ID, roster.Status{
		Load: load, ColdRemaining: a.info.ColdRemaining, Leaving: a.info.Leaving, RetryAfter: a.info.RetryAfter,
		Limit: roster.RateLimit{Active: a.info.Limited, PerSecond: a.info.Limit}, LimitUnknown: !a.info.Signed && !a.info.NotRun, SentAt: a.sentAt,
	})
	if changed {
		q.gw.opts.OnNotice()
	}
	outcome := roster.Answered
	switch {
	case a.info.NotRun:
		a.result = resultRejected
		outcome = roster.Refused
	case a.resp.StatusCode/100 == 2 && !a.info.Signed:
		// Endpoints sign their responses, so an unsigned success came from somewhere else.
		a.result = resultLost
		outcome = roster.Failed
	case a.resp.StatusCode >= http.StatusInternalServerError:
		outcome = roster.Failed
	}
	q.gw.opts.Roster.Report(now, a.endpoint.ID, outcome, now.Sub(a.sentAt))
}

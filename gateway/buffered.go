package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/placement"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/upstream"
)

const (
	// maxSends bounds the number of endpoints that a request is sent to, including those that did
	// not run it.
	maxSends = 4
	// attemptTimeoutShare is the share of the remaining time that one attempt may take if another
	// endpoint may be tried after it.
	attemptTimeoutShare = 0.4
	// maxResponseBytes bounds a response that is read completely before it is forwarded.
	maxResponseBytes = 8 << 20
	// minAttemptTimeout is the lower bound of the timeout after which another endpoint is tried.
	minAttemptTimeout = 300 * time.Millisecond
)

// serveBuffered serves a request whose response is read completely before it is forwarded.
func (q *request) serveBuffered(ctx context.Context) response {
	budget := q.gw.opts.RetryBudgets.For(q.service)
	budget.Deposit(q.gw.opts.RetryPercent())
	tried := make(map[string]bool)
	runs := 0
	var lastResp *response
	for sends := 0; sends < maxSends && ctx.Err() == nil; sends++ {
		if runs > 0 && q.gw.crashes.refusal(q) != "" {
			break
		}
		c, found := q.chooseEndpoint(tried)
		if !found {
			break
		}
		if sends > 0 && q.record.reachedEndpoint() && !q.record.noteRetry(q.takeReservedRetry() || budget.TryWithdraw()) {
			q.record.reason = "retry budget spent"
			break
		}
		if !q.gw.opts.Roster.Begin(time.Now(), c.ID) {
			tried[c.ID] = true
			continue
		}
		tried[c.ID] = true
		a, resp := q.tryBuffered(ctx, c, runs+1 < q.route.MaxAttempts)
		switch a.result {
		case resultNotSent, resultRejected:
			continue
		case resultAnswered:
			if resp.status < http.StatusInternalServerError && !promisesNotRun(resp.status) {
				q.endedWell()
				return *resp
			}
			if !q.route.Repeatable() {
				if promisesNotRun(resp.status) {
					return *unknownOutcomeResponse("an endpoint's refusal does not say that it did not run the request")
				}
				return *resp
			}
		}
		runs++
		lastResp = resp
		if !q.route.Repeatable() || runs >= q.route.MaxAttempts {
			break
		}
	}
	switch {
	case lastResp != nil:
		return *lastResp
	case runs > 0 && ctx.Err() != nil:
		return *deadlineResponse()
	case runs > 0:
		return *unknownOutcomeResponse("an endpoint got the request and its answer was lost")
	}
	return *notRunResponse("no endpoint took the request", q.endpointRetryAfter())
}

// endpointRetryAfter returns the retry delay for a request that no endpoint took: the time until the
// first endpoint takes requests again if all have asked for a pause or have a limit.
func (q *request) endpointRetryAfter() time.Duration {
	return cmp.Or(q.gw.opts.Roster.Delay(time.Now(), q.filter()), busyRetryAfter)
}

// tryBuffered sends the request to one endpoint and reads the complete response.
func (q *request) tryBuffered(ctx context.Context, c roster.Candidate, canRetry bool) (*attempt, *response) {
	if canRetry && q.route.Repeatable() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		silence := newSilenceTimer(func() bool { return q.abandonSilent(cancel) })
		defer silence.disable()
		silence.reset(q.attemptTimeout(c))
	}
	a := q.send(ctx, c, fleet.Forwarding{})
	defer a.finish(q.gw.opts.Roster)
	if a.result != resultAnswered {
		return a, nil
	}
	body, err := upstream.ReadBody(a.resp, maxResponseBytes)
	if err != nil {
		a.result, a.err = resultLost, err
		q.reportOutcome(ctx, time.Now(), a, roster.ConnectionLost)
		return a, nil
	}
	return a, &response{status: a.resp.StatusCode, header: a.resp.Header, body: body}
}

// attemptTimeout returns how long an endpoint may take before another one is tried.
func (q *request) attemptTimeout(c roster.Candidate) time.Duration {
	timeout := max(2*q.route.LatencyTarget, 6*c.Latency, minAttemptTimeout)
	return min(timeout, max(time.Duration(attemptTimeoutShare*float64(q.remaining())), minAttemptTimeout))
}

// chooseEndpoint returns the endpoint that is expected to answer first among those not tried yet.
func (q *request) chooseEndpoint(tried map[string]bool) (roster.Candidate, bool) {
	f := q.filter()
	f.Tried = tried
	ordered := placement.ByLoad(q.gw.opts.DataCentre, q.gw.opts.Roster.Candidates(time.Now(), f), q.headers.AttemptID)
	if len(ordered) == 0 {
		return roster.Candidate{}, false
	}
	return ordered[0], true
}

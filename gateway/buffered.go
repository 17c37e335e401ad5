package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/placement"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/retrybudget"
	"github.com/azurelead/azurelead/roster"
)

const (
	// maxSends bounds the number of endpoints that a request is sent to, including those that did
	// not run it.
	maxSends = 4
	// attemptTimeoutShare is the share of the remaining time that one attempt may take before another
	// endpoint is tried beside it.
	attemptTimeoutShare = 0.4
	// maxResponseBytes bounds a response that is read completely before it is forwarded.
	maxResponseBytes = 8 << 20
	// minAttemptTimeout is the lower bound of the time after which another endpoint is tried.
	minAttemptTimeout = 300 * time.Millisecond
)

// buffered is one request whose response is read completely before it is forwarded.
type buffered struct {
	*request
	ctx    context.Context
	budget *retrybudget.Budget
	// tried holds the IDs of the endpoints that are not tried again.
	tried map[string]bool
	// sends counts all attempts, runs those that have ended and may have run the request, inFlight those
	// that have not ended.
	sends, runs, inFlight int
	// ended receives the attempts as they end.
	ended chan bufferedAttempt
	// hedgeAt is when another endpoint is tried beside the silent one.
	hedgeAt time.Time
	// lastResp is the last response that is no final answer.
	lastResp *response
}

// bufferedAttempt is an attempt that has ended, and the response if there is a complete one.
type bufferedAttempt struct {
	*attempt
	resp *response
	// panicked is set, and attempt is nil, if the attempt ended with a panic.
	panicked any
}

// errAnsweredElsewhere ends the attempts that are still in flight when another one has been answered.
var errAnsweredElsewhere = Error.New("answered by another endpoint")

// serveBuffered serves a request whose response is read completely before it is forwarded. If an endpoint is
// silent, a request that may be repeated is sent to another one as well, and the first answer counts: the silent
// endpoint may be sound and the only one that answers.
func (q *request) serveBuffered(ctx context.Context) response {
	ctx, cancel := context.WithCancelCause(ctx)
	b := &buffered{
		request: q, ctx: ctx, budget: q.gw.opts.RetryBudgets.For(q.service),
		tried: make(map[string]bool), ended: make(chan bufferedAttempt, maxSends),
	}
	defer b.drain()
	defer cancel(errAnsweredElsewhere)
	b.budget.Deposit(q.gw.opts.RetryPercent())
	for b.inFlight > 0 || b.start() {
		a, ended := b.await()
		if !ended {
			b.hedge()
			continue
		}
		if resp := b.finalResponse(a); resp != nil {
			return *resp
		}
	}
	return b.failure()
}

// mayStart reports whether the request may be sent to one more endpoint beside those that may have run it.
func (b *buffered) mayStart() bool {
	runs := b.runs + b.inFlight
	switch {
	case b.sends >= maxSends || b.ctx.Err() != nil:
		return false
	case runs == 0:
		return true
	}
	return b.route.Repeatable() && runs < b.route.MaxAttempts && b.gw.crashes.refusal(b.request) == ""
}

// start sends the request to one more endpoint. It reports false if it must not be sent again, or if there is no
// endpoint.
func (b *buffered) start() bool {
	for b.mayStart() {
		c, found := b.chooseEndpoint()
		if !found {
			return false
		}
		repeats := b.inFlight > 0 || b.record.reachedEndpoint()
		if repeats && !b.record.noteRetry(b.budget.TryWithdraw()) {
			b.record.reason = "retry budget spent"
			return false
		}
		if b.gw.opts.Roster.Begin(time.Now(), c) {
			b.tried[c.ID] = true
			b.sends++
			b.launch(c)
			return true
		}
		if repeats {
			b.budget.Refund()
		}
	}
	return false
}

// launch starts an attempt in a goroutine of its own.
func (b *buffered) launch(c roster.Candidate) {
	patience := b.attemptTimeout(c)
	b.hedgeAt = time.Now().Add(patience)
	b.inFlight++
	go func() {
		defer func() {
			if p := recover(); p != nil {
				b.logPanic(p)
				b.ended <- bufferedAttempt{panicked: p}
			}
		}()
		b.ended <- b.tryEndpoint(c, patience)
	}()
}

// await waits for the end of an attempt. It reports false if another endpoint should be tried first.
func (b *buffered) await() (a bufferedAttempt, ended bool) {
	var silent <-chan time.Time
	if b.route.Repeatable() && b.inFlight == 1 && b.mayStart() {
		t := time.NewTimer(time.Until(b.hedgeAt))
		defer t.Stop()
		silent = t.C
	}
	select {
	case a = <-b.ended:
		b.inFlight--
		if a.panicked != nil {
			panic(a.panicked) // the handler answers
		}
		b.record.addAttempt(a.attempt)
		if a.result == resultNotSent || a.result == resultRejected {
			b.hedgeAt = time.Now() // it was sent because another endpoint is silent
		}
		return a, true
	case <-silent:
		return bufferedAttempt{}, false
	}
}

// hedge sends the request to another endpoint beside the silent one. If there is none, it is called again after the
// same time.
func (b *buffered) hedge() {
	if b.start() {
		b.noteSilence(silenceReplaced)
		return
	}
	b.hedgeAt = time.Now().Add(minAttemptTimeout)
}

// drain waits for the attempts in flight, which have been cancelled.
func (b *buffered) drain() {
	for ; b.inFlight > 0; b.inFlight-- {
		if a := <-b.ended; a.panicked == nil {
			b.record.addAttempt(a.attempt)
		}
	}
}

// finalResponse returns the response to the client if the end of an attempt decides it, and nil otherwise.
func (b *buffered) finalResponse(a bufferedAttempt) *response {
	switch a.result {
	case resultNotSent, resultRejected:
		return nil
	case resultAnswered:
		switch {
		case a.resp.status < http.StatusInternalServerError && !promisesNotRun(a.resp.status):
			b.endedWell()
			return a.resp
		case !b.route.Repeatable() && promisesNotRun(a.resp.status):
			return unknownOutcomeResponse("an endpoint's refusal does not say that it did not run the request")
		case !b.route.Repeatable():
			return a.resp
		}
	}
	b.runs++
	b.lastResp = cmp.Or(a.resp, b.lastResp)
	return nil
}

// failure returns the response to a request that no endpoint has answered.
func (b *buffered) failure() response {
	switch {
	case b.lastResp != nil:
		return *b.lastResp
	case b.runs > 0 && b.ctx.Err() != nil:
		return *endedResponse(b.ctx)
	case b.runs > 0:
		return *unknownOutcomeResponse("an endpoint got the request and its answer was lost")
	case isStopping(b.ctx):
		return *stoppedResponse()
	}
	return *notRunResponse("no endpoint took the request", b.endpointRetryAfter())
}

// endpointRetryAfter returns the retry delay for a request that no endpoint took: the time until the
// first endpoint takes requests again if all have asked for a pause or have a limit.
func (q *request) endpointRetryAfter() time.Duration {
	return cmp.Or(q.gw.opts.Roster.Delay(time.Now(), q.filter()), busyRetryAfter)
}

// tryEndpoint sends the request to one endpoint and reads the complete response. An endpoint that is silent for
// longer than patience counts as hung. It is safe for concurrent use.
func (b *buffered) tryEndpoint(c roster.Candidate, patience time.Duration) bufferedAttempt {
	a := b.send(b.ctx, c, fleet.Forwarding{}, patience)
	defer a.finish(b.gw.opts.Roster)
	if a.result != resultAnswered {
		return bufferedAttempt{attempt: a}
	}
	body, err := b.readWhole(b.ctx, a)
	if err != nil {
		a.result, a.err = resultLost, err
		b.reportOutcome(b.ctx, time.Now(), a, roster.ConnectionLost)
		return bufferedAttempt{attempt: a}
	}
	b.reportWhole(a)
	return bufferedAttempt{attempt: a, resp: &response{status: a.resp.StatusCode, header: a.resp.Header, body: body}}
}

// attemptTimeout returns how long an endpoint may take before another one is tried.
func (q *request) attemptTimeout(c roster.Candidate) time.Duration {
	timeout := max(2*q.route.LatencyTarget, 6*c.Latency, minAttemptTimeout)
	return min(timeout, max(time.Duration(attemptTimeoutShare*float64(q.remaining())), minAttemptTimeout))
}

// chooseEndpoint returns the endpoint that is expected to answer first among those not tried yet. One that has
// failed is not tried beside a silent one.
func (b *buffered) chooseEndpoint() (roster.Candidate, bool) {
	f := b.untried(b.tried)
	f.Healthy = b.inFlight > 0
	ordered := placement.ByLoad(b.gw.opts.DataCentre, b.gw.opts.Roster.Candidates(time.Now(), f), b.headers.AttemptID)
	if len(ordered) == 0 {
		if b.assignment.GiveUp() {
			return b.chooseEndpoint()
		}
		return roster.Candidate{}, false
	}
	return ordered[0], true
}

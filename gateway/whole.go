package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/placement"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/roster"
)

const (
	// maxSends bounds the endpoints that a request is sent to, those included
	// that did not run it.
	maxSends = 4
	// hedgeShare of the time that is left is spent on an endpoint that may be
	// silent, when another one may be tried.
	hedgeShare = 0.4
	// minPatience is the least time for an answer before another endpoint is tried.
	minPatience = 300 * time.Millisecond
)

// serveWhole serves a request whose answer is read whole before it is passed on.
func (q *request) serveWhole(ctx context.Context) answer {
	budget := q.g.o.RetryBudgets.For(q.service)
	budget.Deposit(q.g.o.RetryPercent())
	tried := make(map[string]bool)
	ran := 0
	var last *answer
	for sends := 0; sends < maxSends && ctx.Err() == nil; sends++ {
		if ran > 0 && q.g.crashes.refused(q.digest()) {
			break
		}
		c, found := q.choose(tried)
		if !found {
			break
		}
		if sends > 0 && q.trace.arrived() && !q.trace.pays(budget.TryWithdraw()) {
			q.trace.reason = "retry budget spent"
			break
		}
		if !q.g.o.Roster.Begin(time.Now(), c.ID) {
			tried[c.ID] = true
			continue
		}
		tried[c.ID] = true
		a, whole := q.tryWhole(ctx, c, ran+1 < q.route.MaxAttempts)
		switch a.fate {
		case notSent, rejected:
			continue
		case answered:
			if whole.status < http.StatusInternalServerError && !promisesNotRun(whole.status) {
				return *whole
			}
			if !q.route.Repeatable() {
				if promisesNotRun(whole.status) {
					return *unknown("an endpoint's refusal does not say that it did not run the request")
				}
				return *whole
			}
		}
		ran++
		last = whole
		if !q.route.Repeatable() || ran >= q.route.MaxAttempts {
			break
		}
	}
	switch {
	case last != nil:
		return *last
	case ran > 0 && ctx.Err() != nil:
		return *expired()
	case ran > 0:
		return *unknown("an endpoint got the request and its answer was lost")
	}
	return *notRun("no endpoint took the request", busyRetry)
}

// tryWhole sends the request to one endpoint and reads its answer.
func (q *request) tryWhole(ctx context.Context, c roster.Candidate, another bool) (*attempt, *answer) {
	if another && q.route.Repeatable() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.patience(c))
		defer cancel()
	}
	a := q.send(ctx, c, fleet.Forwarding{})
	defer a.end(q.g.o.Roster)
	if a.fate != answered {
		return a, nil
	}
	body, err := io.ReadAll(a.resp.Body)
	if err != nil {
		a.fate, a.err = lost, err
		q.report(ctx, time.Now(), a, roster.ConnectionLost)
		return a, nil
	}
	return a, &answer{status: a.resp.StatusCode, header: a.resp.Header, body: body}
}

// patience is how long an endpoint may take before another one is tried.
func (q *request) patience(c roster.Candidate) time.Duration {
	usual := max(2*q.route.LatencyTarget, 6*c.Latency, minPatience)
	return min(usual, max(time.Duration(hedgeShare*float64(q.left())), minPatience))
}

// choose returns the endpoint that is expected to answer first.
func (q *request) choose(tried map[string]bool) (roster.Candidate, bool) {
	candidates := q.g.o.Roster.Candidates(time.Now(), q.service, q.regions())
	for _, c := range placement.ByLoad(q.g.o.DataCentre, candidates, q.head.AttemptID) {
		if !tried[c.ID] {
			return c, true
		}
	}
	return roster.Candidate{}, false
}

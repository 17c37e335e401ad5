package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/upstream"
)

// fate is what is known of a request that was sent to one endpoint.
type fate int

const (
	// answered: the response's header was read.
	answered fate = iota
	// notSent: the endpoint never saw the request.
	notSent
	// rejected: the endpoint says that it did not run the request.
	rejected
	// lost: the request may have run.
	lost
)

// attempt is one request to one endpoint.
type attempt struct {
	endpoint roster.Candidate
	resp     *http.Response
	info     fleet.Response
	fate     fate
	err      error
	sent     time.Time
}

// end books the end of the attempt and gives up what was not read of its response.
func (a *attempt) end(r *roster.Roster) {
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	r.End(a.endpoint.ID)
}

// send sends the request to an endpoint. The caller ends the attempt.
func (q *request) send(ctx context.Context, c roster.Candidate, f fleet.Forwarding) *attempt {
	a := &attempt{endpoint: c, sent: time.Now()}
	f.Timeout = q.left()
	f.Endpoint = c.ID
	f.Organisation = q.organisation()
	id := q.head.AttemptID
	a.resp, a.err = q.g.o.Upstream.Do(ctx, upstream.Target{ID: c.ID, Address: c.Address}, upstream.Request{
		Method: q.r.Method,
		URI:    q.r.RequestURI,
		Host:   q.r.Host,
		Header: fleet.ForwardHeader(q.r.Header, f),
		Body:   q.body,
		Matches: func(status int, h http.Header) bool {
			told := fleet.DecodeResponse(status, h).AttemptID
			return told == "" || told == id
		},
	})
	now := time.Now()
	switch {
	case upstream.NotSent.Has(a.err):
		a.fate = notSent
		q.report(ctx, now, a, roster.Unreachable)
	case a.err != nil:
		a.fate = lost
		q.report(ctx, now, a, roster.ConnectionLost)
	default:
		a.info = fleet.DecodeResponse(a.resp.StatusCode, a.resp.Header)
		q.told(now, a)
	}
	q.trace.add(a)
	return a
}

// report tells the roster of an outcome, unless it was the client or the clock
// that ended the attempt.
func (q *request) report(ctx context.Context, now time.Time, a *attempt, o roster.Outcome) {
	if ctx.Err() == nil && o == roster.ConnectionLost {
		q.g.crashes.broke(now, a.endpoint.ID, q.digest())
		if !q.stillThere(ctx, a) {
			o = roster.Unreachable
		}
	}
	if o == roster.Unreachable {
		q.g.EndpointLost(a.endpoint.ID)
	}
	if ctx.Err() == nil || q.hung(ctx, now, a) {
		q.g.o.Roster.Report(now, a.endpoint.ID, o, now.Sub(a.sent))
	}
}

// stillThere asks an endpoint whose connection broke for a new one: that it
// refuses tells a crash from a lost answer before the request goes elsewhere.
func (q *request) stillThere(ctx context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTime)
	defer cancel()
	return q.g.o.Upstream.Reachable(ctx, upstream.Target{ID: a.endpoint.ID, Address: a.endpoint.Address})
}

// crashProbeTime bounds the question whether an endpoint is still there; it is
// several round trips between data centres.
const crashProbeTime = 100 * time.Millisecond

// hung reports whether an attempt was given up because the endpoint was silent.
func (q *request) hung(ctx context.Context, now time.Time, a *attempt) bool {
	return ctx.Err() != nil && !q.gone() && now.Sub(a.sent) > hangTime
}

// hangTime is how long a silent endpoint had for its answer at least.
const hangTime = 250 * time.Millisecond

func (q *request) told(now time.Time, a *attempt) {
	load := -1
	if a.info.LoadKnown {
		load = a.info.Running + a.info.Waiting
	}
	q.g.o.Roster.RecordStatus(now, a.endpoint.ID, load, a.info.ColdRemaining)
	outcome := roster.Answered
	switch {
	case a.info.NotRun:
		a.fate = rejected
		outcome = roster.Refused
	case a.resp.StatusCode/100 == 2 && !a.info.Signed:
		// Not the endpoint's own answer.
		a.fate = lost
		outcome = roster.Failed
	case a.resp.StatusCode >= http.StatusInternalServerError:
		outcome = roster.Failed
	}
	q.g.o.Roster.Report(now, a.endpoint.ID, outcome, now.Sub(a.sent))
}

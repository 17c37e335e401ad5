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

// reportTimeout bounds the question to an endpoint for its start time. It allows several round trips between data
// centres.
const reportTimeout = 150 * time.Millisecond

// mayGoOnAt reports whether the stream may go on at an endpoint. One that is bound to a software version may not at an
// endpoint that states another start time than the list: it has started again, and its version is not known. One
// that states none, or may not be asked, is taken by the list.
func (s *stream) mayGoOnAt(ctx context.Context, c roster.Candidate) bool {
	if s.filter().Version == "" || c.Incarnation == 0 || !s.mayQuery(c) {
		return true
	}
	p, err := s.queryProcess(ctx, c)
	if err != nil {
		s.gw.opts.Logger.Info("could not read the start time of an endpoint", "request", s.headers.AttemptID, "endpoint", c.ID, "error", err)
		return true
	}
	if p.mayBe(c) {
		return true
	}
	s.gw.opts.Logger.Info("endpoint has started again", "request", s.headers.AttemptID, "endpoint", c.ID, "listed", c.Incarnation, "stated", p.startedAt)
	return false
}

// mayQuery reports whether an endpoint may be asked for its report. Other endpoints than engines and those of stages take
// the question for a request, and it counts towards a rate limit.
func (q *request) mayQuery(c roster.Candidate) bool {
	service := q.table.Services[q.service]
	return service != nil && (service.Engine || service.Stages != nil) && !q.gw.opts.Roster.HasRateLimit(time.Now(), c.ID)
}

// process is what the process that answers at an endpoint's address states of itself.
type process struct {
	// foreign is set if it states that it is not the endpoint.
	foreign bool
	// startedAt is its start time in Unix milliseconds; 0 if it states none.
	startedAt int64
}

// mayBe reports whether the process may be the one that was listed: it states nothing else.
func (p process) mayBe(c roster.Candidate) bool {
	return !p.foreign && (p.startedAt == 0 || c.Incarnation == 0 || p.startedAt == c.Incarnation)
}

// queryProcess requests the report of the process that answers at an endpoint's address.
func (q *request) queryProcess(ctx context.Context, c roster.Candidate) (process, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	call := fleet.ReportCall(c.ID)
	resp, err := q.gw.opts.Upstream.Do(ctx, upstream.Target{ID: c.ID, Address: c.Address}, upstream.Request{
		Method: call.Method, URI: call.Path, Host: c.Address, Header: call.Header, ID: call.ID,
		AnyAnswer: true, // every answer on a connection comes from one process
	})
	if err != nil {
		return process{}, err
	}
	body, err := upstream.ReadBody(resp, call.MaxResponse)
	_ = resp.Body.Close()
	switch {
	case err != nil:
		return process{}, err
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return process{foreign: true}, nil
	case resp.StatusCode != http.StatusOK:
		return process{}, nil
	}
	startedAt, err := fleet.DecodeIncarnation(body)
	if err != nil {
		q.gw.opts.Logger.Info("could not decode the start time of an endpoint", "request", q.headers.AttemptID, "endpoint", c.ID, "error", err)
	}
	return process{startedAt: startedAt}, nil
}

// Verdicts on the process that sent a response without a length, at the end of the response.
const (
	processServes   = "serves"
	processReplaced = "replaced"
	processGone     = "gone"
)

// processAtEnd returns the verdict on the process of an endpoint that has sent a response without a length, whose
// connection has just ended. That a connection is accepted afterwards does not show that the process lives: another one
// may have been started in its place, or the address may be that of a relay.
func (q *request) processAtEnd(ctx context.Context, c roster.Candidate) string {
	if !q.mayQuery(c) {
		if q.isUp(ctx, c) {
			return processServes
		}
		return processGone
	}
	ctx, cancel := context.WithTimeout(ctx, maxSilence)
	defer cancel()
	for {
		p, err := q.queryProcess(ctx, c)
		switch {
		case err == nil && p.mayBe(c):
			return processServes
		case err == nil:
			return processReplaced
		case upstream.NotSent.Has(err) && !isTimeout(err):
			return processGone // nothing listens at the address
		case !sleep(ctx, reportInterval):
			return processGone
		}
	}
}

// reportInterval is the time between two questions to an endpoint that is silent or has closed the connection, as one
// that has too many connections does.
const reportInterval = 50 * time.Millisecond

// isTimeout reports whether a call failed because its time has run out.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

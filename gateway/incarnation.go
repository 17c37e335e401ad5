package gateway

import (
	"context"
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
// that states none is taken by the list, and so is one with a rate limit, for which the question would count.
func (s *stream) mayGoOnAt(ctx context.Context, c roster.Candidate) bool {
	if s.filter().Version == "" || c.Incarnation == 0 || s.gw.opts.Roster.HasRateLimit(time.Now(), c.ID) {
		return true
	}
	started, err := s.reportedIncarnation(ctx, c)
	if err != nil {
		s.gw.opts.Logger.Info("could not read the start time of an endpoint", "request", s.headers.AttemptID, "endpoint", c.ID, "error", err)
	}
	if err != nil || started == 0 || started == c.Incarnation {
		return true
	}
	s.gw.opts.Logger.Info("endpoint has started again", "request", s.headers.AttemptID, "endpoint", c.ID, "listed", c.Incarnation, "stated", started)
	return false
}

// reportedIncarnation returns the start time that an endpoint reports, in Unix milliseconds; 0 if it reports none.
func (s *stream) reportedIncarnation(ctx context.Context, c roster.Candidate) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	call := fleet.ReportCall(c.ID)
	resp, err := s.gw.opts.Upstream.Do(ctx, upstream.Target{ID: c.ID, Address: c.Address}, upstream.Request{
		Method: call.Method, URI: call.Path, Host: c.Address, Header: call.Header, ID: call.ID,
		AnyAnswer: true, // every answer on a connection comes from one process
	})
	if err != nil {
		return 0, err
	}
	body, err := upstream.ReadBody(resp, call.MaxResponse)
	_ = resp.Body.Close()
	if err != nil {
		return 0, err
	}
	return fleet.DecodeIncarnation(body)
}

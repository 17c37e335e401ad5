package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/placement"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/roster"
)

const (
	// silentGaps is how many of the route's longest pauses a stream may be
	// silent before it is resumed elsewhere.
	silentGaps = 1.5
	// minSilence is the least silence that ends a stream that may be resumed.
	minSilence = 500 * time.Millisecond
	// firstEventPatience is how many times the expected time to the first event
	// an endpoint gets when another one may be tried.
	firstEventPatience = 4
	// minFirstEvent is the least time for a first event.
	minFirstEvent = 1200 * time.Millisecond
	// maxInputsLost bounds how often the stages of one request are done again.
	maxInputsLost = 2
)

// stream is one request for a series of events.
type stream struct {
	*request
	flusher *http.ResponseController
	// begun is set once the response's header was written.
	begun bool
	// last is the number of the last event that the client has.
	last    int64
	ran     int
	sends   int
	tried   map[string]bool
	results results
	// engineFailed is set when the engine that the dispatcher booked broke off.
	engineFailed bool
	remade       int
}

// results are those of the request's stages.
type results struct {
	handles []string
	// engine is the one that the dispatcher booked.
	engine string
	// fetchFrom is the address of an engine that has read parts of the prompt.
	fetchFrom string
	ticket    StageResults
}

func (r *results) release(engineFailed bool) {
	if r.ticket != nil {
		r.ticket.Release(engineFailed)
	}
	*r = results{}
}

// serveStream has the stages done, then relays the events of one endpoint, and
// of another one where the stream may be resumed.
func (q *request) serveStream(ctx context.Context) {
	s := &stream{request: q, flusher: http.NewResponseController(q.w), last: q.head.LastEventID, tried: make(map[string]bool)}
	defer func() { s.results.release(s.engineFailed) }()
	// The relay of events ends with the deadline even if the client does not read.
	_ = s.flusher.SetWriteDeadline(q.deadline.Add(writeSlack))
	if a := s.prepare(ctx); a != nil {
		q.answer(*a)
		return
	}
	budget := q.g.o.RetryBudgets.For(q.service)
	budget.Deposit(q.g.o.RetryPercent())
	for {
		done, a := s.try(ctx)
		switch {
		case done:
			return
		case a != nil && !s.begun:
			q.answer(*a)
			return
		case a != nil:
			s.breakOff(a.reason)
		}
		if s.trace.arrived() && !s.trace.pays(budget.TryWithdraw()) {
			s.giveUp(ctx, "retry budget spent")
			return
		}
	}
}

// writeSlack is how long after the deadline the last bytes may take.
const writeSlack = 200 * time.Millisecond

// prepare has the stages done. It returns the answer to a request that ends here.
func (s *stream) prepare(ctx context.Context) *answer {
	job, needed := s.job()
	if !needed {
		return nil
	}
	began := time.Now()
	o, ticket, err := s.g.o.Stages.Submit(ctx, job, s.subject())
	s.trace.stageWait += time.Since(began)
	s.trace.dispatcher = o.Dispatcher
	s.trace.forecast = time.Duration(o.ForecastMS) * time.Millisecond
	s.trace.tail = time.Duration(o.TimeToFirstEventMS) * time.Millisecond
	switch {
	case err != nil && ctx.Err() != nil:
		return notRun("the stages were not done before the deadline", minStageRetry)
	case err != nil:
		return notRun("the stages could not be dispatched", busyRetry)
	case o.Refused:
		return notRun(o.Problem, max(time.Duration(o.RetryAfterMS)*time.Millisecond, minStageRetry))
	case o.Problem != "":
		return notRun(o.Problem, minStageRetry)
	}
	s.results = results{handles: o.Handles, engine: o.Engine, fetchFrom: o.FetchFrom, ticket: ticket}
	return nil
}

// minStageRetry is about a call's duration.
const minStageRetry = 200 * time.Millisecond

// try sends the request to one endpoint and relays its events. It returns done
// when the client has its whole answer or has left, and an answer when nothing
// more may be tried.
func (s *stream) try(ctx context.Context) (done bool, final *answer) {
	if ctx.Err() != nil {
		return s.gone(), s.over(ctx, "deadline")
	}
	c, found := s.chooseEngine()
	if !found || s.sends >= maxSends {
		return false, s.over(ctx, "no endpoint took the request")
	}
	s.tried[c.ID] = true
	if !s.g.o.Roster.Begin(time.Now(), c.ID) {
		return s.try(ctx)
	}
	s.sends++
	tryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := newSilenceWatch(cancel)
	defer watch.stop()
	if s.again() {
		watch.allow(s.firstPatience())
	}
	f := fleet.Forwarding{Inputs: s.results.handles, LastEventID: s.last}
	if c.ID == s.results.engine {
		f.FetchFrom = s.results.fetchFrom
	}
	a := s.send(tryCtx, c, f)
	defer a.end(s.g.o.Roster)
	if (a.fate == notSent || a.fate == lost) && c.ID == s.results.engine && !s.gone() {
		s.engineFailed = true
	}
	switch a.fate {
	case notSent:
		return false, nil
	case rejected:
		return false, s.rejected(ctx, a)
	case lost:
		s.ran++
		return s.gone(), s.mayGoOn(ctx, "the answer was lost")
	}
	if a.resp.StatusCode != http.StatusOK {
		return s.failed(ctx, a)
	}
	s.ran++
	return s.relay(ctx, a, watch)
}

// again reports whether the request may run once more.
func (s *stream) again() bool { return s.route.Repeatable() && s.ran+1 < s.route.MaxAttempts }

// mayGoOn returns the final answer unless the request may run at another endpoint.
func (s *stream) mayGoOn(ctx context.Context, reason string) *answer {
	if ctx.Err() == nil && s.route.Repeatable() && s.ran < s.route.MaxAttempts {
		return nil
	}
	return s.over(ctx, reason)
}

// over is the answer when nothing more may be tried.
func (s *stream) over(ctx context.Context, reason string) *answer {
	switch {
	case s.ran == 0:
		return notRun(reason, busyRetry)
	case ctx.Err() != nil:
		return expired()
	}
	return unknown(reason)
}

// rejected handles a request that the endpoint did not run.
func (s *stream) rejected(ctx context.Context, a *attempt) *answer {
	if a.resp.StatusCode != http.StatusConflict {
		return nil // another endpoint may take it
	}
	if s.remade++; s.remade > maxInputsLost {
		return s.over(ctx, "the results of the stages were lost")
	}
	delete(s.tried, a.endpoint.ID)
	s.results.release(false)
	if final := s.prepare(ctx); final != nil {
		if s.ran > 0 {
			return unknown(final.reason)
		}
		return final
	}
	return nil
}

// failed handles an endpoint's answer that is no stream.
func (s *stream) failed(ctx context.Context, a *attempt) (bool, *answer) {
	body, err := io.ReadAll(a.resp.Body)
	s.ran++
	if err != nil {
		s.report(ctx, time.Now(), a, roster.ConnectionLost)
		return s.gone(), s.mayGoOn(ctx, "the answer broke off")
	}
	if a.resp.StatusCode >= http.StatusInternalServerError {
		if final := s.mayGoOn(ctx, ""); final == nil {
			return false, nil
		}
	}
	return false, s.passOn(&answer{status: a.resp.StatusCode, header: a.resp.Header, body: body})
}

// relay passes whole events on as they arrive.
func (s *stream) relay(ctx context.Context, a *attempt, watch *silenceWatch) (bool, *answer) {
	events := newEventReader(a.resp.Body)
	for {
		ev, err := events.next()
		if err != nil {
			return s.ended(ctx, a, err)
		}
		if s.again() {
			watch.allow(max(time.Duration(silentGaps*float64(s.route.EventGapTarget)), minSilence))
		} else {
			watch.off()
		}
		if ev.id > 0 && ev.id <= s.last {
			continue // the client has it
		}
		if ev.id > s.last+1 {
			return s.ended(ctx, a, Error.New("event %d follows %d", ev.id, s.last))
		}
		s.begin(a)
		if ev.id > 0 {
			s.last = ev.id
		}
		if _, err := s.w.Write(ev.raw); err != nil {
			s.trace.outcome = "client left"
			return true, nil
		}
		_ = s.flusher.Flush() // a client that left is seen by the next write
	}
}

// begin writes the response's header, those of the first endpoint, with the
// first event: until then the request may go elsewhere. The results of the
// stages have been read.
func (s *stream) begin(a *attempt) {
	s.trace.events++
	if s.results.ticket != nil {
		s.results.release(s.engineFailed)
	}
	if s.begun {
		return
	}
	s.begun = true
	s.trace.firstEvent = time.Since(s.began)
	fleet.CopyResponseHeader(s.w.Header(), a.resp.Header)
	s.w.WriteHeader(http.StatusOK)
}

// ended handles the end of an endpoint's stream.
func (s *stream) ended(ctx context.Context, a *attempt, err error) (bool, *answer) {
	if errors.Is(err, io.EOF) {
		s.begin(a)
		s.trace.status = http.StatusOK
		return true, nil
	}
	s.report(ctx, time.Now(), a, roster.ConnectionLost)
	s.engineFailed = s.engineFailed || a.endpoint.ID == s.results.engine
	if s.gone() {
		s.trace.outcome = "client left"
		return true, nil
	}
	s.trace.resumed++
	if final := s.mayGoOn(ctx, "the stream broke off: "+err.Error()); final != nil {
		return false, final
	}
	if len(s.results.handles) == 0 && s.begun {
		// The results were given up after the first event.
		if final := s.prepare(ctx); final != nil {
			return false, unknown(final.reason)
		}
	}
	return false, nil
}

// passOn answers with what the endpoint said, unless events were sent already.
func (s *stream) passOn(a *answer) *answer {
	if s.ran > 0 && !s.route.Repeatable() && promisesNotRun(a.status) {
		return unknown("an endpoint's refusal does not say that it did not run the request")
	}
	return a
}

// giveUp ends a request that may not be sent again.
func (s *stream) giveUp(ctx context.Context, reason string) {
	if s.begun {
		s.breakOff(reason)
	}
	s.answer(*s.over(ctx, reason))
}

// breakOff closes the client's connection, so that what it has does not look
// complete.
func (s *stream) breakOff(reason string) {
	s.trace.outcome, s.trace.reason = "broken off", reason
	panic(http.ErrAbortHandler)
}

func (s *stream) firstPatience() time.Duration {
	usual := firstEventPatience * max(s.readTime(), s.trace.tail)
	return min(max(usual, minFirstEvent), max(s.left()/2, minFirstEvent))
}

// chooseEngine returns the endpoint to ask next: the one that the dispatcher
// booked, the one that hashing names for the shared parts of the prompt, or the
// least loaded one.
func (s *stream) chooseEngine() (roster.Candidate, bool) {
	candidates := s.g.o.Roster.Candidates(time.Now(), s.service, s.regions())
	var ordered []roster.Candidate
	if key, tokens := s.sharedPrefix(); tokens >= affinityTokens {
		ordered = placement.ByPrefix(key, candidates)
	} else {
		ordered = placement.ByLoad(s.g.o.DataCentre, candidates, s.head.AttemptID)
	}
	if s.results.engine != "" {
		for _, c := range candidates {
			if c.ID == s.results.engine && !s.tried[c.ID] {
				return c, true
			}
		}
	}
	for _, c := range ordered {
		if !s.tried[c.ID] {
			return c, true
		}
	}
	return roster.Candidate{}, false
}

// promisesNotRun reports whether a status says that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/placement"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/roster"
	"github.com/azurelead/azurelead/speed"
	"github.com/azurelead/azurelead/upstream"
)

const (
	// silenceGapFactor multiplies the route's EventGapTarget to give the silence after which a stream
	// is resumed at another endpoint.
	silenceGapFactor = 4
	// minSilenceTimeout is the shortest silence after which a resumable stream is resumed elsewhere.
	// A sound engine may be silent for a second or so, and pauses when it preempts a request.
	minSilenceTimeout = 1500 * time.Millisecond
	// firstEventFactor multiplies the expected time to the first event to give the timeout after
	// which another endpoint is tried.
	firstEventFactor = 4
	// minFirstEventTimeout is the lower bound of the timeout for the first event.
	minFirstEventTimeout = 1200 * time.Millisecond
	// maxStageReruns bounds how often the stages of one request are run again because their results
	// were lost.
	maxStageReruns = 2
)

// stream is one streaming request.
type stream struct {
	*request
	controller *http.ResponseController
	// complete is set once the stream has ended regularly.
	complete bool
	// lastEventID is the number of the last event that the client has received.
	lastEventID int64
	// runs counts the attempts that may have run the request, sends all attempts.
	runs  int
	sends int
	// tried holds the IDs of the endpoints that are not tried again.
	tried  map[string]bool
	output stageOutput
	// engineFailed is set when the engine that the dispatcher booked failed, engineLoad when it has stated its load.
	engineFailed bool
	engineLoad   *speed.Load
	stageReruns  int
	// endpointWait is how long the request has waited for endpoints to take it.
	endpointWait time.Duration
	// securedEngine is the engine of the replacement for which the last attempt was abandoned, until it is tried.
	securedEngine string
	// patience calls endWait unless the response has begun by then. endWait ends the request's context.
	patience *time.Timer
	endWait  func()
}

// stageOutput holds what the request's stages produced.
type stageOutput struct {
	handles []string
	// engine is the engine that the dispatcher booked.
	engine string
	// fetchFrom is the address of an engine that has read parts of the prompt.
	fetchFrom string
	// turnBooked is set until the request has been sent to an engine with a limit at the turn that the
	// dispatcher has booked, which comes at turn.
	turnBooked bool
	turn       time.Time
	results    JobResults
	// inputsRead is set once the results were freed because the engine is taken to have fetched them.
	inputsRead *atomic.Bool
}

// markRead frees the results that the engine has fetched. It is safe for concurrent use with release.
func (out stageOutput) markRead() {
	if !out.inputsRead.Swap(true) {
		out.results.InputsRead()
	}
}

// wereRead reports whether the results were freed because an engine was taken to have fetched them.
func (out stageOutput) wereRead() bool { return out.inputsRead != nil && out.inputsRead.Load() }

// release frees the results of the stages, if there are any, and clears the output.
func (out *stageOutput) release(r dispatch.EngineReport) {
	if out.results != nil {
		out.inputsRead.Store(true) // nothing is left for markRead
		out.results.Release(r)
	}
	*out = stageOutput{}
}

// engineReport returns what is known of the engine that the dispatcher booked.
func (s *stream) engineReport() dispatch.EngineReport {
	return dispatch.EngineReport{Failed: s.engineFailed, Load: s.engineLoad}
}

// releaseOutput frees the results of the stages before they run again.
func (s *stream) releaseOutput() {
	s.output.release(s.engineReport())
	s.engineFailed, s.engineLoad = false, nil
}

// serveStream runs the stages, then relays the events of one endpoint. If that fails and the stream
// may be resumed, it continues at another endpoint.
func (q *request) serveStream(ctx context.Context) {
	s := &stream{request: q, controller: http.NewResponseController(q.w), lastEventID: q.headers.LastEventID, tried: make(map[string]bool)}
	defer func() { s.output.release(s.engineReport()) }()
	// Bounds the relay by the deadline even if the client does not read.
	_ = s.controller.SetWriteDeadline(q.deadline.Add(writeMargin))
	ctx = s.boundFirstEvent(ctx)
	defer s.patience.Stop()
	if resp := s.bindToOrigin(ctx); resp != nil {
		q.respond(*resp)
		return
	}
	if resp := s.runStages(ctx); resp != nil {
		q.respond(*resp)
		return
	}
	budget := q.gw.opts.RetryBudgets.For(q.service)
	budget.Deposit(q.gw.opts.RetryPercent())
	for {
		done, final := s.tryEndpoint(ctx)
		switch {
		case done && s.complete:
			return
		case done:
			s.abandon()
		case final != nil && !s.headerSent:
			q.respond(*final)
			return
		case final != nil:
			s.abortConnection(final.reason)
		}
		if s.adoptSecured() {
			continue
		}
		if s.record.reachedEndpoint() && !s.record.noteRetry(budget.TryWithdraw()) {
			s.fail(ctx, "retry budget spent")
			return
		}
	}
}

// writeMargin is the time after the deadline that is allowed for writing the last bytes.
const writeMargin = 200 * time.Millisecond

const (
	// answerMargin is the time that an answer may take to reach a client before it abandons the request. The request may
	// have been sent long before it was read: a small instance may be without processor time for a tenth of a second.
	answerMargin = 200 * time.Millisecond
	// maxMarginShare bounds answerMargin, as a share of the time that the client waits.
	maxMarginShare = 0.1
)

// boundFirstEvent returns a context that ends shortly before the client abandons the stream, unless its response has
// begun.
func (s *stream) boundFirstEvent(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	since := s.waitingSince()
	waits := min(s.clientPatience(), s.deadline.Sub(since)+deadlineMargin)
	margin := min(answerMargin, time.Duration(maxMarginShare*float64(waits)))
	s.endWait = func() { cancel(errFirstEventLate) }
	s.patience = time.AfterFunc(time.Until(since.Add(waits-margin)), s.endWait)
	return ctx
}

// endedHere reports whether ctx has ended for a reason that says nothing about the engine: this entry stops, or the
// client would leave. An engine under load is slow, and has not lost its cache.
func endedHere(ctx context.Context) bool {
	return isStopping(ctx) || errors.Is(context.Cause(ctx), errFirstEventLate)
}

// runStages runs the request's stages. It returns a response if the request ends here, and nil
// otherwise.
func (s *stream) runStages(ctx context.Context) *response {
	job, needed := s.stageJob(s.tried)
	if !needed {
		return nil
	}
	return s.useStages(s.submitStages(ctx, job))
}

// stageRun is one run of a request's stages.
type stageRun struct {
	outcome  peers.Outcome
	duration time.Duration
	output   stageOutput
	// failure is the response to the request if the run has no output.
	failure *response
}

// submitStages runs the request's stages. It is safe for concurrent use with an attempt.
func (s *stream) submitStages(ctx context.Context, job dispatch.Job) *stageRun {
	job.Run = int(s.stageRuns.Add(1) - 1)
	start := time.Now()
	outcome, results, err := s.gw.opts.Stages.Submit(ctx, job, s.sessionKey())
	run := &stageRun{outcome: outcome, duration: time.Since(start)}
	switch {
	case err != nil && isStopping(ctx):
		run.failure = stoppedResponse()
	case err != nil && ctx.Err() != nil:
		run.failure = notRunResponse("the stages were not done before the deadline", minStageRetryAfter)
	case err != nil:
		run.failure = notRunResponse("the stages could not be dispatched", busyRetryAfter)
	case outcome.Refused:
		run.failure = notRunResponse(outcome.Problem, max(time.Duration(outcome.RetryAfterMS)*time.Millisecond, minStageRetryAfter))
	case outcome.Problem != "":
		run.failure = notRunResponse(outcome.Problem, minStageRetryAfter)
	default:
		run.output = stageOutput{
			handles: outcome.Handles, engine: outcome.Engine, fetchFrom: outcome.FetchFrom, results: results, inputsRead: new(atomic.Bool),
			turnBooked: outcome.TurnBooked, turn: time.Now().Add(time.Duration(outcome.StartAfterMS) * time.Millisecond),
		}
	}
	return run
}

// useStages records a run of the stages and makes its output that of the stream. It returns the failure of the run.
func (s *stream) useStages(run *stageRun) *response {
	s.record.stageDuration += run.duration
	s.record.dispatcher = run.outcome.Dispatcher
	s.record.stageForecast = time.Duration(run.outcome.ForecastMS) * time.Millisecond
	s.record.firstEventForecast = time.Duration(run.outcome.TimeToFirstEventMS) * time.Millisecond
	if run.failure == nil {
		s.output = run.output
	}
	return run.failure
}

// adoptSecured makes the stream go on with the replacement for which its last attempt was abandoned. It reports
// whether there is one.
func (s *stream) adoptSecured() bool {
	r := s.secured.Swap(nil)
	if r == nil {
		return false
	}
	s.record.noteRetry(true)
	s.securedEngine = r.endpoint
	if r.stages != nil {
		s.releaseOutput()
		s.useStages(r.stages)
	}
	return true
}

// minStageRetryAfter is the lower bound of the retry delay sent when the stages did not succeed. It is
// about the duration of one stage call.
const minStageRetryAfter = 200 * time.Millisecond

// tryEndpoint sends the request to one endpoint and relays its events. It returns done when the
// client has received its complete response or has disconnected, and a final response when the
// request must not be tried again.
func (s *stream) tryEndpoint(ctx context.Context) (done bool, final *response) {
	if ctx.Err() != nil {
		return s.clientGone(), s.failure(ctx, "deadline")
	}
	if s.output.wereRead() {
		// The results were freed for an engine that did not answer.
		if final := s.rerunStages(ctx); final != nil {
			return false, final
		}
	}
	if !s.versionServes() {
		return false, s.failure(ctx, versionGoneReason)
	}
	if reason := s.gw.crashes.refusal(s.request); reason != "" {
		// The crashes were recorded while the stages ran, or are this request's own.
		return false, s.refuse(reason)
	}
	if s.output.turnBooked && !s.awaitTurn(ctx) {
		return s.clientGone(), s.failure(ctx, "deadline")
	}
	c, found := s.nextEngine()
	if !found && s.assignment.GiveUp() {
		return s.tryEndpoint(ctx)
	}
	if !found && s.sends < maxSends && s.awaitEndpoint(ctx) {
		return s.tryEndpoint(ctx)
	}
	if !found || s.sends >= maxSends {
		return false, s.failure(ctx, "no endpoint took the request")
	}
	if !s.mayGoOnAt(ctx, c) {
		s.tried[c.ID] = true
		return s.tryEndpoint(ctx)
	}
	if !s.begin(c) {
		return s.tryEndpoint(ctx) // another request has taken the endpoint's turn since it was chosen
	}
	s.tried[c.ID] = true
	s.sends++
	tryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := s.newSilenceTimer(cancel)
	defer silence.disable()
	if s.route.Repeatable() && s.runs+1 < s.route.MaxAttempts && s.sends < maxSends {
		silence.reset(s.firstEventTimeout())
	}
	fwd := fleet.Forwarding{Inputs: s.output.handles, LastEventID: s.lastEventID}
	if c.ID == s.output.engine {
		fwd.FetchFrom = s.output.fetchFrom
	}
	if s.output.results != nil && len(s.output.handles) > 0 {
		defer time.AfterFunc(s.gw.readDelay.Get(time.Now()), s.output.markRead).Stop()
	}
	a := s.send(tryCtx, c, fwd, s.firstEventTimeout())
	s.record.addAttempt(a)
	defer a.finish(s.gw.opts.Roster)
	if a.info.WorkFactor > 0 && c.ID == s.output.engine {
		s.engineLoad = &speed.Load{Requests: a.info.Running + a.info.Waiting, WorkFactor: a.info.WorkFactor}
	}
	if a.result != resultAnswered {
		silence.disable() // the stages may have to run again before the next attempt
	}
	if (a.result == resultNotSent || a.result == resultLost) && c.ID == s.output.engine && !s.clientGone() && !endedHere(ctx) {
		s.engineFailed = true
	}
	switch a.result {
	case resultNotSent:
		return false, nil
	case resultRejected:
		return false, s.handleRejection(ctx, a)
	case resultLost:
		s.runs++
		return s.clientGone(), s.retryOrFail(ctx, "the answer was lost")
	}
	if a.resp.StatusCode != http.StatusOK {
		return s.handleErrorResponse(ctx, a)
	}
	s.runs++
	return s.relay(ctx, a, silence)
}

// newSilenceTimer returns the disabled silence timer of the next attempt, which cancel ends.
func (s *stream) newSilenceTimer(cancel context.CancelFunc) *silenceTimer {
	tried, out := maps.Clone(s.tried), s.output
	return newSilenceTimer(func(ctx context.Context) *replacement { return s.secureStream(ctx, tried, out) }, s.abandonFor(cancel))
}

// awaitTurn waits for the turn of the request at its engine. It reports false if ctx ended first.
func (s *stream) awaitTurn(ctx context.Context) bool { return sleep(ctx, time.Until(s.output.turn)) }

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// awaitEndpoint waits until an endpoint that was not tried takes the request, if shared rates or pauses keep
// all of them out of use for a short time. It reports whether there is one to try.
//
// The load that it answers is a stream that is bound to the few engines of one software version, of which
// some have just failed and count as cold.
func (s *stream) awaitEndpoint(ctx context.Context) bool {
	f, now := s.untried(s.tried), time.Now()
	delay := s.gw.opts.Roster.Delay(now, f)
	if delay <= 0 {
		// A turn may have come since the endpoints were looked up.
		return len(s.gw.opts.Roster.Candidates(now, f)) > 0
	}
	if s.endpointWait+delay > maxEndpointWait {
		return false
	}
	s.endpointWait += delay
	return sleep(ctx, delay)
}

// maxEndpointWait bounds the time for which one request waits for endpoints to take it.
const maxEndpointWait = 500 * time.Millisecond

// begin counts a request that is about to be sent, and reports whether the endpoint may still receive it. A
// turn is used once.
func (s *stream) begin(c roster.Candidate) bool {
	if c.TurnBooked {
		s.output.turnBooked = false
	}
	return s.gw.opts.Roster.Begin(time.Now(), c)
}

// versionGoneReason is the reason of responses to streams whose software version serves no more.
const versionGoneReason = "no endpoint of the stream's software version serves"

// versionServes reports whether any endpoint serves that may go on with the stream.
func (s *stream) versionServes() bool {
	f, now := s.filter(), time.Now()
	return f.Version == "" || s.gw.opts.Roster.Serves(now, f) && !s.gw.opts.Rollouts.Rejected(now, f.Service, f.Version)
}

// mayRunAgain reports whether the request may run once more after the runs that it had.
func (s *stream) mayRunAgain() bool { return s.route.Repeatable() && s.runs < s.route.MaxAttempts }

// retryOrFail returns nil if the request may run at another endpoint, and the final response
// otherwise.
func (s *stream) retryOrFail(ctx context.Context, reason string) *response {
	if ctx.Err() == nil && s.mayRunAgain() {
		return nil
	}
	return s.failure(ctx, reason)
}

// failure returns the final response to a request that must not be tried again.
func (s *stream) failure(ctx context.Context, reason string) *response {
	switch {
	case s.runs == 0 && isStopping(ctx):
		return stoppedResponse()
	case s.runs == 0:
		return notRunResponse(reason, s.endpointRetryAfter())
	case ctx.Err() != nil:
		return endedResponse(ctx)
	}
	return unknownOutcomeResponse(reason)
}

// refuse returns the final response to a request that has crashed endpoints.
func (s *stream) refuse(reason string) *response {
	if s.runs > 0 {
		return unknownOutcomeResponse(reason)
	}
	return notRunResponse(reason, suspectRetryAfter)
}

// handleRejection handles a request that the endpoint did not run. It returns nil if the request
// may be sent again. Status 409 (Conflict) means that the endpoint does not have the results of the
// stages; the stages are then run again.
func (s *stream) handleRejection(ctx context.Context, a *attempt) *response {
	if a.resp.StatusCode != http.StatusConflict {
		return nil // another endpoint may accept it
	}
	if s.output.wereRead() {
		s.gw.readDelay.Missed(time.Now())
	}
	if s.stageReruns++; s.stageReruns > maxStageReruns {
		return s.failure(ctx, "the results of the stages were lost")
	}
	delete(s.tried, a.endpoint.ID)
	return s.rerunStages(ctx)
}

// rerunStages runs the stages again, as their results are lost or freed. It returns a response if the
// request ends here.
func (s *stream) rerunStages(ctx context.Context) *response {
	s.releaseOutput()
	final := s.runStages(ctx)
	if final != nil && s.runs > 0 {
		return unknownOutcomeResponse(final.reason)
	}
	return final
}

// handleErrorResponse handles a response that is not a stream of events. None can be the rest of a stream that has
// begun, whatever its status.
func (s *stream) handleErrorResponse(ctx context.Context, a *attempt) (bool, *response) {
	body, err := s.readWhole(ctx, a)
	s.runs++
	if err != nil {
		a.err = err
		s.reportOutcome(ctx, time.Now(), a, roster.ConnectionLost)
		return s.clientGone(), s.retryOrFail(ctx, "the answer broke off")
	}
	s.reportWhole(a)
	if s.headerSent {
		a.err = Error.New("status %d in place of the rest of the stream", a.resp.StatusCode)
		s.record.addStreamEnd(a)
		return s.clientGone(), s.retryOrFail(ctx, a.err.Error())
	}
	if a.resp.StatusCode >= http.StatusInternalServerError {
		if final := s.retryOrFail(ctx, ""); final == nil {
			return false, nil
		}
	}
	return false, s.forwardResponse(&response{status: a.resp.StatusCode, header: a.resp.Header, body: body})
}

// relay forwards complete events as they arrive. Only events that continue the stream count as
// progress: comments and repeated events may come without end from an endpoint that has stalled. Comments do not begin
// the response.
func (s *stream) relay(ctx context.Context, a *attempt, silence *silenceTimer) (bool, *response) {
	err := s.relayEvents(a, silence)
	silence.disable()
	if err == nil {
		return true, nil
	}
	return s.handleStreamEnd(ctx, a, err)
}

// relayEvents forwards the events of an attempt until it ends. It returns why it ended, or nil if the client has
// left.
func (s *stream) relayEvents(a *attempt, silence *silenceTimer) error {
	if err := checkEventStream(a.resp.Header); err != nil {
		return err
	}
	events := newEventReader(a.resp.Body)
	bytesWithoutProgress := 0
	for {
		ev, err := events.next()
		if err != nil {
			return err
		}
		switch {
		case ev.id == 0 && ev.carriesData():
			return errUnnumberedEvent
		case ev.id > s.lastEventID+1:
			return Error.New("event %d follows %d", ev.id, s.lastEventID)
		case ev.id > s.lastEventID:
			bytesWithoutProgress = 0
			a.progressAt = time.Now()
			s.lastEventAfter.Store(int64(time.Since(s.started)))
			if a.events == 0 {
				a.firstEvent = a.progressAt.Sub(a.sentAt)
			}
			if a.events++; a.events == beginningEvents {
				s.gw.opts.SuspectParts.Sound(s.sharedParts())
				s.gw.opts.Roster.ReportProgress(a.endpoint.Endpoint)
			}
			s.allowGap(silence)
		default:
			if bytesWithoutProgress += len(ev.raw); bytesWithoutProgress > maxEventBytes {
				return errNoProgress
			}
			if ev.id > 0 || !s.headerSent {
				continue // the client already has this event, or its response has not begun
			}
		}
		if !s.startResponse(a) {
			return errFirstEventLate
		}
		s.lastEventID = max(s.lastEventID, ev.id)
		if _, err := s.w.Write(ev.raw); err != nil {
			return nil
		}
		_ = s.controller.Flush() // the next write fails if the client disconnected
	}
}

// allowGap sets the time allowed until the next event.
func (s *stream) allowGap(silence *silenceTimer) {
	if s.mayRunAgain() && s.sends < maxSends {
		silence.reset(s.gapTimeout())
	} else {
		silence.disable()
	}
}

// startResponse is called before each event is forwarded and at the regular end of a stream. The
// first call writes the header of the endpoint's response, as until then the request may still go to
// another endpoint. It also releases the results of the stages, which the engine has read by then. It reports false
// if the time for the first event has ended.
func (s *stream) startResponse(a *attempt) bool {
	if !s.headerSent && !s.patience.Stop() {
		s.endWait() // the timer's own call may still be to come
		return false
	}
	s.record.events++
	if s.output.results != nil {
		s.output.release(s.engineReport())
	}
	if s.headerSent {
		return true
	}
	s.headerSent = true
	s.version.Store(&a.endpoint.Version)
	if s.route.Resumable {
		s.gw.opts.Origins.Begin(s.headers.AttemptID, s.service, a.endpoint.Version)
	}
	s.record.timeToFirstEvent = time.Since(s.started)
	fleet.CopyResponseHeader(s.w.Header(), a.resp.Header)
	s.w.WriteHeader(http.StatusOK)
	return true
}

// handleStreamEnd handles the end of an endpoint's stream, which is complete if err is io.EOF. The end of
// a connection before the first event is no sign of a complete stream: a crash looks the same. Nor is a response
// without events that is to continue a stream that broke off.
func (s *stream) handleStreamEnd(ctx context.Context, a *attempt, err error) (bool, *response) {
	if errors.Is(err, io.EOF) && a.events == 0 {
		switch {
		case upstream.IsCloseDelimited(a.resp):
			err = io.ErrUnexpectedEOF
		case s.lastEventID > s.headers.LastEventID:
			err = errNothingFollows
		}
	}
	if errors.Is(err, io.EOF) {
		err = cmp.Or(s.checkProcessAtEnd(ctx, a), err)
	}
	if errors.Is(err, io.EOF) && !s.startResponse(a) {
		err = errFirstEventLate
	}
	if errors.Is(err, io.EOF) {
		s.reportWhole(a)
		if a.events > 0 {
			s.gw.opts.SuspectParts.Sound(s.sharedParts())
			s.endedWell()
		}
		s.gw.opts.Origins.End(s.headers.AttemptID)
		s.record.status = http.StatusOK
		s.complete = true
		return true, nil
	}
	a.err = err
	s.record.addStreamEnd(a)
	if !errors.Is(err, errNothingFollows) {
		s.reportOutcome(ctx, time.Now(), a, roster.ConnectionLost)
		s.engineFailed = s.engineFailed || a.endpoint.ID == s.output.engine && !endedHere(ctx)
	}
	if s.clientGone() {
		return true, nil
	}
	s.record.resumptions++
	if s.secured.Load() != nil {
		return false, nil
	}
	if final := s.retryOrFail(ctx, "the stream broke off: "+err.Error()); final != nil {
		return false, final
	}
	if len(s.output.handles) == 0 && s.headerSent && s.versionServes() {
		// The results were released after the first event.
		return false, s.rerunStages(ctx)
	}
	return false, nil
}

// forwardResponse returns the endpoint's response for the client. On a route that does not allow
// retries, a status that promises that the request has not run is replaced: the endpoint did not
// state that in its header, so the outcome is unknown.
func (s *stream) forwardResponse(resp *response) *response {
	if s.runs > 0 && !s.route.Repeatable() && promisesNotRun(resp.status) {
		return unknownOutcomeResponse("an endpoint's refusal does not say that it did not run the request")
	}
	return resp
}

// fail ends a request that must not be sent again.
func (s *stream) fail(ctx context.Context, reason string) {
	if s.headerSent {
		s.abortConnection(reason)
	}
	s.respond(*s.failure(ctx, reason))
}

// abortConnection closes the client's connection without the regular end of the response, so that
// the client does not take the events it has for a complete stream.
func (s *stream) abortConnection(reason string) {
	s.record.outcome, s.record.reason = "broken off", reason
	s.cutResponse()
}

// firstEventTimeout returns how long an endpoint may take to send the first event before another
// one is tried. It leaves half of the client's patience for that one.
func (s *stream) firstEventTimeout() time.Duration {
	timeout := firstEventFactor * max(s.prefillTime(), s.record.firstEventForecast)
	return min(max(timeout, minFirstEventTimeout), max(time.Until(s.nextEventDeadline())/2, minFirstEventTimeout))
}

// nextEngine returns the next endpoint to try: the one that was secured, unless the dispatcher has booked a turn, else the
// one that chooseEngine returns.
func (s *stream) nextEngine() (roster.Candidate, bool) {
	f, secured := s.untried(s.tried), s.securedEngine
	s.securedEngine = ""
	if secured != "" && !s.output.turnBooked {
		for _, c := range s.gw.opts.Roster.Candidates(time.Now(), f) {
			if c.ID == secured {
				return c, true
			}
		}
	}
	return s.chooseEngine(f, s.output)
}

// chooseEngine returns the best endpoint to try among those that fail rarely: the engine that the dispatcher booked,
// else the one that hashing assigns to the shared part of the prompt, else the one expected to answer first. The
// dispatcher may book engines that refuse or fail, because such outcomes are not reported to it.
func (s *stream) chooseEngine(f roster.Filter, out stageOutput) (roster.Candidate, bool) {
	if out.turnBooked {
		if c, found := s.gw.opts.Roster.BookedCandidate(time.Now(), f, out.engine); found {
			return c, true
		}
	}
	candidates := placement.Sound(s.gw.opts.Roster.Candidates(time.Now(), f))
	for _, c := range candidates {
		if c.ID == out.engine {
			return c, true
		}
	}
	var ordered []roster.Candidate
	if key, tokens := s.sharedPrefix(); tokens >= minAffinityTokens {
		ordered = placement.ByPrefix(key, candidates)
	} else {
		ordered = placement.ByLoad(s.gw.opts.DataCentre, candidates, s.headers.AttemptID)
	}
	if len(ordered) == 0 {
		return roster.Candidate{}, false
	}
	return ordered[0], true
}

// promisesNotRun reports whether a status code tells clients that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

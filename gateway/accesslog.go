package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// accessRecord collects the fields of a request's log line.
type accessRecord struct {
	status int
	// local is set if the gateway generated the response itself.
	local      bool
	reason     string
	outcome    string
	retryAfter time.Duration
	// sends describes each attempt; reached is set once an endpoint may have received the request.
	sends              []string
	reached            bool
	stageDuration      time.Duration
	stageForecast      time.Duration
	firstEventForecast time.Duration
	// dispatcher is the name of the entry that dispatched the stages.
	dispatcher string
	// retriesGranted counts the retries that the retry budget granted; retryDenied is set when it
	// denied one.
	retriesGranted   int
	retryDenied      bool
	timeToFirstEvent time.Duration
	// events counts the events sent, and the regular end of a stream as one more.
	events      int
	resumptions int
}

// addAttempt records an attempt and its result.
func (r *accessRecord) addAttempt(a *attempt) {
	r.sends = append(r.sends, a.endpoint.ID+"@"+a.endpoint.DataCentre+" "+a.endpoint.Version+" "+a.describe())
	if a.result != resultNotSent {
		r.reached = true
	}
}

// addStreamEnd adds to the last attempt why it did not complete its stream.
func (r *accessRecord) addStreamEnd(a *attempt) {
	r.sends[len(r.sends)-1] += fmt.Sprintf(" with %d events: %v", a.events, a.err)
}

// reachedEndpoint reports whether an endpoint may have received the request.
func (r *accessRecord) reachedEndpoint() bool { return r.reached }

// noteRetry records whether the retry budget granted a retry, and returns granted.
func (r *accessRecord) noteRetry(granted bool) bool {
	if granted {
		r.retriesGranted++
	}
	r.retryDenied = r.retryDenied || !granted
	return granted
}

var resultNames = map[attemptResult]string{resultAnswered: "answered", resultNotSent: "not sent", resultRejected: "rejected", resultLost: "lost"}

// describe returns the attempt's result, the rate limit and the work factor that the endpoint stated, and the error for
// the request's log line.
func (a *attempt) describe() string {
	text := resultNames[a.result]
	if a.info.Limited {
		text += " limit=" + strconv.FormatFloat(a.info.Limit, 'g', -1, 64) + "/s"
	}
	if a.info.WorkFactor > 0 {
		text += " work=" + strconv.FormatFloat(a.info.WorkFactor, 'g', -1, 64)
	}
	if a.err != nil {
		text += ": " + a.err.Error()
	}
	return text
}

// lastVerdict returns a verdict, or "" if there is none.
func lastVerdict(v *atomic.Pointer[string]) string {
	if text := v.Load(); text != nil {
		return *text
	}
	return ""
}

// log writes the request's log line and updates the metrics when the request has ended.
func (q *request) log() {
	rec := &q.record
	duration := time.Since(q.started)
	outcome := rec.outcome
	if outcome == "" {
		outcome = "answered"
		if rec.local {
			outcome = "refused"
		}
	}
	routeName := ""
	if q.route != nil {
		routeName = q.route.Name
	}
	var version int64
	if q.table != nil {
		version = q.table.Version
	}
	q.gw.opts.Metrics.observe(completedRequest{route: routeName, organisation: q.organisationName(), service: q.service, outcome: outcome, record: rec, duration: duration})
	q.gw.opts.Logger.Info("request", "request", q.headers.AttemptID, "route", routeName, "organisation", q.organisationName(),
		"service", q.service, "shared", q.sharedPrefixName(), "configuration", version, "outcome", outcome, "status", rec.status, "own", rec.local,
		"reason", rec.reason, "took_ms", duration.Milliseconds(), "left_ms", q.remaining().Milliseconds(),
		"sends", strings.Join(rec.sends, "; "), "silence", lastVerdict(&q.silence), "unframed_end", lastVerdict(&q.unframedEnd), "dispatcher", rec.dispatcher, "stages_ms", rec.stageDuration.Milliseconds(),
		"forecast_ms", rec.stageForecast.Milliseconds(), "tail_ms", rec.firstEventForecast.Milliseconds(), "prompt", q.headers.PromptTokens, "first_event_ms", rec.timeToFirstEvent.Milliseconds(), "events", rec.events,
		"last_event_ms", time.Duration(q.lastEventAfter.Load()).Milliseconds(), "patience_ms", q.clientPatience().Milliseconds(),
		"resumes", q.headers.Resumes, "after_event", q.headers.LastEventID, "resumed", rec.resumptions, "retry_after_ms", rec.retryAfter.Milliseconds())
}

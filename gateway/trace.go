package gateway

import (
	"strings"
	"time"
)

// trace is what is logged of a request.
type trace struct {
	status     int
	own        bool
	reason     string
	outcome    string
	retryAfter time.Duration
	sends      []string
	seen       bool
	stageWait  time.Duration
	forecast   time.Duration
	tail       time.Duration
	// dispatcher is the entry that had the stages done.
	dispatcher string
	// paid counts the retries that the budget paid for; denied is set when it did not.
	paid       int
	denied     bool
	firstEvent time.Duration
	events     int
	resumed    int
}

// add notes a send to an endpoint.
func (t *trace) add(a *attempt) {
	t.sends = append(t.sends, a.endpoint.ID+"@"+a.endpoint.DataCentre+" "+a.describe())
	if a.fate != notSent {
		t.seen = true
	}
}

// arrived reports whether an endpoint has seen the request.
func (t *trace) arrived() bool { return t.seen }

// pays notes whether the retry budget paid for a retry, which it returns.
func (t *trace) pays(paid bool) bool {
	if paid {
		t.paid++
	}
	t.denied = t.denied || !paid
	return paid
}

var fateNames = map[fate]string{answered: "answered", notSent: "not sent", rejected: "rejected", lost: "lost"}

func (a *attempt) describe() string {
	text := fateNames[a.fate]
	if a.err != nil {
		text += ": " + a.err.Error()
	}
	return text
}

// log writes the one line of a request that ended.
func (q *request) log() {
	t := &q.trace
	took := time.Since(q.began)
	outcome := t.outcome
	if outcome == "" {
		outcome = "answered"
		if t.own {
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
	q.g.o.Metrics.observe(ended{route: routeName, organisation: q.organisation(), service: q.service, outcome: outcome, trace: t, took: took})
	q.g.o.Logger.Info("request", "request", q.head.AttemptID, "route", routeName, "organisation", q.organisation(),
		"service", q.service, "shared", q.sharedName(), "configuration", version, "outcome", outcome, "status", t.status, "own", t.own,
		"reason", t.reason, "took_ms", took.Milliseconds(), "left_ms", q.left().Milliseconds(),
		"sends", strings.Join(t.sends, "; "), "dispatcher", t.dispatcher, "stages_ms", t.stageWait.Milliseconds(),
		"forecast_ms", t.forecast.Milliseconds(), "tail_ms", t.tail.Milliseconds(), "prompt", q.head.PromptTokens, "first_event_ms", t.firstEvent.Milliseconds(), "events", t.events,
		"resumed", t.resumed, "retry_after_ms", t.retryAfter.Milliseconds())
}

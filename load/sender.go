package load

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/client"
	"github.com/azurelead/azurelead/entry"
)

const (
	// patience is how long after its deadline a caller still listens, to tell a
	// late answer from none.
	patience = 2 * time.Second
	// senderConnections is how many idle connections are kept to each entry.
	senderConnections = 512
)

// sender sends requests to entries, as the platform's balancer would: in turn.
type sender struct {
	scenario Scenario
	entries  []string
	tokens   map[string]string
	http     *http.Client
}

func newSender(s Scenario, entries []string, tokens map[string]string) *sender {
	transport := &http.Transport{MaxIdleConnsPerHost: senderConnections, DisableCompression: true}
	return &sender{scenario: s, entries: entries, tokens: tokens, http: &http.Client{Transport: transport}}
}

func (s *sender) close() { s.http.CloseIdleConnections() }

// send makes one request and returns what its caller saw.
func (s *sender) send(ctx context.Context, a Arrival) Sample {
	c := s.scenario.Classes[a.Class]
	out := Sample{
		Class: c.Name, Organisation: a.Organisation, At: a.At - s.scenario.WarmUp,
		Deadline: c.Deadline, Outcome: OutcomeFailed,
	}
	request, err := s.request(a)
	if err != nil {
		out.Detail = err.Error()
		return out
	}
	out.Reference = request.IdempotencyKey
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+patience)
	defer cancel()
	caller := client.Client{URL: s.entries[a.Index%len(s.entries)], HTTP: s.http}
	started := time.Now()
	answer, err := caller.Do(ctx, request, func(string) {
		if out.FirstToken == 0 {
			out.FirstToken = time.Since(started)
		}
	})
	out.Latency = time.Since(started)
	out.ended(answer, err)
	return out
}

func (s *sender) request(a Arrival) (client.Request, error) {
	c := s.scenario.Classes[a.Class]
	b, err := body(s.scenario, a)
	r := client.Request{Token: s.tokens[a.Organisation], Pipeline: c.Pipeline, Deadline: c.Deadline, Body: b}
	if c.Action {
		r.IdempotencyKey = reference(s.scenario, a)
	}
	return r, err
}

// ended takes the end of a request: the client has checked that an answer is
// whole.
func (o *Sample) ended(a entry.Answer, err error) {
	var refusal *client.Refusal
	switch {
	case errors.As(err, &refusal):
		o.Outcome = OutcomeRefused
		o.Code, o.Run, o.Detail = refusal.Code, refusal.Run, refusal.Detail
		o.Request, o.Stages = refusal.RequestID, refusal.Stages
	case err != nil:
		o.Detail = err.Error()
	case !o.own(a.Results):
		o.Detail = "the answer is that of another request"
	default:
		o.Outcome = OutcomeOnTime
		o.Run, o.Request, o.Stages, o.Joined = a.Run, a.RequestID, a.Stages, a.Joined
	}
	if o.Outcome == OutcomeOnTime && o.Latency > o.Deadline {
		o.Outcome = OutcomeLate
	}
}

// own reports whether the services' results name this request.
func (o *Sample) own(results []entry.ServiceResult) bool {
	if o.Reference == "" {
		return true
	}
	for _, r := range results {
		var a action
		if json.Unmarshal(r.Body, &a) != nil || a.Reference != o.Reference {
			return false
		}
	}
	return len(results) > 0
}

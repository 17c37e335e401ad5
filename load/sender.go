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
	// lateAnswerTimeout is how long a caller waits after its deadline, to distinguish a late answer
	// from a missing one.
	lateAnswerTimeout = 2 * time.Second
	// maxIdleConnections is the number of idle connections kept to each entry.
	maxIdleConnections = 512
)

// sender distributes requests over the entries in round-robin order, as the platform's load
// balancer would.
type sender struct {
	scenario Scenario
	entries  []string
	tokens   map[string]string
	http     *http.Client
}

func newSender(s Scenario, entries []string, tokens map[string]string) *sender {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	return &sender{scenario: s, entries: entries, tokens: tokens, http: &http.Client{Transport: transport}}
}

func (s *sender) close() { s.http.CloseIdleConnections() }

// send sends one request and returns the caller's record of it. The outcome is OutcomeFailed if the
// request cannot be sent or has no usable answer.
func (s *sender) send(ctx context.Context, arrival Arrival) Sample {
	class := s.scenario.Classes[arrival.Class]
	sample := Sample{
		Class: class.Name, Organisation: arrival.Organisation, At: arrival.At - s.scenario.WarmUp,
		Deadline: class.Deadline, Outcome: OutcomeFailed,
	}
	request, err := s.newRequest(arrival)
	if err != nil {
		sample.Detail = err.Error()
		return sample
	}
	sample.Reference = request.IdempotencyKey
	ctx, cancel := context.WithTimeout(ctx, class.Deadline+lateAnswerTimeout)
	defer cancel()
	entryClient := client.Client{URL: s.entries[arrival.Index%len(s.entries)], HTTP: s.http}
	start := time.Now()
	answer, err := entryClient.Do(ctx, request, func(string) {
		if sample.FirstToken == 0 {
			sample.FirstToken = time.Since(start)
		}
	})
	sample.Latency = time.Since(start)
	sample.setResult(answer, err)
	return sample
}

func (s *sender) newRequest(arrival Arrival) (client.Request, error) {
	class := s.scenario.Classes[arrival.Class]
	content, err := requestBody(s.scenario, arrival)
	request := client.Request{Token: s.tokens[arrival.Organisation], Pipeline: class.Pipeline, Deadline: class.Deadline, Body: content}
	if class.Action {
		request.IdempotencyKey = referenceOf(s.scenario, arrival)
	}
	return request, err
}

// setResult records the outcome of a request. The client has already verified that an answer is
// complete.
func (s *Sample) setResult(answer entry.Answer, err error) {
	var refusal *client.Refusal
	switch {
	case errors.As(err, &refusal):
		s.Outcome = OutcomeRefused
		s.Code, s.Run, s.Detail = refusal.Code, refusal.Run, refusal.Detail
		s.Request, s.Stages = refusal.RequestID, refusal.Stages
	case err != nil:
		s.Detail = err.Error()
	case !s.matchesReference(answer.Results):
		s.Detail = "the answer belongs to another request"
	default:
		s.Outcome = OutcomeOnTime
		s.Run, s.Request, s.Stages, s.Joined = answer.Run, answer.RequestID, answer.Stages, answer.Joined
	}
	if s.Outcome == OutcomeOnTime && s.Latency > s.Deadline {
		s.Outcome = OutcomeLate
	}
}

// matchesReference reports whether every service result repeats the reference of this request. A
// request without a reference matches any answer.
func (s *Sample) matchesReference(results []entry.ServiceResult) bool {
	if s.Reference == "" {
		return true
	}
	for _, result := range results {
		var argument serviceArgument
		if json.Unmarshal(result.Body, &argument) != nil || argument.Reference != s.Reference {
			return false
		}
	}
	return len(results) > 0
}

package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
)

const (
	// patience is how long after its deadline a caller still listens, to tell a
	// late answer from none.
	patience = 2 * time.Second
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 16 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 4 << 20
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
		Deadline: c.Deadline, Outcome: Broken,
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+patience)
	defer cancel()
	r, err := s.request(ctx, a, &out)
	if err != nil {
		out.Detail = err.Error()
		return out
	}
	started := time.Now()
	resp, err := s.http.Do(r)
	if err != nil {
		out.Latency, out.Detail = time.Since(started), err.Error()
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.Status = resp.StatusCode
	s.read(resp, &out, started, c.Stream)
	out.Latency = time.Since(started)
	if out.Outcome == Whole && out.Latency > c.Deadline {
		out.Outcome = Late
	}
	return out
}

func (s *sender) request(ctx context.Context, a Arrival, out *Sample) (*http.Request, error) {
	c := s.scenario.Classes[a.Class]
	raw, err := body(s.scenario, a)
	if err != nil {
		return nil, err
	}
	url := s.entries[a.Number%len(s.entries)] + "/v1/pipelines/" + c.Pipeline + "/runs"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r.Header.Set("Authorization", "Bearer "+s.tokens[a.Organisation])
	r.Header.Set(entry.HeaderDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Action {
		out.Reference = reference(s.scenario, a)
		r.Header.Set(entry.HeaderKey, out.Reference)
	}
	return r, nil
}

// read takes the answer in whatever form it comes.
func (s *sender) read(resp *http.Response, out *Sample, started time.Time, stream bool) {
	switch {
	case resp.StatusCode != http.StatusOK:
		var p entry.ProblemReport
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&p); err != nil || p.Problem == nil {
			out.Detail = "no problem document"
			return
		}
		out.refused(p)
	case stream:
		out.readStream(resp.Body, started)
	default:
		var a entry.Answer
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&a); err != nil {
			out.Detail = err.Error()
			return
		}
		d := contract.NewDigest()
		d.Add(a.Answer)
		out.answered(a, d.String(), a.Count)
	}
}

func (o *Sample) refused(p entry.ProblemReport) {
	o.Outcome = Refused
	o.Code, o.Run, o.Detail, o.Request = p.Code, p.Run, p.Detail, p.RequestID
	o.Stages = p.Stages
}

// answered checks the closing word of an answer against what came.
func (o *Sample) answered(a entry.Answer, digest string, count int) {
	o.Stages, o.Joined, o.Run, o.Request = a.Stages, a.Joined, a.Run, a.RequestID
	if a.Digest != digest || a.Count != count {
		o.Detail = "count or digest differ from the tokens that came"
		return
	}
	if !o.own(a.Results) {
		o.Detail = "the answer is that of another request"
		return
	}
	o.Outcome = Whole
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

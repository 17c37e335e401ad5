// Package client is the callers' side of an entry: it sends one request and
// checks that the answer is whole before it returns it.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
)

// Error is the class of failures to reach an entry or to read its answer. A
// refusal by the entry is a *Refusal instead, which wraps a *contract.Problem.
var Error = errs.Class("client")

// Refusal is the entry's word that there is no answer, with the stages that
// were run before it.
type Refusal struct{ entry.ProblemReport }

// Unwrap returns the problem.
func (r *Refusal) Unwrap() error { return r.Problem }

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// Request is one request of a caller.
type Request struct {
	// Token is the organisation's bearer token.
	Token    string
	Pipeline string
	// IdempotencyKey is the idempotency key; needed when a stage may not be repeated.
	IdempotencyKey string
	Deadline       time.Duration
	// TraceParent continues the caller's trace; empty starts none.
	TraceParent string
	Body        entry.Body
}

// Client asks one entry. It is safe for concurrent use.
type Client struct {
	// URL is the entry's base URL.
	URL string
	// HTTP sends requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Do sends the request and returns the whole answer. For streams, token is
// called with each token in order, and the closing event's count and digest
// are checked against them; token may be nil.
func (c *Client) Do(ctx context.Context, r Request, token func(string)) (entry.Answer, error) {
	resp, err := c.send(ctx, r)
	if err != nil {
		return entry.Answer{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return entry.Answer{}, problem(resp.Body)
	}
	if r.Body.Stream {
		return newStream(token).read(resp.Body)
	}
	var a entry.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return entry.Answer{}, Error.Wrap(err)
	}
	d := contract.NewDigest()
	d.Add(a.Answer)
	if a.Digest != d.String() {
		return entry.Answer{}, Error.New("the answer is not whole: its digest differs")
	}
	return a, nil
}

func (c *Client) send(ctx context.Context, r Request) (*http.Response, error) {
	body, err := json.Marshal(r.Body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	url := c.URL + "/v1/pipelines/" + r.Pipeline + "/runs"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+r.Token)
	req.Header.Set(entry.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if r.IdempotencyKey != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if r.TraceParent != "" {
		req.Header.Set("traceparent", r.TraceParent)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	return resp, Error.Wrap(err)
}

func problem(r io.Reader) error {
	var p entry.ProblemReport
	if err := json.NewDecoder(r).Decode(&p); err != nil || p.Problem == nil {
		return Error.New("the entry answered no problem document: %v", err)
	}
	return &Refusal{ProblemReport: p}
}

// stream reads the server-sent events of one answer.
type stream struct {
	token  func(string)
	digest *contract.Digest
	count  int
}

func newStream(token func(string)) *stream {
	if token == nil {
		token = func(string) {}
	}
	return &stream{token: token, digest: contract.NewDigest()}
}

type tokenEvent struct {
	N    int    `json:"n"`
	Text string `json:"text"`
}

func (s *stream) read(r io.Reader) (entry.Answer, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	event := ""
	for lines.Scan() {
		if name, ok := bytes.CutPrefix(lines.Bytes(), []byte("event: ")); ok {
			event = string(name)
			continue
		}
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		switch event {
		case "token":
			if err := s.take(data); err != nil {
				return entry.Answer{}, err
			}
		case "done":
			return s.done(data)
		case "problem":
			return entry.Answer{}, problem(bytes.NewReader(data))
		}
	}
	return entry.Answer{}, Error.New("the stream ended without its closing event: %v", lines.Err())
}

func (s *stream) take(data []byte) error {
	var t tokenEvent
	if err := json.Unmarshal(data, &t); err != nil {
		return Error.Wrap(err)
	}
	if t.N != s.count {
		return Error.New("token %d came in place of token %d", t.N, s.count)
	}
	s.count++
	s.digest.Add(t.Text)
	s.token(t.Text)
	return nil
}

func (s *stream) done(data []byte) (entry.Answer, error) {
	var a entry.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return entry.Answer{}, Error.Wrap(err)
	}
	if a.Count != s.count || a.Digest != s.digest.String() {
		return entry.Answer{}, Error.New("the stream is not whole: %d of %d tokens", s.count, a.Count)
	}
	return a, nil
}

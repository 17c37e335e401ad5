// Package client is a client of an entry. It sends one request and verifies that the answer is
// complete before it returns it.
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

// Error is the class of failures to reach an entry or to read its answer. If the entry itself
// reports a problem, the error is a *Refusal, which wraps a *contract.Problem.
var Error = errs.Class("client")

// Refusal is the problem document of an entry that refused or failed the request, with the stages
// that ran before.
type Refusal struct{ entry.ProblemReport }

// Unwrap returns the problem.
func (r *Refusal) Unwrap() error { return r.Problem }

// maxLineBytes is the maximum length of one line of a stream.
const maxLineBytes = 1 << 20

// Request is one request to an entry.
type Request struct {
	// Token is the organisation's bearer token.
	Token    string
	Pipeline string
	// IdempotencyKey is required if the pipeline has a stage that must not be repeated.
	IdempotencyKey string
	Deadline       time.Duration
	// TraceParent is the W3C traceparent of the caller's trace; if it is empty, none is sent.
	TraceParent string
	Body        entry.Body
}

// Client sends requests to one entry. It is safe for concurrent use.
type Client struct {
	// URL is the entry's base URL.
	URL string
	// HTTP is the HTTP client; nil means http.DefaultClient.
	HTTP *http.Client
}

// Do sends the request and returns the complete answer. For streams, it calls onToken with each
// token in order, and checks the count and digest of the closing event against the tokens received.
// onToken may be nil.
func (c *Client) Do(ctx context.Context, r Request, onToken func(string)) (entry.Answer, error) {
	resp, err := c.send(ctx, r)
	if err != nil {
		return entry.Answer{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return entry.Answer{}, decodeRefusal(resp.Body)
	}
	if r.Body.Stream {
		return newStreamReader(onToken).read(resp.Body)
	}
	var a entry.Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return entry.Answer{}, Error.Wrap(err)
	}
	d := contract.NewDigest()
	d.Add(a.Answer)
	if a.Digest != d.String() {
		return entry.Answer{}, Error.New("answer does not match its digest")
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

func decodeRefusal(r io.Reader) error {
	var p entry.ProblemReport
	if err := json.NewDecoder(r).Decode(&p); err != nil || p.Problem == nil {
		return Error.New("the entry answered with an error, but without a problem document: %v", err)
	}
	return &Refusal{ProblemReport: p}
}

// streamReader reads the server-sent events of one answer.
type streamReader struct {
	onToken func(string)
	digest  *contract.Digest
	count   int
}

func newStreamReader(onToken func(string)) *streamReader {
	if onToken == nil {
		onToken = func(string) {}
	}
	return &streamReader{onToken: onToken, digest: contract.NewDigest()}
}

type tokenEvent struct {
	Index int    `json:"n"`
	Text  string `json:"text"`
}

func (s *streamReader) read(r io.Reader) (entry.Answer, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
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
			if err := s.handleToken(data); err != nil {
				return entry.Answer{}, err
			}
		case "done":
			return s.handleDone(data)
		case "problem":
			return entry.Answer{}, decodeRefusal(bytes.NewReader(data))
		}
	}
	return entry.Answer{}, Error.New("the stream ended before its closing event: %v", lines.Err())
}

func (s *streamReader) handleToken(data []byte) error {
	var event tokenEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return Error.Wrap(err)
	}
	if event.Index != s.count {
		return Error.New("token %d received, want token %d", event.Index, s.count)
	}
	s.count++
	s.digest.Add(event.Text)
	s.onToken(event.Text)
	return nil
}

func (s *streamReader) handleDone(data []byte) (entry.Answer, error) {
	var a entry.Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return entry.Answer{}, Error.Wrap(err)
	}
	if a.Count != s.count || a.Digest != s.digest.String() {
		return entry.Answer{}, Error.New("stream is incomplete or corrupt: received %d of %d tokens", s.count, a.Count)
	}
	return a, nil
}

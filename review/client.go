//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is one requester attempt.
type request struct {
	method, path, body string
	timeout            time.Duration
	headers            map[string]string
	// onEvent is called for each complete event of a stream.
	onEvent func(id int, text string)
}

// answer is what the requester got.
type answer struct {
	attempt string
	status  int
	header  http.Header
	body    string
	// complete is unset if the channel ended before the end of the answer.
	complete   bool
	err        error
	retryAfter time.Duration
}

var lastAttempt atomic.Int64

// newAttemptID returns an id for a requester attempt.
func newAttemptID() string { return fmt.Sprintf("9c41d07b%08x", lastAttempt.Add(1)) }

// newChannels returns a requester's transport that opens a new channel for each request.
func newChannels() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// send sends a requester attempt to a gateway and reads its answer.
func (r *run) send(c *http.Client, g *gateway, id string, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	a := answer{attempt: id}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+g.front+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	req.Host = "shop.example"
	req.Header.Set("Azurelead-Attempt-Id", id)
	req.Header.Set("Azurelead-Key", apiKey)
	req.Header.Set("Azurelead-Timeout-Ms", strconv.FormatInt(q.timeout.Milliseconds(), 10))
	for name, value := range q.headers {
		req.Header.Set(name, value)
	}
	r.add("%s sent to %s: %s %s %v", id, g.name, q.method, q.path, q.headers)
	resp, err := c.Do(req)
	if err != nil {
		a.err = err
		r.add("%s ended without an answer: %v", id, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.header = resp.StatusCode, resp.Header
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.complete, a.err = readEvents(resp.Body, q.onEvent)
	} else {
		var body []byte
		body, a.err = io.ReadAll(resp.Body)
		a.body, a.complete = strings.TrimSpace(string(body)), a.err == nil
	}
	r.add("%s answered %d complete=%v %s", id, a.status, a.complete, a.body)
	return a
}

// readEvents passes on the complete events of a stream and reports whether it ended regularly.
func readEvents(body io.Reader, onEvent func(id int, text string)) (complete bool, err error) {
	lines := bufio.NewReader(body)
	id, text := 0, ""
	for {
		l, err := lines.ReadString('\n')
		if err == io.EOF {
			return l == "" && text == "", nil
		}
		if err != nil {
			return false, err
		}
		l = strings.TrimRight(l, "\r\n")
		if l != "" {
			if value, found := strings.CutPrefix(l, "id: "); found {
				id, _ = strconv.Atoi(value)
			}
			text += l + " "
			continue
		}
		if onEvent != nil {
			onEvent(id, strings.TrimSpace(text))
		}
		text = ""
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client sends requests over connections of its own.
type client struct {
	http *http.Client
	key  string
	// header holds further fields of all requests.
	header map[string]string
}

// newClient returns a client with a key, whose connections come from an address.
func newClient(address, key string) *client {
	return &client{key: key, http: &http.Client{Transport: &http.Transport{DialContext: dialerFrom(address).DialContext, MaxIdleConnsPerHost: 4}}}
}

// dialerFrom returns a dialer whose connections come from a loopback address.
func dialerFrom(address string) *net.Dialer {
	return &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
}

var attempts atomic.Uint64

// newAttempt returns the id of an attempt.
func newAttempt() string {
	return fmt.Sprintf("%016x", attempts.Add(1)<<20|uint64(time.Now().UnixNano()&0xfffff))
}

// answer is what a client got.
type answer struct {
	attempt string
	sentAt  time.Time
	// firstAfter and after are the times to the head and to the end of the answer.
	firstAfter, after time.Duration
	status            int
	complete          bool
	// retryAfter is when a refusal tells the client to come back.
	retryAfter time.Duration
	// events is the number of events, ended whether the answer ended regularly.
	events int
	ended  bool
	// versions are the versions of software that wrote the events, in their order.
	versions []string
	err      error
}

// ask sends a request for a stream, and reads its answer for as long as it waits.
func (c *client) ask(g *gateway, path, prefix string, tokens int, timeout, wait time.Duration) answer {
	return c.askAs(newAttempt(), g, path, prefix, tokens, timeout, wait)
}

// askAs is like ask, for an attempt with an id.
func (c *client) askAs(attempt string, g *gateway, path, prefix string, tokens int, timeout, wait time.Duration) answer {
	return c.askWith(nil, attempt, g, path, prefix, tokens, timeout, wait)
}

// askWith is like askAs, with further header fields.
func (c *client) askWith(header map[string]string, attempt string, g *gateway, path, prefix string, tokens int, timeout, wait time.Duration) answer {
	a := answer{attempt: attempt, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+path, strings.NewReader("the prompt of "+prefix))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = "shop.example"
	r.Header.Set("Azurelead-Attempt-Id", a.attempt)
	r.Header.Set("Azurelead-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	r.Header.Set("Azurelead-Key", c.key)
	r.Header.Set("Azurelead-Model", "m")
	r.Header.Set("Azurelead-Token-Usage", fmt.Sprintf("%d,48", tokens))
	r.Header.Set("Azurelead-Prompt-Prefix", prefix)
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := c.http.Do(r)
	a.firstAfter = time.Since(a.sentAt)
	if err != nil {
		a.err, a.after = err, a.firstAfter
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(resp.Body)
	a.after, a.err = time.Since(a.sentAt), err
	for line := range strings.SplitSeq(string(body), "\n") {
		if data, found := strings.CutPrefix(line, "data: "); found {
			version, _, _ := strings.Cut(data, " ")
			a.versions = append(a.versions, version)
			a.events++
		}
	}
	a.versions = slices.Compact(a.versions)
	a.ended = err == nil
	a.complete = err == nil && (a.status != http.StatusOK || strings.Contains(string(body), "id: 8\n"))
	return a
}

// answers collects what clients got.
type answers struct {
	mu   sync.Mutex
	list []answer
}

func (l *answers) add(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

// every calls send at an interval, beside calls that have not returned, until ctx is done. It returns when all have.
func every(ctx context.Context, interval time.Duration, send func(n int)) {
	var calls sync.WaitGroup
	defer calls.Wait()
	t := time.NewTicker(interval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			calls.Go(func() { send(n) })
		}
	}
}

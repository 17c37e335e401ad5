package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	apiKey       = "the-soak's-key"
	streamEvents = 12
	// requestTimeout is the deadline that the clients send.
	requestTimeout = 3 * time.Second
)

// response is the outcome of one request as its client saw it.
type response struct {
	id, kind string
	status   int
	body     string
	err      error
	latency  time.Duration
}

var requestKinds = []struct{ name, method, path string }{
	{"look", "GET", "/look/x"}, {"book", "POST", "/book/x"}, {"plain", "POST", "/stream/plain/x"}, {"staged", "POST", "/stream/staged/x"},
}

// sendRequests sends requests one after the other over kept-alive connections until ctx is done.
func (r *run) sendRequests(ctx context.Context, e *entry, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		k := requestKinds[rng.IntN(len(requestKinds))]
		resp := r.sendRequest(ctx, client, e, k.name, fmt.Sprintf("%s-%016x", k.name, rng.Uint64()))
		r.mu.Lock()
		r.responses = append(r.responses, resp)
		r.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

func (r *run) sendRequest(ctx context.Context, client *http.Client, e *entry, kind, id string) response {
	start := time.Now()
	result := response{id: id, kind: kind}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout+time.Second)
	defer cancel()
	for _, k := range requestKinds {
		if k.name != kind {
			continue
		}
		req, err := http.NewRequestWithContext(ctx, k.method, "http://"+e.clientAddress+k.path, strings.NewReader("body of "+id))
		if err != nil {
			result.err = err
			return result
		}
		req.Host = "shop.example"
		fleettest.SetClientHeaders(req.Header, id, apiKey, requestTimeout)
		resp, err := client.Do(req)
		if err != nil {
			result.err = err
			return result
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		result.status, result.body, result.err = resp.StatusCode, string(body), err
	}
	result.latency = time.Since(start)
	return result
}

// checkInvariants compares the responses that the clients received with the requests that the
// endpoints ran.
func (r *run) checkInvariants() {
	runs := make(map[string][]fleettest.Run)
	for _, s := range r.servers {
		for _, endpointRun := range s.Runs() {
			runs[endpointRun.AttemptID] = append(runs[endpointRun.AttemptID], endpointRun)
		}
	}
	sent := make(map[string]bool)
	for _, resp := range r.responses {
		sent[resp.id] = true
		r.countResponse(resp)
		r.checkResponse(resp, runs[resp.id])
	}
	for id, endpointRuns := range runs {
		if !sent[id] && !strings.HasPrefix(id, "recovery-") {
			r.recordViolation("an endpoint ran %q, which no client sent", id)
		}
		for _, endpointRun := range endpointRuns {
			if endpointRun.Body != "body of "+id || endpointRun.Organisation != "org" || endpointRun.APIKey != "" {
				r.recordViolation("an endpoint ran %s with body %q for organisation %q, key %q", id, endpointRun.Body, endpointRun.Organisation, endpointRun.APIKey)
			}
		}
	}
}

func (r *run) countResponse(resp response) {
	r.report.Requests++
	switch {
	case resp.err == nil && resp.status == http.StatusOK:
		r.report.Served++
	case resp.status == http.StatusServiceUnavailable:
		r.report.Refused++
	default:
		r.report.Failed++
	}
}

func (r *run) checkResponse(resp response, runs []fleettest.Run) {
	atMostOnce := resp.kind == "book" || resp.kind == "plain"
	switch {
	case atMostOnce && len(runs) > 1:
		r.recordViolation("%s ran %d times", resp.id, len(runs))
	case resp.status == http.StatusServiceUnavailable && atMostOnce && len(runs) > 0:
		r.recordViolation("%s was refused as not run, but an endpoint ran it", resp.id)
	case resp.status == http.StatusUnauthorized || resp.status == http.StatusNotFound || resp.status == http.StatusForbidden:
		r.recordViolation("%s was rejected with status %d", resp.id, resp.status)
	}
	if resp.status != http.StatusOK {
		return
	}
	if resp.kind == "look" || resp.kind == "book" {
		if resp.err == nil && (!strings.HasPrefix(resp.body, "answer of ") || !strings.HasSuffix(resp.body, " to "+resp.id)) {
			r.recordViolation("%s got the unexpected answer %q", resp.id, resp.body)
		}
		return
	}
	want := ""
	for i := 1; i <= streamEvents; i++ {
		want += fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
	}
	if resp.err == nil && resp.body != want || resp.err != nil && !strings.HasPrefix(want, resp.body) {
		r.recordViolation("%s got the unexpected stream %q, which ended with error %v", resp.id, resp.body, resp.err)
	}
}

// awaitReady waits until every entry is ready, at most startTimeout.
func (r *run) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, e := range r.entries {
		for !fleettest.Ready(ctx, e.readyAddress) {
			if time.Now().After(deadline) {
				return Error.New("%s is not ready after %v", e.name, startTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

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
	soakKey      = "the-soak's-key"
	streamEvents = 12
	// askTimeout is the clients' deadline.
	askTimeout = 3 * time.Second
)

// answer is what a client saw of one attempt.
type answer struct {
	id, kind string
	status   int
	body     string
	err      error
	took     time.Duration
}

var kinds = []struct{ name, method, path string }{
	{"look", "GET", "/look/x"}, {"book", "POST", "/book/x"}, {"plain", "POST", "/stream/plain/x"}, {"staged", "POST", "/stream/staged/x"},
}

// ask sends requests one after the other on kept connections.
func (r *run) ask(ctx context.Context, e *entry, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		k := kinds[rng.IntN(len(kinds))]
		a := r.one(ctx, client, e, k.name, fmt.Sprintf("%s-%016x", k.name, rng.Uint64()))
		r.mu.Lock()
		r.answers = append(r.answers, a)
		r.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

func (r *run) one(ctx context.Context, client *http.Client, e *entry, kind, id string) answer {
	began := time.Now()
	a := answer{id: id, kind: kind}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout+time.Second)
	defer cancel()
	for _, k := range kinds {
		if k.name != kind {
			continue
		}
		req, err := http.NewRequestWithContext(ctx, k.method, "http://"+e.front+k.path, strings.NewReader("body of "+id))
		if err != nil {
			a.err = err
			return a
		}
		req.Host = "shop.example"
		fleettest.SetClientHeaders(req.Header, id, soakKey, askTimeout)
		resp, err := client.Do(req)
		if err != nil {
			a.err = err
			return a
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body, a.err = resp.StatusCode, string(body), err
	}
	a.took = time.Since(began)
	return a
}

// check compares what clients saw with what endpoints ran.
func (r *run) check() {
	ran := make(map[string][]fleettest.Run)
	for _, s := range r.servers {
		for _, x := range s.Runs() {
			ran[x.AttemptID] = append(ran[x.AttemptID], x)
		}
	}
	asked := make(map[string]bool)
	for _, a := range r.answers {
		asked[a.id] = true
		r.count(a)
		r.checkAnswer(a, ran[a.id])
	}
	for id, list := range ran {
		if !asked[id] && !strings.HasPrefix(id, "recovery-") {
			r.broken("an endpoint ran %q, which nobody asked for", id)
		}
		for _, x := range list {
			if x.Body != "body of "+id || x.Organisation != "org" || x.APIKey != "" {
				r.broken("an endpoint ran %s with body %q for organisation %q, key %q", id, x.Body, x.Organisation, x.APIKey)
			}
		}
	}
}

func (r *run) count(a answer) {
	r.report.Requests++
	switch {
	case a.err == nil && a.status == http.StatusOK:
		r.report.Served++
	case a.status == http.StatusServiceUnavailable:
		r.report.Refused++
	default:
		r.report.Failed++
	}
}

func (r *run) checkAnswer(a answer, ran []fleettest.Run) {
	once := a.kind == "book" || a.kind == "plain"
	switch {
	case once && len(ran) > 1:
		r.broken("%s ran %d times", a.id, len(ran))
	case a.status == http.StatusServiceUnavailable && once && len(ran) > 0:
		r.broken("%s was refused as not run, and ran", a.id)
	case a.status == http.StatusUnauthorized || a.status == http.StatusNotFound || a.status == http.StatusForbidden:
		r.broken("%s was denied with %d", a.id, a.status)
	}
	if a.status != http.StatusOK {
		return
	}
	if a.kind == "look" || a.kind == "book" {
		if a.err == nil && (!strings.HasPrefix(a.body, "answer of ") || !strings.HasSuffix(a.body, " to "+a.id)) {
			r.broken("%s was answered with %q", a.id, a.body)
		}
		return
	}
	want := ""
	for i := 1; i <= streamEvents; i++ {
		want += fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
	}
	if a.err == nil && a.body != want || a.err != nil && !strings.HasPrefix(want, a.body) {
		r.broken("%s got the stream %q, ended by %v", a.id, a.body, a.err)
	}
}

// awaitReady waits until every entry is ready.
func (r *run) awaitReady(ctx context.Context) error {
	end := time.Now().Add(readyWithin)
	for _, e := range r.entries {
		for !fleettest.Ready(ctx, e.health) {
			if time.Now().After(end) {
				return Error.New("%s is not ready after %v", e.name, readyWithin)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

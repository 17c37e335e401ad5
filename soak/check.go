package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	apiKey       = "the-soak's-key"
	streamEvents = 12
	// defaultRequestTimeout is the deadline that the clients send, and defaultEventGap the pause before each event of a
	// stream, unless there is planned work only.
	defaultRequestTimeout = 3 * time.Second
	defaultEventGap       = 15 * time.Millisecond
)

// resumePause is the pause after an attempt to resume a stream that was not served.
const resumePause = 400 * time.Millisecond

// maxResumptions bounds the further attempts by which a client resumes one stream.
const maxResumptions = 3

// response is the outcome of one request as its client saw it.
type response struct {
	id, kind string
	status   int
	body     string
	err      error
	latency  time.Duration
	// kept is set if the client keeps its connections open; only then is startedAt set, the time of the first byte.
	kept      bool
	startedAt time.Time
	// sentAt is when the last byte of the request was sent, endedAt when the client knew its end.
	sentAt, endedAt time.Time
	// longestWait is the longest time for which the client got nothing after it had sent the request.
	longestWait time.Duration
	// endOfGrace is set if the entry was at the end of its grace period when the request ended.
	endOfGrace bool
	// pastGrace is set if the entry's grace period was about to end when the request of a kept client ended.
	pastGrace bool
	// resumptions are the further attempts of a stream that broke, continued counts those that yielded events.
	resumptions []string
	continued   int
}

// requestKind is a kind of requests, each on a route of its own.
type requestKind struct{ name, method, path string }

// lateKind are requests for the service whose endpoint is registered after the last fault.
var lateKind = requestKind{"late", "GET", "/late/x"}

// requestKinds are those that clients send.
var requestKinds = []requestKind{
	{"look", "GET", "/look/x"}, {"book", "POST", "/book/x"}, {"plain", "POST", "/stream/plain/x"}, {"staged", "POST", "/stream/staged/x"},
}

// sendRequests sends requests one after the other over kept-alive connections until ctx is done.
func (r *run) sendRequests(ctx context.Context, e *entry, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		k := requestKinds[rng.IntN(len(requestKinds))]
		resp := r.sendRequest(ctx, client, e, k.name, fmt.Sprintf("%s-%016x", k.name, rng.Uint64()))
		for k.name == "staged" && !r.o.PlannedOnly && resp.isBroken() && len(resp.resumptions) < maxResumptions && resp.latency < r.requestTimeout()/2 {
			r.resume(ctx, client, r.entries[rng.IntN(len(r.entries))], &resp, fmt.Sprintf("%s-%016x", k.name, rng.Uint64()))
		}
		r.mu.Lock()
		r.responses = append(r.responses, resp)
		r.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
}

// isBroken reports whether a stream broke after it had yielded events.
func (resp *response) isBroken() bool {
	return resp.status == http.StatusOK && resp.err != nil && resp.events() > 0
}

// events returns the number of whole events of a stream.
func (resp *response) events() int { return strings.Count(resp.body, "\n\n") }

// resume sends a further attempt of a broken stream to an entry and appends its events.
func (r *run) resume(ctx context.Context, client *http.Client, e *entry, resp *response, id string) {
	resp.body = resp.body[:strings.LastIndex(resp.body, "\n\n")+2]
	header := http.Header{"Resumes": {resp.id}, "Last-Event-Id": {strconv.Itoa(resp.events())}}
	next := r.send(ctx, client, e, resp.kind, id, header)
	resp.resumptions = append(resp.resumptions, id)
	resp.latency += next.latency
	if next.status != http.StatusOK {
		time.Sleep(resumePause)
		return // refused, or ended without an answer: the stream stays broken
	}
	resp.body, resp.err = resp.body+next.body, next.err
	if next.events() > 0 {
		resp.continued++
	}
}

func (r *run) sendRequest(ctx context.Context, client *http.Client, e *entry, kind, id string) response {
	return r.send(ctx, client, e, kind, id, nil)
}

// send sends a request with additional headers.
func (r *run) send(ctx context.Context, client *http.Client, e *entry, kind, id string, header http.Header) response {
	result := response{id: id, kind: kind}
	for _, k := range append(slices.Clone(requestKinds), lateKind) {
		if k.name == kind {
			result = r.sendTo(ctx, client, e, result, k.method, k.path, r.requestBody(id), header)
		}
	}
	return result
}

// sendTo sends a request to a path and adds its outcome to a result that names the request.
func (r *run) sendTo(ctx context.Context, client *http.Client, e *entry, result response, method, path, body string, header http.Header) response {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.clientTimeout(result))
	defer cancel()
	sent := &sentBody{text: body, pause: r.uploadPause(result.id), readAt: start}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.clientAddress+path, sent)
	if err != nil {
		result.err = err
		return result
	}
	req.ContentLength = int64(len(body))
	req.Host = "shop.example"
	fleettest.SetClientHeaders(req.Header, result.id, apiKey, r.requestTimeout())
	maps.Copy(req.Header, header)
	wait := eventWait{sent: sent}
	if r.o.PlannedOnly && result.isStream() {
		defer wait.limit(ctx, r.patience(), cancel)()
	}
	result.receive(client, req, &wait)
	result.latency = result.endedAt.Sub(start)
	result.endOfGrace = e.isAtEndOfGrace(result.sentAt)
	return result
}

// clientTimeout returns how long a client waits for the end of a response.
func (r *run) clientTimeout(resp response) time.Duration {
	if r.o.PlannedOnly && !resp.isStream() {
		return r.requestTimeout()
	}
	return r.requestTimeout() + time.Second
}

// eventWait measures how long a client waits for an answer or for the next event after it has sent its request.
type eventWait struct {
	sent *sentBody

	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

// elapsed returns how long the client has been waiting.
func (w *eventWait) elapsed() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.elapsedLocked()
}

func (w *eventWait) elapsedLocked() time.Duration {
	if !w.last.IsZero() {
		return time.Since(w.last)
	}
	if !w.sent.isSent() {
		return 0
	}
	return time.Since(w.sent.end())
}

// end records the end of a wait.
func (w *eventWait) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longest = max(w.longest, w.elapsedLocked())
	w.last = time.Now()
}

// limit calls abandon when the client has waited for longer than its patience, until the returned function is called.
func (w *eventWait) limit(ctx context.Context, patience time.Duration, abandon func()) func() {
	ctx, stop := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			if w.elapsed() > patience {
				abandon()
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(patience / 100):
			}
		}
	}()
	return stop
}

// receive sends a request and reads its response.
func (resp *response) receive(client *http.Client, req *http.Request, wait *eventWait) {
	answer, err := client.Do(req)
	resp.err, resp.sentAt, resp.endedAt = err, wait.sent.end(), time.Now()
	var text strings.Builder
	for buf := make([]byte, 4096); resp.err == nil; {
		if !resp.isStream() || strings.Contains(text.String()[max(text.Len()-2, 0):], "\n\n") {
			wait.end()
		}
		var n int
		n, resp.err = answer.Body.Read(buf)
		text.Write(buf[:n])
	}
	wait.end()
	resp.longestWait, resp.endedAt = wait.longest, time.Now()
	if err != nil {
		return
	}
	_ = answer.Body.Close()
	resp.status, resp.body = answer.StatusCode, text.String()
	if resp.err == io.EOF {
		resp.err = nil
	}
}

// checkInvariants compares the responses that the clients received with the requests that the
// endpoints ran.
func (r *run) checkInvariants() {
	runs := make(map[string][]fleettest.Run)
	for _, s := range slices.Concat(r.servers, r.strained) {
		for _, endpointRun := range s.Runs() {
			runs[endpointRun.AttemptID] = append(runs[endpointRun.AttemptID], endpointRun)
		}
	}
	sent := make(map[string]bool)
	for _, resp := range r.responses {
		sent[resp.id] = true
		for _, id := range resp.resumptions {
			sent[id] = true
		}
		r.countResponse(resp)
		r.checkResponse(resp, runs[resp.id])
		if resp.kept {
			r.checkKept(resp, runs[resp.id])
		} else {
			r.checkAnswered(resp, runs[resp.id])
		}
	}
	for id, endpointRuns := range runs {
		if !sent[id] && !strings.HasPrefix(id, "recovery-") {
			r.recordViolation("an endpoint ran %q, which no client sent", id)
		}
		for _, endpointRun := range endpointRuns {
			if endpointRun.Body != r.requestBody(id) || endpointRun.Organisation != "org" || endpointRun.APIKey != "" {
				r.recordViolation("an endpoint ran %s with body %.100q for organisation %q, key %q", id, endpointRun.Body, endpointRun.Organisation, endpointRun.APIKey)
			}
			if (strings.HasPrefix(id, "staged-") || strings.HasPrefix(id, shiftingKind.name+"-")) && !areResultsOf(id, endpointRun.Inputs) {
				r.recordViolation("an endpoint ran %s with the inputs %q", id, endpointRun.Inputs)
			}
		}
	}
}

// areResultsOf reports whether inputs are the handles of two different results of a request's last stage.
func areResultsOf(id, inputs string) bool {
	handles := strings.Split(inputs, ",")
	for i, h := range handles {
		if !strings.Contains(h, fmt.Sprintf("/%s-1-%d-", id, i)) {
			return false
		}
	}
	return len(handles) == 2
}

func (r *run) countResponse(resp response) {
	r.report.Requests++
	r.report.Statuses[fmt.Sprintf("%s %d", resp.kind, resp.status)]++
	r.report.Resumptions += len(resp.resumptions)
	r.report.Continued += resp.continued
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
	atMostOnce := resp.kind == "book" || resp.kind == "plain" || isLarge(resp.id)
	mayBeDenied := resp.kind == transientKind.name && len(runs) == 0
	switch {
	case atMostOnce && len(runs) > 1:
		r.recordViolation("%s ran %d times", resp.id, len(runs))
	case resp.status == http.StatusServiceUnavailable && atMostOnce && len(runs) > 0:
		r.recordViolation("%s was refused as not run, but an endpoint ran it", resp.id)
	case !mayBeDenied && isDenial(resp.status):
		r.recordViolation("%s was rejected with status %d", resp.id, resp.status)
	}
	if resp.status != http.StatusOK {
		return
	}
	if resp.kind == "look" || resp.kind == "book" || isLarge(resp.id) {
		if resp.err == nil && (!strings.HasPrefix(resp.body, "answer of ") || !strings.HasSuffix(resp.body, " to "+resp.id)) {
			r.recordViolation("%s got the unexpected answer %q", resp.id, resp.body)
		}
		return
	}
	if !isStreamOfOneVersion(resp.body, resp.err == nil) {
		r.recordViolation("%s, resumed by %v, got the unexpected stream %.2000q, which ended with error %v", resp.id, resp.resumptions, resp.body, resp.err)
	}
}

// isDenial reports whether a status says that the request's route or key is not known.
func isDenial(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusNotFound || status == http.StatusForbidden
}

// isStreamOfOneVersion reports whether the body of a stream has the events of one version, all of them if it
// is complete.
func isStreamOfOneVersion(body string, complete bool) bool {
	return slices.ContainsFunc(engineVersions, func(version string) bool { return isStreamOf(version, body, complete) })
}

// isStreamOf reports whether the body of a stream has the events of a version, all of them if it is complete.
func isStreamOf(version, body string, complete bool) bool {
	want := ""
	for i := 1; i <= streamEvents; i++ {
		want += fleettest.Event(i, version)
	}
	return body == want || !complete && strings.HasPrefix(want, body)
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

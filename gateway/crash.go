package gateway

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/suspect"
)

const (
	// crashWindow is how long after an interrupted request the loss of its endpoint still counts as
	// a crash.
	crashWindow = 2 * time.Second
	// suspectRetryAfter is the delay sent to clients of refused requests. The request stays refused
	// for longer than that.
	suspectRetryAfter = 5 * time.Second
	// beginningEvents is the number of events up to which an endpoint counts as beginning a stream:
	// what crashes it then may be the prompt. A stream that goes on is proof against that.
	beginningEvents = 5
)

// crashTracker correlates interrupted requests with the loss of their endpoint. A lost response
// alone does not count as a crash.
type crashTracker struct {
	requests *suspect.Requests
	parts    *suspect.Parts
	// onCrash is called after a crash was recorded.
	onCrash func()

	mu          sync.Mutex
	interrupted map[string][]interruptedRequest
}

// interruptedRequest is a request whose connection to an endpoint failed.
type interruptedRequest struct {
	digest string
	// incarnation is that of the endpoint, which may start again under its name.
	incarnation int64
	// parts are the shared parts of its prompt if the endpoint was beginning the answer.
	parts []string
	at    time.Time
}

// newCrashTracker returns a tracker that reports crashes to the tables of the options.
func newCrashTracker(opts Options) *crashTracker {
	return &crashTracker{
		requests: opts.SuspectRequests, parts: opts.SuspectParts, onCrash: opts.OnCrash, interrupted: make(map[string][]interruptedRequest),
	}
}

// recordInterrupted records a request that was interrupted at an endpoint.
func (c *crashTracker) recordInterrupted(endpoint string, r interruptedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted[endpoint] = append(c.recentlyInterrupted(r.at, endpoint), r)
}

// recentlyInterrupted returns the requests interrupted at an endpoint within crashWindow. The
// caller holds mu.
func (c *crashTracker) recentlyInterrupted(now time.Time, endpoint string) []interruptedRequest {
	var kept []interruptedRequest
	for _, r := range c.interrupted[endpoint] {
		if now.Sub(r.at) < crashWindow {
			kept = append(kept, r)
		}
	}
	return kept
}

// endpointLost records that an endpoint is gone. Requests interrupted just before count as in
// flight at its crash; their digests are returned, and the parts of prompts that it was beginning to
// answer, each once.
func (c *crashTracker) endpointLost(now time.Time, endpoint string) (digests, parts []string) {
	c.mu.Lock()
	recent := c.recentlyInterrupted(now, endpoint)
	delete(c.interrupted, endpoint)
	c.mu.Unlock()
	for _, r := range recent {
		digests = append(digests, r.digest)
		parts = append(parts, r.parts...)
		crashed := fmt.Sprintf("%s/%d", endpoint, r.incarnation)
		c.requests.Crashed(crashed, r.digest)
		c.parts.Crashed(crashed, r.parts, r.digest)
	}
	if len(digests) > 0 {
		c.onCrash()
	}
	slices.Sort(digests)
	slices.Sort(parts)
	return slices.Compact(digests), slices.Compact(parts)
}

// refusal returns why a request is not run, or "" if it may run.
func (c *crashTracker) refusal(q *request) string {
	switch {
	case c.requests.Refused(q.digest(), q.sharedParts()):
		return "the request has crashed the endpoints that ran it"
	case c.parts.Refused(q.sharedParts()):
		return "a part of the prompt has crashed the endpoints that began an answer on it"
	}
	return ""
}

// endedWell records that an endpoint has sent its whole response to the request.
func (q *request) endedWell() { q.gw.crashes.requests.EndedWell(q.digest()) }

// digest identifies a request that is sent again under another attempt ID. Its body has been read.
func (q *request) digest() string {
	if q.cachedDigest != "" {
		return q.cachedDigest
	}
	h := xxhash.New()
	// Writes to a hash never fail.
	_, _ = fmt.Fprintf(h, "%s %s %s %s\n", q.r.Method, q.r.Host, q.r.RequestURI, q.organisationName())
	_, _ = h.Write(q.body)
	q.cachedDigest = fmt.Sprintf("%016x", h.Sum64())
	return q.cachedDigest
}

// EndpointLost tells the gateway that an endpoint was removed from the list, has restarted or cannot
// be reached.
func (g *Gateway) EndpointLost(id string) {
	if digests, parts := g.crashes.endpointLost(time.Now(), id); len(digests) > 0 {
		g.opts.Logger.Warn("endpoint crashed with requests in flight", "endpoint", id, "digests", digests, "parts", parts)
	}
}

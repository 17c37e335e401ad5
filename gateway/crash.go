package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/suspect"
)

const (
	// crashWindow is how long after an interrupted request the loss of its endpoint still counts as
	// a crash.
	crashWindow = 2 * time.Second
	// refuseAfterCrashes is the number of crashes after which a request is refused even if other
	// requests were in flight at each of them.
	refuseAfterCrashes = 3
	// suspectRetryAfter is the delay sent to clients of refused requests. The request stays refused
	// for longer than that.
	suspectRetryAfter = 5 * time.Second
)

// crashTracker correlates interrupted requests with the loss of their endpoint. A lost response
// alone does not count as a crash.
type crashTracker struct {
	suspects *suspect.Table

	mu          sync.Mutex
	interrupted map[string][]interruptedRequest
}

// interruptedRequest is a request whose connection to an endpoint failed.
type interruptedRequest struct {
	digest string
	at     time.Time
}

func newCrashTracker(suspects *suspect.Table) *crashTracker {
	return &crashTracker{suspects: suspects, interrupted: make(map[string][]interruptedRequest)}
}

// recordInterrupted records a request that was interrupted at an endpoint.
func (c *crashTracker) recordInterrupted(now time.Time, endpoint, digest string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted[endpoint] = append(c.recentlyInterrupted(now, endpoint), interruptedRequest{digest: digest, at: now})
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
// flight at its crash; their digests are returned.
func (c *crashTracker) endpointLost(now time.Time, endpoint string) []string {
	c.mu.Lock()
	recent := c.recentlyInterrupted(now, endpoint)
	delete(c.interrupted, endpoint)
	c.mu.Unlock()
	var digests []string
	for _, r := range recent {
		digests = append(digests, r.digest)
	}
	if len(digests) > 0 {
		c.suspects.Crashed(digests)
	}
	return digests
}

// refused reports whether a request has crashed too many endpoints to be run again.
func (c *crashTracker) refused(digest string) bool {
	if verdict, _ := c.suspects.Verdict(digest); verdict == suspect.Refused {
		return true
	}
	mark := c.suspects.Mark(digest)
	return mark != nil && mark.Crashes >= refuseAfterCrashes
}

// digest identifies a request that is sent again under another attempt ID.
func (q *request) digest() string {
	h := xxhash.New()
	// Writes to a hash never fail.
	_, _ = fmt.Fprintf(h, "%s %s %s %s\n", q.r.Method, q.r.Host, q.r.RequestURI, q.organisationName())
	_, _ = h.Write(q.body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// EndpointLost tells the gateway that an endpoint was removed from the list, has restarted or cannot
// be reached.
func (g *Gateway) EndpointLost(id string) {
	if digests := g.crashes.endpointLost(time.Now(), id); len(digests) > 0 {
		g.opts.Logger.Warn("endpoint crashed with requests in flight", "endpoint", id, "digests", digests)
	}
}

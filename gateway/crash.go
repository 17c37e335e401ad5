package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/suspect"
)

const (
	// crashWindow is how long after a request broke off its endpoint's loss
	// proves a crash.
	crashWindow = 2 * time.Second
	// crashesToRefuse refuses a request that was in flight at so many crashes
	// although others were too.
	crashesToRefuse = 3
	// suspectRetry is when a client may come back with a refused request; it is
	// refused for longer.
	suspectRetry = 5 * time.Second
)

// crashes connects requests that broke off with the loss of their endpoint: a
// lost answer alone is no crash.
type crashes struct {
	table *suspect.Table

	mu     sync.Mutex
	broken map[string][]brokenRequest
}

type brokenRequest struct {
	digest string
	at     time.Time
}

func newCrashes(table *suspect.Table) *crashes {
	return &crashes{table: table, broken: make(map[string][]brokenRequest)}
}

// broke notes a request that broke off at an endpoint.
func (c *crashes) broke(now time.Time, endpoint, digest string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken[endpoint] = append(c.recent(now, endpoint), brokenRequest{digest: digest, at: now})
}

// recent are an endpoint's requests that broke off within the window. The
// caller holds mu.
func (c *crashes) recent(now time.Time, endpoint string) []brokenRequest {
	var kept []brokenRequest
	for _, b := range c.broken[endpoint] {
		if now.Sub(b.at) < crashWindow {
			kept = append(kept, b)
		}
	}
	return kept
}

// lost notes that an endpoint is not there any more: what broke off just before
// was in flight when it crashed. It returns those requests' digests.
func (c *crashes) lost(now time.Time, endpoint string) []string {
	c.mu.Lock()
	recent := c.recent(now, endpoint)
	delete(c.broken, endpoint)
	c.mu.Unlock()
	var digests []string
	for _, b := range recent {
		digests = append(digests, b.digest)
	}
	if len(digests) > 0 {
		c.table.Crashed(digests)
	}
	return digests
}

// refused reports whether a request has crashed too many endpoints.
func (c *crashes) refused(digest string) bool {
	if verdict, _ := c.table.Verdict(digest); verdict == suspect.Refused {
		return true
	}
	m := c.table.Mark(digest)
	return m != nil && m.Crashes >= crashesToRefuse
}

// digest recognises a request that comes again under another id.
func (q *request) digest() string {
	h := xxhash.New()
	// A hash takes all that is written.
	_, _ = fmt.Fprintf(h, "%s %s %s %s\n", q.r.Method, q.r.Host, q.r.RequestURI, q.organisation())
	_, _ = h.Write(q.body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// EndpointLost tells the gateway that an endpoint's entry vanished or that it
// has started anew.
func (g *Gateway) EndpointLost(id string) {
	if digests := g.crashes.lost(time.Now(), id); len(digests) > 0 {
		g.o.Logger.Warn("endpoint crashed with requests in flight", "endpoint", id, "digests", digests)
	}
}

//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

func init() { cases["versions"] = versions }

// versions plays a release of a newer software version, and kills all gateways at the same moment
// while streams that the old version began are still running.
func versions(r *run) []string {
	const (
		streams    = 30
		newServers = 7 // of 12, from earlier releases; the release replaces the other 5, a share of 0.42
		oldServers = 5
	)
	var all []*fleettest.Server
	add := func(version string, i int) *fleettest.Server {
		s := fleettest.NewServer(fmt.Sprintf("i-%s-%d", version, i))
		s.SetVersion(version)
		s.SetStream(40, 200*time.Millisecond)
		r.store.Put("servers", s.ID, s.EndpointSpec("heater-llm", zones[i%len(zones)]))
		r.add("server %s of version %s is listed", s.ID, version)
		r.closers = append(r.closers, s.Close)
		all = append(all, s)
		return s
	}
	for i := range newServers {
		add("v2", i)
	}
	var old []*fleettest.Server
	for i := range oldServers {
		old = append(old, add("v1", i))
	}
	route := fleettest.Route("quick-tip", "/stream/tip/", "streaming", "heater-llm", map[string]any{
		"timeoutMs": 10000, "targetLatencyMs": 2400, "targetGapMs": 400, "attempts": 2, "resumable": true, "sticky": true,
	})
	r.putConfig(1, []map[string]any{route}, []map[string]any{fleettest.EngineService("heater-llm")})
	r.startGateways(4)

	// Streams begin at servers of both versions.
	seen := make([]map[string]bool, streams)
	var wg sync.WaitGroup
	for i := range streams {
		seen[i] = make(map[string]bool)
		wg.Go(func() { r.streamWithRetry(i, seen[i]) })
		time.Sleep(60 * time.Millisecond)
	}

	// Planned work: a release. One after the other, a new server starts, and an old one leaves the list and
	// serves on until its streams have ended.
	for i, s := range old {
		add("v2", newServers+i)
		r.store.Delete("servers", s.ID)
		r.add("server %s has left the list and serves on", s.ID)
		time.Sleep(time.Second)
	}
	if r.trouble {
		for _, g := range r.gateways {
			g.signal(syscall.SIGKILL)
		}
		r.add("all gateways were killed")
		for _, g := range r.gateways {
			<-g.end
		}
		time.Sleep(500 * time.Millisecond)
		for _, g := range r.gateways {
			r.startGateway(g)
		}
	}
	wg.Wait()
	r.recordRuns(all)

	var mixed []string
	for i, versions := range seen {
		if len(versions) > 1 {
			mixed = append(mixed, fmt.Sprintf("ORDER: the stream of requester %d holds events of two software versions", i))
		}
	}
	if len(mixed) <= 2 { // the rule allows two
		return nil
	}
	return mixed
}

// streamWithRetry asks for a stream and takes it up again once, a second after its channel broke.
func (r *run) streamWithRetry(i int, seen map[string]bool) {
	deadline := time.Now().Add(10 * time.Second)
	g := r.gateways[i%len(r.gateways)]
	first, last := "", 0
	for try := range 2 {
		id := newAttemptID()
		headers := map[string]string{
			"Azurelead-Model": "m", "Azurelead-Token-Usage": "1460,150", "Azurelead-Prompt-Prefix": fmt.Sprintf("5c1e07a%x:210,%08x:140", i%8, i),
		}
		if last > 0 {
			headers["Last-Event-Id"], headers["Resumes"] = fmt.Sprint(last), first
		}
		a := r.send(newChannels(), g, id, request{
			method: "POST", path: "/stream/tip/q", body: fmt.Sprint("tip ", i), timeout: time.Until(deadline), headers: headers,
			onEvent: func(event int, text string) {
				if first == "" {
					first = id
				}
				last = event
				version := text[strings.LastIndex(text, " ")+1:]
				seen[version] = true
				r.add("requester %d got event %d of version %s in %s", i, event, version, id)
			},
		})
		if a.complete && a.status == 200 || try == 1 {
			return
		}
		time.Sleep(max(time.Second, a.retryAfter))
		g = r.gateways[(i+1)%len(r.gateways)]
	}
}

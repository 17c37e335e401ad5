//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

func init() { cases["takeup"] = takeup }

const (
	// takeupRetries is how often a requester comes again within its deadline.
	takeupRetries = 3
	// takeupStreams is the number of streams that run when the gateway is killed, one every takeupInterval.
	takeupStreams  = 64
	takeupInterval = 50 * time.Millisecond
)

// takeup kills one gateway some seconds after a release has ended.
func takeup(r *run) []string {
	var all []*fleettest.Server
	add := func(version string, i int) *fleettest.Server {
		s := fleettest.NewServer(fmt.Sprintf("i-%s-%d", version, i))
		s.SetVersion(version)
		s.SetStream(30, 250*time.Millisecond)
		r.store.Put("servers", s.ID, s.EndpointSpec("heater-llm", zones[i%len(zones)]))
		r.add("server %s of version %s is listed", s.ID, version)
		r.closers = append(r.closers, s.Close)
		all = append(all, s)
		return s
	}
	// Seven of 12 servers have the new version from earlier releases; this one replaces the other 5.
	for i := range 7 {
		add("v2", i)
	}
	var old []*fleettest.Server
	for i := range 5 {
		old = append(old, add("v1", i))
	}
	route := fleettest.Route("quick-tip", "/stream/tip/", "streaming", "heater-llm", map[string]any{
		"timeoutMs": 10000, "targetLatencyMs": 2400, "targetGapMs": 400, "attempts": 2, "resumable": true, "sticky": true,
	})
	r.putConfig(1, []map[string]any{route}, []map[string]any{fleettest.EngineService("heater-llm")})
	r.startGateways(4)
	for i, s := range old {
		add("v2", 7+i)
		spec := s.EndpointSpec("heater-llm", zones[i%len(zones)])
		spec["state"] = "draining"
		r.store.Put("servers", s.ID, spec)
		time.AfterFunc(4*time.Second, func() { // drainMs and a little longer
			r.store.Delete("servers", s.ID)
			s.Close()
			r.add("server %s has left", s.ID)
		})
		time.Sleep(time.Second)
	}
	time.Sleep(8 * time.Second)
	r.add("the release ended some seconds ago")

	killed := r.gateways[1]
	type tries struct{ sent, served int }
	var mu sync.Mutex
	var again, fresh tries
	var wg sync.WaitGroup
	ask := func(i int, g *gateway, count *tries) {
		deadline := time.Now().Add(10 * time.Second)
		first, last := "", 0
		tookUp, wentOn := false, false
		for try := range 1 + takeupRetries {
			if time.Until(deadline) < 300*time.Millisecond {
				break
			}
			id := newAttemptID()
			headers := map[string]string{
				"Azurelead-Model": "m", "Azurelead-Token-Usage": "1460,180", "Azurelead-Prompt-Prefix": fmt.Sprintf("5c1e07a%x:210,%08x:140", i%8, i),
			}
			got := 0
			if last > 0 {
				headers["Last-Event-Id"], headers["Resumes"] = fmt.Sprint(last), first
				tookUp = true
			}
			a := r.send(newChannels(), g, id, request{
				method: "POST", path: "/stream/tip/q", body: fmt.Sprint("tip ", i), timeout: time.Until(deadline), headers: headers,
				onEvent: func(event int, _ string) {
					if first == "" {
						first = id
					}
					last = event
					got++
				},
			})
			wentOn = wentOn || tookUp && got > 0
			if try == 0 && count != nil {
				mu.Lock()
				count.sent++
				if got > 0 {
					count.served++
				}
				mu.Unlock()
			}
			if a.complete && a.status == 200 {
				break
			}
			time.Sleep(max(500*time.Millisecond, a.retryAfter))
			for g = r.gateways[(i+try)%4]; g == killed; { // the balancer's choice: it is out of rotation
				g = r.gateways[(i+try+1)%4]
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if tookUp {
			again.sent++
			if wentOn {
				again.served++
			}
		}
	}
	for i := range takeupStreams {
		wg.Go(func() { ask(i, r.gateways[i%4], nil) })
		time.Sleep(takeupInterval)
	}
	time.Sleep(time.Second)
	if r.trouble {
		killed.signal(syscall.SIGKILL)
		r.add("%s was killed", killed.name)
		<-killed.end
		wg.Go(func() { // the platform starts it again; the requesters go on at the others
			time.Sleep(500 * time.Millisecond)
			r.startGateway(killed)
		})
	}
	for i := range takeupStreams / 2 { // new streams at the other gateways
		g := r.gateways[i%4]
		if g == killed {
			g = r.gateways[(i+1)%4]
		}
		wg.Go(func() { ask(takeupStreams+i, g, &fresh) })
		time.Sleep(takeupInterval)
	}
	wg.Wait()
	r.recordRuns(all)
	r.add("at machines in touch: %d of %d streams that were taken up went on, %d of %d new streams began", again.served, again.sent, fresh.served, fresh.sent)
	if again.sent < 12 || float64(again.served)/float64(again.sent) >= float64(fresh.served)/float64(fresh.sent)/2 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: of %d streams that requesters took up again at machines in touch %d went on, while %d of %d new streams began",
		again.sent, again.served, fresh.served, fresh.sent)}
}

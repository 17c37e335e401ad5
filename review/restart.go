//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

func init() { cases["restart"] = restart }

const (
	contact = 3 * time.Second // contactMs
	// restartRetries is how often a requester comes again, each time after restartPause or what it was told.
	restartRetries = 3
	restartPause   = 1200 * time.Millisecond
)

// restart kills all gateways while servers of two software versions serve side by side.
func restart(r *run) []string {
	const streams = 32
	var all []*fleettest.Server
	for i := range 12 {
		s := fleettest.NewServer(fmt.Sprintf("i-llm-%d", i))
		s.SetVersion(fmt.Sprintf("v%d", 1+i%2))
		s.SetStream(30, 250*time.Millisecond)
		r.store.Put("servers", s.ID, s.EndpointSpec("heater-llm", zones[i%len(zones)]))
		r.closers = append(r.closers, s.Close)
		all = append(all, s)
	}
	route := fleettest.Route("quick-tip", "/stream/tip/", "streaming", "heater-llm", map[string]any{
		"timeoutMs": 10000, "targetLatencyMs": 2400, "targetGapMs": 400, "attempts": 2, "resumable": true, "sticky": true,
	})
	r.putConfig(1, []map[string]any{route}, []map[string]any{fleettest.EngineService("heater-llm")})
	r.startGateways(4)

	var mu sync.Mutex
	inTouchFrom := time.Now()
	if r.trouble {
		inTouchFrom = inTouchFrom.Add(time.Hour) // only what follows the restart is counted
	}
	inTouch := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !time.Now().Before(inTouchFrom)
	}
	// tries counts requests that were sent at machines in touch, by whether they went on or began.
	type tries struct{ sent, served int }
	var again, fresh tries
	var wg sync.WaitGroup
	ask := func(i int) {
		deadline := time.Now().Add(10 * time.Second)
		first, last := "", 0
		counted, wentOn := false, false
		for try := range 1 + restartRetries {
			if time.Until(deadline) < 300*time.Millisecond {
				break
			}
			id := newAttemptID()
			headers := map[string]string{
				"Azurelead-Model": "m", "Azurelead-Token-Usage": "1460,180", "Azurelead-Prompt-Prefix": fmt.Sprintf("5c1e07a%x:210,%08x:140", i%8, i),
			}
			takesUp := last > 0
			if takesUp {
				headers["Last-Event-Id"], headers["Resumes"] = fmt.Sprint(last), first
			}
			touch, got := inTouch(), 0
			a := r.send(newChannels(), r.gateways[(i+try)%len(r.gateways)], id, request{
				method: "POST", path: "/stream/tip/q", body: fmt.Sprint("tip ", i), timeout: time.Until(deadline), headers: headers,
				onEvent: func(event int, _ string) {
					if first == "" {
						first = id
					}
					last = event
					got++
				},
			})
			mu.Lock()
			switch {
			case touch && takesUp:
				counted, wentOn = true, wentOn || got > 0
			case touch:
				fresh.sent++
				if got > 0 {
					fresh.served++
				}
			}
			mu.Unlock()
			if a.complete && a.status == 200 {
				break
			}
			time.Sleep(max(restartPause, a.retryAfter))
		}
		mu.Lock()
		defer mu.Unlock()
		if counted {
			again.sent++
			if wentOn {
				again.served++
			}
		}
	}
	for i := range streams {
		wg.Go(func() { ask(i) })
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(time.Second)
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
		mu.Lock()
		inTouchFrom = time.Now().Add(contact)
		mu.Unlock()
	}
	time.Sleep(contact)
	for i := range 16 { // new streams
		wg.Go(func() { ask(streams + i) })
		time.Sleep(100 * time.Millisecond)
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

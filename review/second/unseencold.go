package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// coldPerS, coldOvershoot and coldSlack are those of the sheet and the configuration.
	coldPerS      = 9.1
	coldOvershoot = 1.5
	coldSlack     = 5
	coldBound     = coldPerS*coldOvershoot + coldSlack
	coldStart     = 3 * time.Second
	// A server crashes at crashAt and is back after crashTime. The store is silent from silentAt for silentTime.
	crashAt    = 8 * time.Second
	crashTime  = 4300 * time.Millisecond
	silentAt   = 10500 * time.Millisecond
	silentTime = 5 * time.Second
	coldTime   = 20 * time.Second
)

// playUnseenCold crashes one server, which starts again under its id and is cold, while the store is silent. A cold server
// crashes at a rate above the bound.
func playUnseenCold(f *deployment, trouble bool) error {
	engine := fleettest.EngineService("llm")
	engine["coldStartS"], engine["coldPerS"] = coldStart.Seconds(), coldPerS
	f.configure(1, []map[string]any{fleettest.Route("ask", "/ask/", "streaming", "llm", map[string]any{
		"timeoutMs": askTimeout.Milliseconds(), "sticky": true, "targetLatencyMs": 2400, "attempts": 1,
	})}, []map[string]any{engine})
	var mu sync.Mutex
	var arrivals []time.Time
	for i := range 3 {
		s, err := newServer(f, fmt.Sprintf("i-%d", i))
		if err != nil {
			return err
		}
		s.coldStart = coldStart
		if i == 0 {
			s.onRequest = func(s *server, r *http.Request) bool {
				if !time.Now().Before(s.coldUntil()) {
					return false
				}
				mu.Lock()
				defer mu.Unlock()
				arrivals = append(arrivals, time.Now())
				f.note("request %s reaches %s, which is cold for %d ms", r.Header.Get("Azurelead-Attempt-Id"), s.id, time.Until(s.coldUntil()).Milliseconds())
				return float64(lastSecond(arrivals)) > coldBound
			}
		}
		f.servers = append(f.servers, s)
		f.register(s, "llm", i)
	}
	if err := f.start(3); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), coldTime)
	defer cancel()
	begin := time.Now()
	var list answers
	var clients sync.WaitGroup
	for i, g := range f.gateways {
		clients.Go(func() {
			c := newClient(ordinaryAddress, apiKey)
			every(ctx, 33*time.Millisecond, func(n int) {
				a := c.ask(g, "/ask/x", fmt.Sprintf("c%d%x:350", i, n), 350, askTimeout, askTimeout+2*time.Second)
				list.add(a)
				f.note("ordinary %s at %s: %d after %d ms, complete %v %v", a.attempt, g.name, a.status, a.after.Milliseconds(), a.complete, a.err)
			})
		})
	}
	if trouble {
		clients.Go(func() {
			s := f.servers[0]
			sleepUntil(ctx, begin.Add(crashAt))
			s.crash()
			f.note("%s crashes", s.id)
			sleepUntil(ctx, begin.Add(silentAt))
			f.store.SetFault(fleettest.Silent)
			f.note("the store is silent")
			sleepUntil(ctx, begin.Add(crashAt+crashTime))
			if err := s.startAgain("v1"); err != nil {
				f.note("%s could not start again: %v", s.id, err)
				return
			}
			f.note("%s is back and cold", s.id)
			sleepUntil(ctx, begin.Add(silentAt+silentTime))
			if s.isUp() {
				f.register(s, "llm", 0)
			} else {
				f.store.Delete(fleet.KindEndpoints, s.id)
			}
			f.store.SetFault(fleettest.Healthy)
			f.note("the store is back")
		})
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i := range arrivals {
		most = max(most, lastSecond(arrivals[:i+1]))
	}
	lost := 0
	for _, a := range list.list {
		if a.sentAt.After(begin.Add(crashAt+crashTime)) && a.err != nil {
			lost++
		}
	}
	f.note("the cold server got %d requests, at most %d in one second; the rule allows %.2f; %d answers were broken off after its return", len(arrivals), most, coldBound, lost)
	if float64(most) > coldBound {
		f.breaks("a cold server got %d requests in one second, the rule allows %.2f", most, coldBound)
	}
	return nil
}

// lastSecond returns the number of arrivals within a second up to the last one.
func lastSecond(arrivals []time.Time) (n int) {
	last := arrivals[len(arrivals)-1]
	for _, at := range arrivals {
		if last.Sub(at) < time.Second {
			n++
		}
	}
	return n
}

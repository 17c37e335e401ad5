package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// coldPerS, coldOvershoot and coldSlack are those of the sheet and the configuration.
	coldPerS      = 9.1
	coldOvershoot = 1.5
	coldSlack     = 5
	coldStart     = 3 * time.Second
	// A server crashes at crashAt and is back after crashTime. The store is silent from silentAt for silentTime.
	crashAt    = 8 * time.Second
	crashTime  = 4300 * time.Millisecond
	silentAt   = 10500 * time.Millisecond
	silentTime = 5 * time.Second
	coldTime   = 20 * time.Second
)

// playUnseenCold crashes one server, which starts again under its id and is cold, while the store is silent.
func playUnseenCold(f *deployment, trouble bool) error {
	engine := fleettest.EngineService("llm")
	engine["coldStartS"], engine["coldPerS"] = coldStart.Seconds(), coldPerS
	f.configure(1, []map[string]any{fleettest.Route("ask", "/ask/", "streaming", "llm", map[string]any{
		"timeoutMs": askTimeout.Milliseconds(), "sticky": true, "resumable": true, "targetLatencyMs": 2400,
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
				if time.Now().Before(s.coldUntil()) {
					mu.Lock()
					defer mu.Unlock()
					arrivals = append(arrivals, time.Now())
					f.note("request %s reaches %s, which is cold for %d ms", r.Header.Get("Azurelead-Attempt-Id"), s.id, time.Until(s.coldUntil()).Milliseconds())
				}
				return false
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
	var clients sync.WaitGroup
	for i, g := range f.gateways {
		clients.Go(func() {
			c := newClient(ordinaryAddress, apiKey)
			every(ctx, 33*time.Millisecond, func(n int) {
				a := c.ask(g, "/ask/x", fmt.Sprintf("c%d%x:350", i, n), 350, askTimeout, askTimeout+2*time.Second)
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
			f.register(s, "llm", 0)
			f.store.SetFault(fleettest.Healthy)
			f.note("the store is back")
		})
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(arrivals[i]) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	bound := coldPerS*coldOvershoot + coldSlack
	f.note("the cold server got %d requests, at most %d in one second; the rule allows %.2f", len(arrivals), most, bound)
	if float64(most) > bound {
		f.breaks("a cold server got %d requests in one second, the rule allows %.2f", most, bound)
	}
	return nil
}

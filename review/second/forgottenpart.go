package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// crashingPart is the part of prompts that crashes each server that begins an answer on it.
	crashingPart = "dead"
	// restartTime is the time after which a crashed server is back.
	restartTime = 3 * time.Second
	// batchInterval is the time between two batches of requests with the part, batchSize their number in a batch, and
	// batchGap the time between two of them.
	batchInterval = 10 * time.Second
	batchSize     = 5
	batchGap      = 80 * time.Millisecond
	firstBatch    = 5 * time.Second
	// killAt is when all gateways are killed, downTime how long they are down.
	killAt   = 19 * time.Second
	downTime = 500 * time.Millisecond
	playTime = 38 * time.Second
	// crashesBefore and mostArrivals are those of the rule.
	crashesBefore = 5
	mostArrivals  = 3
)

// arrival is a request with the part that reached a server.
type arrival struct {
	at      time.Time
	gateway *gateway
}

// playForgottenPart sends batches of requests with a part that crashes servers, and kills all gateways once.
func playForgottenPart(f *deployment, trouble bool) error {
	engine := fleettest.EngineService("llm")
	engine["coldStartS"], engine["coldPerS"] = 0, 0
	f.configure(1, []map[string]any{fleettest.Route("ask", "/ask/", "streaming", "llm", map[string]any{
		"timeoutMs": askTimeout.Milliseconds(), "sticky": true, "resumable": true, "attempts": 2,
	})}, []map[string]any{engine})
	var mu sync.Mutex
	var arrivals []arrival
	var crashes []time.Time
	gatewayOf := make(map[string]*gateway)
	for i := range 10 {
		s, err := newServer(f, fmt.Sprintf("i-%d", i))
		if err != nil {
			return err
		}
		s.onRequest = func(s *server, r *http.Request) bool {
			if !strings.Contains(r.Header.Get("Azurelead-Prompt-Prefix"), crashingPart) {
				return false
			}
			id := r.Header.Get("Azurelead-Attempt-Id")
			mu.Lock()
			defer mu.Unlock()
			g := gatewayOf[id]
			arrivals = append(arrivals, arrival{at: time.Now(), gateway: g})
			f.note("request %s with the part reaches %s from %s", id, s.id, g.name)
			return true
		}
		s.onCrash = func(s *server) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			f.note("%s crashes, the crash is number %d", s.id, len(crashes))
			mu.Unlock()
			time.AfterFunc(restartTime, func() {
				if err := s.startAgain("v1"); err != nil {
					f.note("%s could not start again: %v", s.id, err)
					return
				}
				f.register(s, "llm", i)
				f.note("%s is back", s.id)
			})
		}
		f.servers = append(f.servers, s)
		f.register(s, "llm", i)
	}
	if err := f.start(4); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	begin := time.Now()
	var clients sync.WaitGroup
	for i, g := range f.gateways {
		clients.Go(func() {
			c := newClient(ordinaryAddress, apiKey)
			every(ctx, 250*time.Millisecond, func(n int) {
				a := c.ask(g, "/ask/x", fmt.Sprintf("a1:6300,b%d:2000,c%d%d:890", n%20, i, n), 9190, askTimeout, askTimeout+2*time.Second)
				f.note("sound %s at %s: %d after %d ms, complete %v %v", a.attempt, g.name, a.status, a.after.Milliseconds(), a.complete, a.err)
			})
		})
	}
	clients.Go(func() {
		c := newClient(ordinaryAddress, apiKey)
		for batch := 0; sleepUntil(ctx, begin.Add(firstBatch+time.Duration(batch)*batchInterval)); batch++ {
			for n := range batchSize {
				clients.Go(func() {
					g := f.gateways[n%len(f.gateways)]
					id := newAttempt()
					mu.Lock()
					gatewayOf[id] = g
					mu.Unlock()
					a := c.askAs(id, g, "/ask/x", fmt.Sprintf("a1:6300,%s:2000,d%d%d:890", crashingPart, batch, n), 9190, askTimeout, askTimeout+2*time.Second)
					f.note("with the part %s at %s: %d after %d ms, complete %v %v", a.attempt, g.name, a.status, a.after.Milliseconds(), a.complete, a.err)
				})
				time.Sleep(batchGap)
			}
		}
	})
	if trouble {
		clients.Go(func() {
			if !sleepUntil(ctx, begin.Add(killAt)) {
				return
			}
			for _, g := range f.gateways {
				g.kill()
			}
			f.note("all gateways are killed")
			time.Sleep(downTime)
			for _, g := range f.gateways {
				if err := g.run(); err != nil {
					f.note("%s could not start again: %v", g.name, err)
				}
			}
			f.note("all gateways are started again")
		})
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < crashesBefore {
		return fmt.Errorf("%d crashes", len(crashes))
	}
	since, counted := crashes[crashesBefore-1].Add(contactTime), 0
	for _, a := range arrivals {
		if a.at.After(since) && !a.at.Before(a.gateway.inTouchSince()) {
			counted++
		}
	}
	f.note("%d requests with the part reached servers, %d of them from machines in touch later than %v after crash %d", len(arrivals), counted, contactTime, crashesBefore)
	if counted > mostArrivals {
		f.breaks("%d requests with the part reached servers from machines in touch later than %v after crash %d", counted, contactTime, crashesBefore)
	}
	return nil
}

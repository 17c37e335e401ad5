package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// deepInterval is the time between two requests of one gateway's clients, burstInterval that while many come at once,
	// 2.5 times as many. A burst begins every burstPause from firstBurst on and lasts burstTime.
	deepInterval  = 250 * time.Millisecond
	burstInterval = 100 * time.Millisecond
	firstBurst    = 4 * time.Second
	burstTime     = 7 * time.Second
	burstPause    = 9 * time.Second
	stagePlay     = 49 * time.Second
	// One of four engines crashes crashLater after the begin of a burst, and is back after engineDown.
	crashLater = 5 * time.Second
	engineDown = 4 * time.Second
	// clientTries is how often a client sends a request, or takes a stream up, that is refused.
	clientTries = 2
	// leastTakenUp is the number of streams taken up from which the rule judges.
	leastTakenUp = 12
)

// playLateStages crashes engines while many requests come that need a stage.
func playLateStages(f *deployment, trouble bool) error {
	engine := fleettest.EngineService("llm")
	engine["coldStartS"], engine["coldPerS"] = 0, 0
	f.configure(1, []map[string]any{fleettest.Route("deep", "/deep/", "streaming", "llm", map[string]any{
		"timeoutMs": 8000, "sticky": true, "resumable": true, "attempts": 2, "targetLatencyMs": 1000, "targetGapMs": 400, "priority": 0,
		"stages": []map[string]any{{"service": "portal", "after": []int{}, "bytes": 3000000}},
	})}, []map[string]any{engine, stageService("portal")})
	for i := range 6 {
		id, service := fmt.Sprintf("i-%d", i), "llm"
		if i >= 4 {
			id, service = fmt.Sprintf("p-%d", i), "portal"
		}
		s, err := newServer(f, id)
		if err != nil {
			return err
		}
		s.readTime, s.events, s.gap = 250*time.Millisecond, 20, 150*time.Millisecond
		f.servers = append(f.servers, s)
		f.register(s, service, i)
	}
	if err := f.start(3); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stagePlay)
	defer cancel()
	begin := time.Now()
	var mu sync.Mutex
	var fresh, began, taken, went int
	var clients sync.WaitGroup
	for i := range f.gateways {
		clients.Go(func() {
			c := newClient(ordinaryAddress, apiKey)
			every(ctx, burstInterval, func(n int) {
				// Every fifth tick but one belongs to a burst only.
				if skip := n%5 != 0 && n%5 != 2; skip && !(trouble && inBurst(time.Since(begin))) {
					return
				}
				sent := time.Now()
				header := map[string]string{"Azurelead-Chunks": "3", "Azurelead-Chunk-Key": fmt.Sprintf("k%d%x", i, n)}
				prefix := fmt.Sprintf("a%d:13300,c%d%x:3720", n%7, i, n)
				a := f.tryDeep(c, i, header, prefix, sent)
				mu.Lock()
				if sent.Sub(begin) > firstBurst {
					fresh++
					if a.events > 0 {
						began++
					}
				}
				mu.Unlock()
				if a.events == 0 || a.ended {
					return
				}
				// The stream broke off: its client takes it up at another gateway.
				f.note("%s broke off after event %d", a.attempt, a.events)
				header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(a.events), a.attempt
				b := f.tryDeep(c, i+1, header, prefix, sent)
				mu.Lock()
				defer mu.Unlock()
				taken++
				if b.events > 0 {
					went++
				}
			})
		})
	}
	if trouble {
		clients.Go(func() {
			for n := 0; sleepUntil(ctx, begin.Add(firstBurst+crashLater+time.Duration(n)*burstPause)); n++ {
				s := f.servers[n%4]
				s.crash()
				f.note("%s crashes", s.id)
				clients.Go(func() {
					time.Sleep(engineDown)
					if err := s.startAgain("v1"); err == nil {
						f.register(s, "llm", n%4)
						f.note("%s is back", s.id)
					}
				})
			}
		})
	}
	clients.Wait()
	f.note("%d of %d new streams began, %d of %d that were taken up went on", began, fresh, went, taken)
	if taken >= leastTakenUp && 2*went*fresh < began*taken {
		f.breaks("%d of %d new streams began, %d of %d that were taken up went on", began, fresh, went, taken)
	}
	return nil
}

// inBurst reports whether many clients come at a time since the begin.
func inBurst(at time.Duration) bool {
	return at >= firstBurst && (at-firstBurst)%burstPause < burstTime
}

// tryDeep sends a request, once more after the time that a refusal states, while the client waits. Each try goes to another
// gateway.
func (f *deployment) tryDeep(c *client, first int, header map[string]string, prefix string, sent time.Time) (a answer) {
	for try := range clientTries {
		g, left := f.gateways[(first+try)%len(f.gateways)], askTimeout-time.Since(sent)
		a = c.askWith(header, newAttempt(), g, "/deep/x", prefix, 17020, left, left+time.Second)
		f.note("%s at %s after event %q, %d ms left: %d after %d ms, %d events %v", a.attempt, g.name, header["Last-Event-Id"], left.Milliseconds(), a.status, a.after.Milliseconds(), a.events, a.err)
		left = askTimeout - time.Since(sent)
		if a.status != http.StatusServiceUnavailable || a.retryAfter > left/3 {
			return a
		}
		time.Sleep(a.retryAfter)
	}
	return a
}

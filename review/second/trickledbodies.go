package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// bodyBytes is a legal size of a body: maxBodyBytes of the configuration is 4194304.
	bodyBytes = 4_000_000
	// pieceBytes and pieceInterval are the size of a piece of a body and the time between two.
	pieceBytes    = 1 << 10
	pieceInterval = 500 * time.Millisecond
	// trickled is the number of bodies that are sent at once to each gateway, trickleTimeout the time that their client
	// waits.
	trickled       = 2200
	trickleTimeout = 20 * time.Second
	trickleTime    = 30 * time.Second
	bookTimeout    = 1500 * time.Millisecond
	// settleTime is the time after which ordinary callers are judged.
	settleTime = 3 * time.Second
)

// playTrickledBodies lets one client send many large bodies of legal size at once, piece by piece, beside ordinary
// clients.
func playTrickledBodies(f *deployment, trouble bool) error {
	f.configure(1, []map[string]any{fleettest.Route("book", "/book/", "idempotent", "api", map[string]any{"timeoutMs": 15000, "targetLatencyMs": 150})},
		[]map[string]any{fleettest.Service("api")})
	var servers []*fleettest.Server
	for i := range 3 {
		s := fleettest.NewServer(fmt.Sprintf("api-%d", i))
		defer s.Close()
		servers = append(servers, s)
		f.store.Put("servers", s.ID, s.EndpointSpec("api", fmt.Sprintf("dc-%d", i%dataCentres)))
	}
	if err := f.start(2); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), calmTime+trickleTime)
	defer cancel()
	var calm, beside answers
	var refused, opened atomic.Int64
	var clients sync.WaitGroup
	begin := time.Now().Add(calmTime)
	for _, g := range f.gateways {
		clients.Go(func() {
			every(ctx, 100*time.Millisecond, func(int) {
				a := bookOnce(g)
				if a.sentAt.Before(begin) {
					calm.add(a)
				} else if a.sentAt.After(begin.Add(settleTime)) {
					beside.add(a)
				}
				f.note("ordinary %s at %s: %d after %d ms %v", a.attempt, g.name, a.status, a.after.Milliseconds(), a.err)
			})
		})
		if !trouble {
			continue
		}
		for range trickled {
			clients.Go(func() {
				if !sleepUntil(ctx, begin) {
					return
				}
				for ctx.Err() == nil {
					if trickle(ctx, g, &opened) {
						refused.Add(1)
					}
					sleepUntil(ctx, time.Now().Add(200*time.Millisecond))
				}
			})
		}
	}
	clients.Go(func() {
		every(ctx, time.Second, func(int) {
			f.judgeMemory()
			f.note("%d bodies are being sent, %d connections were closed before", opened.Load(), refused.Load())
		})
	})
	clients.Wait()
	for _, s := range servers {
		for _, run := range s.Runs() {
			f.note("%s ran %s", s.ID, run.AttemptID)
		}
	}
	for name, list := range map[string][]answer{"before": calm.list, "beside": beside.list} {
		answered, served := 0, 0
		for _, a := range list {
			if a.status != 0 {
				answered++
			}
			if a.status == http.StatusOK {
				served++
			}
		}
		f.note("ordinary, %s: %d requests, %d answered, %d served", name, len(list), answered, served)
		if 2*answered < len(list) {
			f.breaks("%d of %d ordinary requests got an answer", answered, len(list))
		}
	}
	return nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// bookOnce sends one ordinary request on a new connection.
func bookOnce(g *gateway) answer {
	a := answer{attempt: newAttempt(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), bookTimeout)
	defer cancel()
	c := &http.Client{Transport: &http.Transport{DialContext: dialerFrom(ordinaryAddress).DialContext, DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.front+"/book/x", http.NoBody)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = "shop.example"
	r.Header.Set("Azurelead-Attempt-Id", a.attempt)
	r.Header.Set("Azurelead-Timeout-Ms", "1500")
	r.Header.Set("Azurelead-Key", apiKey)
	resp, err := c.Do(r)
	a.after, a.err = time.Since(a.sentAt), err
	if err == nil {
		a.status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return a
}

// trickle sends one request with a body of legal size piece by piece until its client's time is over or the connection
// ends. It reports whether the connection was not accepted or closed at once.
func trickle(ctx context.Context, g *gateway, opened *atomic.Int64) (refused bool) {
	c, err := dialerFrom(oddAddress).DialContext(ctx, "tcp", g.front)
	if err != nil {
		return true
	}
	opened.Add(1)
	defer opened.Add(-1)
	defer func() { _ = c.Close() }()
	started := time.Now()
	_ = c.SetDeadline(started.Add(trickleTimeout))
	if _, err := fmt.Fprintf(c, "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAzurelead-Attempt-Id: %s\r\nAzurelead-Timeout-Ms: %d\r\nAzurelead-Key: %s\r\nContent-Length: %d\r\n\r\n",
		newAttempt(), trickleTimeout.Milliseconds(), oddKey, bodyBytes); err != nil {
		return true
	}
	piece := make([]byte, pieceBytes)
	for ctx.Err() == nil && time.Since(started) < trickleTimeout {
		if _, err := c.Write(piece); err != nil {
			return time.Since(started) < 2*pieceInterval
		}
		if !sleepUntil(ctx, time.Now().Add(pieceInterval)) {
			return false
		}
	}
	return false
}

//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

func init() { cases["parts"] = parts }

const (
	// crashingPart is the part of a prompt that crashes the servers that begin an answer on it.
	crashingPart = "bad0c0de"
	// prompts is the number of different sound requests; each is asked again and again.
	prompts = 6
	// soundInterval and partInterval are the times between two sound requests and two that crash servers.
	soundInterval = 67 * time.Millisecond
	partInterval  = 250 * time.Millisecond
	// partsAfter is when the first request that crashes a server comes, partsLength when the last request does.
	partsAfter  = 10 * time.Second
	partsLength = 50 * time.Second
	// downTime is how long a crashed server is away.
	downTime = 2500 * time.Millisecond
)

// crashingServers are model servers that a part of a prompt crashes.
type crashingServers struct {
	r    *run
	boot atomic.Int64

	mu      sync.Mutex
	crashes []time.Time
	began   map[string]bool // the requests that began to run
}

// start starts a boot of a server, and the next one some seconds after it has crashed.
func (f *crashingServers) start(zone string, stopped <-chan struct{}) {
	id := fmt.Sprintf("i-llm-%d", f.boot.Add(1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(unusable(err.Error()))
	}
	crashed := make(chan struct{})
	var once sync.Once
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		attempt := q.Header.Get("Azurelead-Attempt-Id")
		w.Header().Set("Azurelead-Attempt-Id", attempt)
		if e := q.Header.Get("Azurelead-Expect-Instance"); e != "" && e != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		time.Sleep(60 * time.Millisecond) // the prompt is read
		if strings.Contains(q.Header.Get("Azurelead-Prompt-Prefix"), crashingPart) {
			f.r.add("%s begins an answer to %s and crashes", id, attempt)
			once.Do(func() { close(crashed) })
			panic(http.ErrAbortHandler)
		}
		f.mu.Lock()
		f.began[attempt] = true
		f.mu.Unlock()
		f.r.add("%s runs %s", id, attempt)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Azurelead-Server-Signature", id+"."+attempt)
		from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		for i := from + 1; i <= 29; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-q.Context().Done():
				return
			case <-time.After(150 * time.Millisecond):
			}
		}
	})}
	f.r.store.Put("servers", id, endpointSpec("heater-llm", l.Addr().String(), zone, 64))
	go func() { _ = server.Serve(l) }()
	go func() {
		select {
		case <-stopped:
			_ = server.Close()
			return
		case <-crashed:
		}
		_ = server.Close()
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		f.mu.Unlock()
		// The entry of a crashed server lapses after three heartbeat intervals of silence.
		time.AfterFunc(3600*time.Millisecond, func() { f.r.store.Delete("servers", id) })
		select {
		case <-stopped:
		case <-time.After(downTime):
			f.start(zone, stopped)
		}
	}()
}

// parts lets requests come that share a part which crashes servers, beside sound requests for a few things.
func parts(r *run) []string {
	stopped := make(chan struct{})
	r.closers = append(r.closers, func() { close(stopped) })
	servers := &crashingServers{r: r, began: make(map[string]bool)}
	for i := range 12 {
		servers.start(zones[i%len(zones)], stopped)
	}
	route := fleettest.Route("quick-tip", "/stream/tip/", "streaming", "heater-llm", map[string]any{
		"timeoutMs": 10000, "targetLatencyMs": 2400, "targetGapMs": 400, "attempts": 2, "resumable": true, "sticky": true, "priority": 2,
	})
	r.putConfig(1, []map[string]any{route}, []map[string]any{fleettest.EngineService("heater-llm")})
	r.startGateways(4)

	type sent struct {
		attempt string
		at      time.Time
	}
	var mu sync.Mutex
	var sound []sent
	var lastCrashing time.Time
	var wg sync.WaitGroup
	start := time.Now()
	ask := func(i int, prefix, body string, isSound bool) {
		id := newAttemptID()
		mu.Lock()
		if isSound {
			sound = append(sound, sent{id, time.Now()})
		} else {
			lastCrashing = time.Now()
		}
		mu.Unlock()
		wg.Go(func() {
			r.send(newChannels(), r.gateways[i%4], id, request{
				method: "POST", path: "/stream/tip/q", body: body, timeout: 10 * time.Second, headers: map[string]string{
					"Azurelead-Model": "m", "Azurelead-Token-Usage": "1460,174", "Azurelead-Prompt-Prefix": prefix,
				},
			})
		})
	}
	nextPart := start.Add(partsAfter)
	for i := 0; time.Since(start) < partsLength; i++ {
		k := i * 7 % prompts
		ask(i, fmt.Sprintf("5c1e07a%x:210,%08x:140", k%8, k), fmt.Sprint("question ", k), true)
		if r.trouble && time.Now().After(nextPart) {
			nextPart = nextPart.Add(partInterval)
			ask(i/2, fmt.Sprintf("5c1e07a%x:210,%s:140,%08x:110", i%8, crashingPart, 1000+i), fmt.Sprint("bad question ", i), false)
		}
		time.Sleep(soundInterval)
	}
	wg.Wait()

	servers.mu.Lock()
	defer servers.mu.Unlock()
	r.add("%d servers crashed", len(servers.crashes))
	share := func(from, to time.Time) (begun, asked int) {
		for _, s := range sound {
			if s.at.Before(from) || s.at.After(to) {
				continue
			}
			asked++
			if servers.began[s.attempt] {
				begun++
			}
		}
		return begun, asked
	}
	before, beforeAsked := share(start, start.Add(partsAfter))
	r.add("before: %d of %d sound requests began", before, beforeAsked)
	if len(servers.crashes) == 0 {
		if r.trouble {
			panic(unusable("no server crashed"))
		}
		return nil
	}
	last := servers.crashes[min(len(servers.crashes), 5)-1]
	after, afterAsked := share(last.Add(2*contact), lastCrashing)
	r.add("from 2 x contactMs after crash %d: %d of %d sound requests began at the first attempt", min(len(servers.crashes), 5), after, afterAsked)
	if afterAsked < 20 || beforeAsked < 20 || float64(after)/float64(afterAsked) >= float64(before)/float64(beforeAsked)/2 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d sound requests began at the first attempt from 2 x contactMs after the fifth crash (the last, if fewer) on, %d of %d before the first",
		after, afterAsked, before, beforeAsked)}
}

package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// longTokens is the length of a prompt that no server can hold.
	longTokens   = 4_000_000
	longInterval = 4 * time.Millisecond
	longTime     = 85 * time.Second
	// longNameBytes is the length of a field, so that the head stays below maxHeaderBytes.
	longNameBytes = 7_500
)

// playLongPrompts lets one client send requests of legal size for prompts that no server can hold, beside ordinary
// clients.
func playLongPrompts(f *deployment, trouble bool) error {
	if err := f.startEngines(4, 3); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), calmTime+longTime)
	defer cancel()
	var ordinary, odd answers
	var clients sync.WaitGroup
	for i, g := range f.gateways {
		clients.Go(func() { f.askOrdinarily(ctx, i, g, &ordinary) })
	}
	if trouble {
		clients.Go(func() {
			time.Sleep(calmTime)
			c := newClient(oddAddress, oddKey)
			c.header = map[string]string{"Azurelead-Chunk-Key": strings.Repeat("7", longNameBytes)}
			every(ctx, longInterval, func(n int) {
				g := f.gateways[n%len(f.gateways)]
				a := c.ask(g, "/ask/x", fmt.Sprintf("a1:6300,%s%x:%d", strings.Repeat("e", longNameBytes), n, longTokens), longTokens, askTimeout, askTimeout+2*time.Second)
				odd.add(a)
				if n%100 == 0 {
					f.note("odd %s at %s, the %d. request: %d after %d ms %v", a.attempt, g.name, n, a.status, a.after.Milliseconds(), a.err)
				}
			})
		})
	}
	clients.Go(func() { every(ctx, time.Second, func(int) { f.judgeMemory() }) })
	clients.Wait()
	f.judgeAnswers(ordinary.list)
	f.note("the odd client sent %d requests", len(odd.list))
	return nil
}

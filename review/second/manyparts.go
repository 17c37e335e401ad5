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
	// prefixBytes keeps the head of a request below maxHeaderBytes of the configuration, which is 16384.
	prefixBytes = 15_000
	// oddInterval is the time between two requests of the client outside the limits.
	oddInterval = 50 * time.Millisecond
	// askTimeout is timeoutMs of the route, answerSlack how much later an answer may come.
	askTimeout  = 8 * time.Second
	answerSlack = 500 * time.Millisecond
	calmTime    = 5 * time.Second
	oddTime     = 50 * time.Second
)

// oddPrefix returns a list of parts of a prompt, as the pages write it, that fills the head of a request. No two requests
// have a part in common.
func oddPrefix(n int) string {
	var list strings.Builder
	for i := 0; list.Len() < prefixBytes; i++ {
		_, _ = fmt.Fprintf(&list, "%x:1,", n<<12|i)
	}
	return strings.TrimSuffix(list.String(), ",")
}

// playManyParts lets one client send requests of legal size whose Azurelead-Prompt-Prefix names very many parts, beside
// ordinary clients.
func playManyParts(f *deployment, trouble bool) error {
	if err := f.startEngines(4, 3); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), calmTime+oddTime)
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
			every(ctx, oddInterval, func(n int) {
				g := f.gateways[n%len(f.gateways)]
				prefix := oddPrefix(n)
				a := c.ask(g, "/ask/x", prefix, strings.Count(prefix, ",")+1, askTimeout, askTimeout+2*time.Second)
				odd.add(a)
				f.note("odd %s at %s: %d parts, %d after %d ms, complete %v %v", a.attempt, g.name, strings.Count(prefix, ",")+1, a.status, a.after.Milliseconds(), a.complete, a.err)
			})
		})
	}
	clients.Go(func() { every(ctx, time.Second, func(int) { f.judgeMemory() }) })
	clients.Wait()
	f.judgeAnswers(ordinary.list)
	f.note("the odd client sent %d requests", len(odd.list))
	return nil
}

// judgeAnswers judges how ordinary clients were answered: of the requests that are not answered at their route's
// timeoutMs, at most half may have no answer answerSlack later.
func (f *deployment) judgeAnswers(list []answer) {
	served, unanswered, late := 0, 0, 0
	for _, a := range list {
		if a.status == http.StatusOK && a.complete {
			served++
		}
		if a.after < askTimeout {
			continue
		}
		unanswered++
		if a.after > askTimeout+answerSlack {
			late++
		}
	}
	f.note("ordinary: %d requests, %d served, %d not answered at timeoutMs, %d of them not %v later", len(list), served, unanswered, late, answerSlack)
	if 2*late > unanswered {
		f.breaks("%d of the %d ordinary requests that were not answered at timeoutMs had no answer %v later", late, unanswered, answerSlack)
	}
	if served*4 < len(list) {
		f.breaks("%d of %d ordinary requests were served", served, len(list))
	}
}

// startEngines starts model servers and gateways with one route to them.
func (f *deployment) startEngines(servers, gateways int) error {
	engine := fleettest.EngineService("llm")
	engine["coldStartS"], engine["coldPerS"] = 0, 0
	f.configure(1, []map[string]any{fleettest.Route("ask", "/ask/", "streaming", "llm", map[string]any{
		"timeoutMs": askTimeout.Milliseconds(), "sticky": true, "resumable": true,
	})}, []map[string]any{engine})
	for i := range servers {
		s, err := newServer(f, fmt.Sprintf("i-%d", i))
		if err != nil {
			return err
		}
		f.servers = append(f.servers, s)
		f.register(s, "llm", i)
	}
	return f.start(gateways)
}

// askOrdinarily sends the requests of ordinary clients of one gateway until ctx is done. They have a shared part, one of
// the session and one of the request, as the sheet has them.
func (f *deployment) askOrdinarily(ctx context.Context, i int, g *gateway, list *answers) {
	c := newClient(ordinaryAddress, apiKey)
	every(ctx, 200*time.Millisecond, func(n int) {
		a := c.ask(g, "/ask/x", fmt.Sprintf("a%d:6300,b%d%d:2000,c%d%d:890", n%5, i, n%20, i, n), 9190, askTimeout, askTimeout+2*time.Second)
		list.add(a)
		f.note("ordinary %s at %s: %d after %d ms, complete %v %v", a.attempt, g.name, a.status, a.after.Milliseconds(), a.complete, a.err)
	})
}

// judgeMemory judges the memory that the gateways have taken.
func (f *deployment) judgeMemory() {
	for _, g := range f.gateways {
		g.mu.Lock()
		before := g.peakMB
		g.peakMB = max(before, g.readMemoryPeak())
		now := g.peakMB
		g.mu.Unlock()
		f.note("%s takes %d MB of memory at most", g.name, now)
		if before <= memoryMB && now > memoryMB {
			f.breaks("%s took %d MB of memory, its machine has %d", g.name, now, memoryMB)
		}
	}
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// contactTime is the time after which an undisturbed entry knows what the others have seen.
	contactTime = 3 * time.Second
	// victimCount is the number of engines of the service whose engines crash.
	victimCount = 8
	// questionCount is the number of different sound requests to them; each is sent again and again.
	questionCount    = 4
	questionInterval = 60 * time.Millisecond
	crashInterval    = 250 * time.Millisecond
	// victimDownTime is how long a crashed engine is away.
	victimDownTime = time.Second
	// maxLateCrashes is the number of requests that may reach engines later than contactTime after the
	// crash that counts: the third of one request, the fifth of one part.
	maxLateCrashes = 3
	// refusalReason is part of the reason that refused requests get.
	refusalReason = "has crashed the endpoints"
	crashingPart  = "dead"
)

// crashCause is what crashes engines beside the sound requests.
type crashCause int

const (
	crashingParts crashCause = iota
	crashingRequest
	otherCrashes // nothing that is sent
	crashCauses
)

// victimEnd is the way in which an engine ends.
type victimEnd int

const (
	// lostMachine resets connections. The processes of the other engines end, of which only the end of the connection
	// shows the end of a stream.
	lostMachine victimEnd = iota
	exitedProcess
	// exitedBehindProxy is the end of a process to which connections are still accepted.
	exitedBehindProxy
	// restartedProcess is started again at once.
	restartedProcess
)

// endOf returns the way in which the engine of a boot ends.
func endOf(boot int) victimEnd {
	if boot%2 != 0 {
		return lostMachine
	}
	return exitedProcess + victimEnd(boot/2%3)
}

// crashes is a load of repeated sound requests beside crashes of the engines that run them. It has engines of its
// own, so that the other faults reach it only through the entries and the store.
type crashes struct {
	r     *run
	cause crashCause

	mu      sync.Mutex
	victims []*fleettest.Server
	proxies []*proxy
	// boots counts the engines that were started.
	boots int
	// ends are the ways in which the victims end, in their order.
	ends  []victimEnd
	ended bool
	// times are the times of the crashes.
	times []time.Time
	// late counts the requests that crash engines and reached one too late.
	late int
	// asked and refused count the sound requests from twice contactTime after the fifth crash on, at entries that
	// were not disturbed.
	asked, refused int
}

// startVictim starts an engine and lists it.
func (c *crashes) startVictim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.boots++
	answer, end := fleettest.Serve, endOf(c.boots)
	if end != lostMachine {
		answer = fleettest.CloseDelimited
	}
	s := fleettest.NewServer(fmt.Sprintf("victim-%d-%d", c.r.o.Seed, c.boots))
	s.SetStream(streamEvents, 40*time.Millisecond)
	s.SetBehaviour(func(_ int, q *http.Request) fleettest.Behaviour {
		time.Sleep(30 * time.Millisecond) // the prompt is read
		if !strings.Contains(q.Header.Get("Azurelead-Prompt-Prefix"), crashingPart) && q.URL.Path != "/stream/ask/bad" {
			return answer
		}
		c.crash(s, true)
		return fleettest.Hang
	})
	if end == exitedBehindProxy {
		p, err := newProxy(s.Address())
		if err != nil {
			c.r.recordViolation("no proxy was started: %v", err)
			return
		}
		c.proxies = append(c.proxies, p)
		s.SetListedAddress(p.address())
	}
	c.victims, c.ends = append(c.victims, s), append(c.ends, end)
	c.list(s, c.boots)
}

// list lists an engine.
func (c *crashes) list(s *fleettest.Server, boot int) {
	c.r.store.Put(fleet.KindEndpoints, s.ID, s.EndpointSpec("victims", fmt.Sprintf("dc-%d", boot%dataCentres)))
}

// crash crashes an engine, which is replaced after a while. A request has caused it unless nothing that was sent did.
func (c *crashes) crash(s *fleettest.Server, byRequest bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counted := 5
	if c.cause == crashingRequest {
		counted = 3
	}
	if byRequest && len(c.times) >= counted && time.Since(c.times[counted-1]) > contactTime {
		c.late++
	}
	c.times = append(c.times, time.Now())
	boot := slices.Index(c.victims, s) + 1
	go c.endVictim(s, boot, c.ends[boot-1])
}

// endVictim ends an engine, and replaces or lists it again after a while.
func (c *crashes) endVictim(s *fleettest.Server, boot int, end victimEnd) {
	switch end {
	case lostMachine:
		s.Close()
	case restartedProcess:
		if err := s.ExitAndRestart(); err != nil {
			c.r.recordViolation("%s was not started again: %v", s.ID, err)
		}
	default:
		s.Exit()
	}
	time.Sleep(victimDownTime)
	if end != restartedProcess {
		c.r.store.Delete(fleet.KindEndpoints, s.ID)
		c.startVictim()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.list(s, boot)
	}
}

// settled reports whether twice contactTime has passed since the fifth crash, or the last of fewer.
func (c *crashes) settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times) > 0 && time.Since(c.times[min(len(c.times), 5)-1]) > 2*contactTime
}

// askQuestion sends one of the sound requests.
func (c *crashes) askQuestion(ctx context.Context, e *entry, k int, id string) {
	counts := c.settled() && e.isCalm(contactTime)
	_, reason := c.send(ctx, e, id, fmt.Sprintf("/stream/ask/%d", k), fmt.Sprintf("shared%d:200,own%d:50", k%2, k))
	c.mu.Lock()
	defer c.mu.Unlock()
	if counts && e.isCalm(contactTime) {
		c.asked++
		if strings.Contains(reason, refusalReason) {
			c.refused++
		}
	}
}

// send sends a request, checks its answer and returns the status and body.
func (c *crashes) send(ctx context.Context, e *entry, id, path, prefix string) (status int, body string) {
	resp := c.r.sendTo(ctx, http.DefaultClient, e, response{id: id, kind: "ask"}, "POST", path, "body of "+path, http.Header{
		"Azurelead-Prompt-Prefix": {prefix}, "Azurelead-Token-Usage": {"500,20"}, "Azurelead-Model": {"m"},
	})
	if resp.status == http.StatusOK && !isStreamOf("", resp.body, resp.err == nil) {
		c.r.recordViolation("%s beside crashing engines got the unexpected stream %q, which ended with error %v", id, resp.body, resp.err)
	}
	return resp.status, resp.body
}

// scheduleCrashes draws whether the run has crashes. It has a source of random numbers of its own, so that the other
// faults of a seed stay what they were.
func (r *run) scheduleCrashes(ctx context.Context, injections *sync.WaitGroup) {
	if rng := rand.New(rand.NewPCG(r.o.Seed, 3)); rng.IntN(2) == 0 {
		injections.Go(func() { r.injectCrashes(ctx, rng) })
	}
}

// injectCrashes runs the load for a while and checks that what crashes engines is refused, and nothing else.
func (r *run) injectCrashes(ctx context.Context, rng *rand.Rand) {
	c := &crashes{r: r, cause: crashCause(rng.IntN(int(crashCauses)))}
	for range victimCount {
		c.startVictim()
	}
	defer c.end()
	disruptions := r.disruptions.Load()
	start := time.Now()
	nextCrash := start.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
	length := time.Until(nextCrash) + 3*contactTime + 4*time.Second
	var requests sync.WaitGroup
	for i := 0; time.Since(start) < length; i++ {
		e, k, id := r.entries[rng.IntN(len(r.entries))], rng.IntN(questionCount), fmt.Sprintf("ask-%016x", rng.Uint64())
		requests.Go(func() { c.askQuestion(ctx, e, k, id) })
		if time.Now().After(nextCrash) {
			nextCrash = nextCrash.Add(crashInterval)
			c.causeCrash(ctx, &requests, rng, i)
		}
		time.Sleep(questionInterval)
	}
	requests.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	r.mu.Lock()
	r.report.Crashes, r.report.SoundRefused, r.report.SoundAsked = len(c.times), c.refused, c.asked
	r.mu.Unlock()
	if c.late > maxLateCrashes && r.disruptions.Load() == disruptions {
		r.recordViolation("%d requests that crash engines, cause %d, reached engines too late; %d crashed", c.late, c.cause, len(c.times))
	}
	if c.asked >= 20 && c.refused > c.asked/2 {
		r.recordViolation("%d of %d sound requests were refused beside crashes of cause %d", c.refused, c.asked, c.cause)
	}
}

// causeCrash sends a request that crashes an engine, or crashes one.
func (c *crashes) causeCrash(ctx context.Context, requests *sync.WaitGroup, rng *rand.Rand, i int) {
	e, id := c.r.entries[rng.IntN(len(c.r.entries))], fmt.Sprintf("ask-%016x", rng.Uint64())
	switch c.cause {
	case crashingParts:
		path, prefix := fmt.Sprintf("/stream/ask/bad-%d", i), fmt.Sprintf("shared%d:200,%s:100,own%d:50", i%2, crashingPart, i)
		requests.Go(func() { c.send(ctx, e, id, path, prefix) })
	case crashingRequest:
		requests.Go(func() { c.send(ctx, e, id, "/stream/ask/bad", "shared0:200,bad:50") })
	default:
		c.mu.Lock()
		s := c.victims[rng.IntN(len(c.victims))]
		enough := len(c.times) >= 8
		c.mu.Unlock()
		if !enough {
			c.crash(s, false)
		}
	}
}

// end removes the engines.
func (c *crashes) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, s := range c.victims {
		c.r.store.Delete(fleet.KindEndpoints, s.ID)
		s.Close()
	}
	for _, p := range c.proxies {
		p.close()
	}
}

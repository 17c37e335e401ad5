package itest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/standin"
	"github.com/azurelead/azurelead/suspect"
)

const statusSettings = `
request: {max_deadline: 30s}
endpoint: {cold_limit: 3, max_limit: 32, ramp_answers: 1, queue_limit: 64}
pipelines:
  status: {stages: [{name: status, kind: service, pool: stock, operation: status}]}
`

const chatSettings = `
request: {max_deadline: 30s, max_tokens: 400}
endpoint: {cold_limit: 16, max_limit: 32}
pipelines:
  chat: {stages: [{name: answer, kind: generate, pool: engines}]}
`

// actionBody returns the body of a service call with the reference.
func actionBody(reference string) entry.Body {
	raw, _ := json.Marshal(map[string]string{"reference": reference})
	return entry.Body{Action: raw}
}

// dialAgent opens a link to the agent. The silence timeout is long, so that a paused agent does not
// count as silent.
func dialAgent(t *testing.T, addr string) *link.Client {
	t.Helper()
	l, err := link.Dial(context.Background(), addr, link.ClientOptions{SilenceTimeout: waitTimeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// runStatus runs a service call with a new attempt ID.
func runStatus(l *link.Client) (link.RunResult, error) {
	p := link.RunParams{Attempt: contract.NewAttemptID(), BudgetUS: waitTimeout.Microseconds(), Repeatable: true}
	p.Input = pipeline.Input{Operation: "status", Body: json.RawMessage(`{"reference":"x"}`)}
	return l.Run(context.Background(), p, nil)
}

// registerBehindProxy registers the agent at the address of a new fault-injecting proxy.
func (f *fleet) registerBehindProxy(instance platform.Instance, agent *process) *faultProxy {
	f.t.Helper()
	linkProxy, err := newProxy(instance.Name+"-"+f.t.Name(), agent.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(linkProxy.close)
	instance.AgentAddress, instance.State = linkProxy.proxy.Listen, platform.Live
	f.register(instance)
	return linkProxy
}

// TestColdEndpointIsNeverAboveItsLimit checks that a cold endpoint never runs more calls at once than
// its declared limit (docs/PROOFS.md, section 2). The load is a burst through two entries, followed by
// calls over links to a new agent that replaces a paused one whose calls still run. The endpoint counts
// the calls and crashes above the limit.
func TestColdEndpointIsNeverAboveItsLimit(t *testing.T) {
	f := newFleet(t, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service", "--service-time", "500ms",
		"--cold-limit", "3", "--cold-answers", "1000000").addr
	agent := f.startAgent("s1", "stock", pipeline.Service, stock)
	entries := []*process{f.startEntry("entry1"), f.startEntry("entry2")}
	for i, e := range entries {
		f.awaitAnswer(e, "status", actionBody(fmt.Sprint("await", i)))
	}
	var wg sync.WaitGroup
	var answered atomic.Int64
	for i := range 16 {
		wg.Go(func() {
			if _, err := f.call(entries[i%2], "status", actionBody(fmt.Sprint(i)), nil); err == nil {
				answered.Add(1)
			}
		})
	}
	f.awaitStat(stock, "attempts.total", "5")
	if err := agent.signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.awaitStat(stock, "in_flight", "3")
	successor := f.startAgent("s1", "stock", pipeline.Service, stock)
	for range 2 {
		l := dialAgent(t, successor.addr)
		for range 6 {
			wg.Go(func() {
				if r, err := runStatus(l); err == nil && r.Run == contract.Ran {
					answered.Add(1)
				}
			})
		}
	}
	wg.Wait()
	if peak, crashes := f.stat(stock, "cold_peak"), f.stat(stock, "crashes"); peak > 3 || crashes > 0 {
		t.Errorf("cold endpoint ran %v calls at once and crashed %v times, declared limit 3", peak, crashes)
	}
	if answered.Load() < 12 {
		t.Errorf("%d calls answered, want at least the 12 sent to the new agent", answered.Load())
	}
}

// TestDelayedRunNeverRuns checks that "not run" stays true for a delayed attempt (docs/PROOFS.md,
// section 5). The run message of the attempt is delayed on its link, and the attempt is closed over
// another link in the meantime. When the message arrives, the attempt must not run, because it was
// already reported as not run. The endpoint counts the calls.
func TestDelayedRunNeverRuns(t *testing.T) {
	f := newFleet(t, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service").addr
	agent := f.startAgent("s1", "stock", pipeline.Service, stock)
	delayedProxy := f.registerBehindProxy(f.instances[0], agent)
	ctx := context.Background()
	delayed, direct := dialAgent(t, delayedProxy.proxy.Listen), dialAgent(t, agent.addr)
	if err := delayedProxy.apply("latency-up", "3000"); err != nil {
		t.Fatal(err)
	}
	p := link.RunParams{Attempt: contract.NewAttemptID(), BudgetUS: waitTimeout.Microseconds()}
	p.Input = pipeline.Input{Operation: "book", Body: json.RawMessage(`{"reference":"late"}`)}
	result := make(chan link.RunResult, 1)
	go func() {
		r, err := delayed.Run(ctx, p, nil)
		if err != nil {
			t.Error(err)
		}
		result <- r
	}()
	time.Sleep(100 * time.Millisecond)
	settled, err := direct.Settle(ctx, link.SettleParams{Attempt: p.Attempt})
	if err != nil || settled.State != link.AttemptClosed {
		t.Fatalf("Settle returned %+v, %v, want a closed attempt", settled, err)
	}
	if r := <-result; r.Run != contract.NotRun {
		t.Errorf("the delayed run ended as %+v, want not run", r)
	}
	if n := f.stat(stock, "references.total"); n != 0 {
		t.Errorf("the endpoint ran the call %v times after it was reported as not run", n)
	}
}

// startStreams starts n streams at once and checks that each caller receives the complete answer to
// its own question. The returned counter is the number of tokens received so far by all callers.
func startStreams(f *fleet, wg *sync.WaitGroup, e *process, name string, n int) *atomic.Int64 {
	var tokens atomic.Int64
	for i := range n {
		wg.Go(func() {
			question := fmt.Sprint(name, " ", i)
			var got strings.Builder
			_, err := f.call(e, "chat", entry.Body{Question: question, Stream: true}, func(s string) {
				got.WriteString(s)
				tokens.Add(1)
			})
			want := standin.AnswerText("Question: "+question+"\nAnswer:", 400)
			if err != nil || got.String() != want {
				f.t.Errorf("%s: error %v, got %d of %d bytes, prefix of the right answer: %v", question, err, got.Len(), len(want), strings.HasPrefix(want, got.String()))
			}
		})
	}
	return &tokens
}

// TestStreamsOutliveTheirLinks checks that each caller receives its complete stream although the link
// is cut, falls silent, is cut again, falls silent again and then delays its answers
// (docs/PROOFS.md, section 4).
func TestStreamsOutliveTheirLinks(t *testing.T) {
	f := newFleet(t, chatSettings)
	engine := f.start("engine", "azurelead-standin", "engine", "--step", "10ms", "--batch", "32").addr
	agent := f.startAgent("e1", "engines", pipeline.Generate, engine)
	linkProxy := f.registerBehindProxy(f.instances[0], agent)
	e := f.startEntry("entry1")
	f.awaitAnswer(e, "chat", entry.Body{Question: "warm", MaxTokens: 1})
	var wg sync.WaitGroup
	tokens := startStreams(f, &wg, e, "whole", 8)
	for i, fault := range [][]string{{"cut"}, {"silence"}, {"cut"}, {"silence"}, {"latency", "50"}} {
		// The engine counts a stream only when it ends. The tokens received by the callers show
		// that the streams are in progress.
		if err := eventually(func() error {
			if n, want := tokens.Load(), int64(100*(i+1)); n < want {
				return fmt.Errorf("the callers have received %d tokens, want at least %d", n, want)
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		for _, step := range [][]string{fault, {"restore"}} {
			if err := linkProxy.apply(step[0], step[1:]...); err != nil {
				t.Fatal(err)
			}
			if step[0] == "latency" {
				break
			}
		}
	}
	wg.Wait()
}

// TestLeavingEndpointGetsNoNewWork checks that an endpoint that is listed as leaving and one whose
// agent has stopped receive no new calls a second later (docs/PROOFS.md, section 7). Their agents
// announce it. The instance list of the entry may be out of date, since the entry reads it only about
// every 5 s; the agents read it every 50 ms.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := newFleet(t, statusSettings)
	start := func(name string) (addr string, agent *process) {
		addr = f.start(name, "azurelead-standin", "service", "--service-time", "5ms").addr
		return addr, f.startAgent("agent-"+name, "stock", pipeline.Service, addr, "--list-interval", "50ms")
	}
	first, _ := start("first")
	second, stoppingAgent := start("second")
	third, _ := start("third")
	e := f.startEntry("entry1")
	f.awaitAnswer(e, "status", actionBody("await"))
	requests := 0
	sendBatch := func() {
		var wg sync.WaitGroup
		defer wg.Wait()
		for range 60 {
			requests++
			reference := fmt.Sprint(requests)
			wg.Go(func() {
				if _, err := f.call(e, "status", actionBody(reference), nil); err != nil {
					t.Errorf("request %s: %v", reference, err)
				}
			})
		}
	}
	if err := eventually(func() error {
		sendBatch()
		if f.stat(first, "attempts.total") == 0 || f.stat(second, "attempts.total") == 0 {
			return errors.New("a live endpoint has received no calls")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	leaving := f.instances[0]
	leaving.State = platform.Leaving
	f.register(leaving)
	if err := stoppingAgent.signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := stoppingAgent.wait(); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	time.Sleep(time.Second)
	before := f.stat(first, "attempts.total") + f.stat(second, "attempts.total")
	thirdBefore := f.stat(third, "attempts.total")
	sendBatch()
	if after := f.stat(first, "attempts.total") + f.stat(second, "attempts.total"); after != before {
		t.Errorf("leaving endpoints received %v calls more than a second after they began to leave", after-before)
	}
	if got := f.stat(third, "attempts.total") - thirdBefore; got != 60 {
		t.Errorf("the remaining endpoint received %v of 60 calls", got)
	}
}

// TestPlannedStopsCutNoStream checks that an agent and an entry that receive SIGTERM while streams run
// let all of them finish and exit with status 0 (docs/PROOFS.md, section 8).
func TestPlannedStopsCutNoStream(t *testing.T) {
	f := newFleet(t, chatSettings)
	var agents []*process
	for i := range 2 {
		engine := f.start(fmt.Sprint("engine", i), "azurelead-standin", "engine", "--step", "8ms", "--batch", "32").addr
		agents = append(agents, f.startAgent(fmt.Sprint("e", i), "engines", pipeline.Generate, engine))
	}
	entries := []*process{f.startEntry("entry1"), f.startEntry("entry2")}
	for _, e := range entries {
		f.awaitAnswer(e, "chat", entry.Body{Question: "warm " + e.name, MaxTokens: 1})
	}
	var wg sync.WaitGroup
	startStreams(f, &wg, entries[0], "old entry", 6)
	startStreams(f, &wg, entries[1], "new entry", 6)
	time.Sleep(500 * time.Millisecond)
	for _, p := range []*process{agents[0], entries[0]} {
		if err := p.signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(300 * time.Millisecond)
	startStreams(f, &wg, entries[1], "after the signals", 4)
	wg.Wait()
	for _, p := range []*process{agents[0], entries[0]} {
		if err := p.wait(); err != nil {
			t.Errorf("%s: %v\n%s", p.name, err, p.stderr.String())
		}
	}
}

// TestNotRunIsTrueUnderFaults checks that no call runs that was refused as not run, while the link to
// an endpoint's agent is cut and silenced in turn (docs/PROOFS.md, sections 1 and 5). The endpoint
// counts the runs of each call.
func TestNotRunIsTrueUnderFaults(t *testing.T) {
	f := newFleet(t, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service", "--service-time", "5ms").addr
	agent := f.startAgent("s1", "stock", pipeline.Service, stock)
	linkProxy := f.registerBehindProxy(f.instances[0], agent)
	e := f.startEntry("entry1")
	f.awaitAnswer(e, "status", actionBody("await"))
	var wg sync.WaitGroup
	var refused sync.Map
	stop := make(chan struct{})
	for w := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				reference := fmt.Sprint("ref-", w, "-", i)
				_, err := f.call(e, "status", actionBody(reference), nil)
				var p *contract.Problem
				if errors.As(err, &p) && p.Run == contract.NotRun {
					refused.Store(reference, p)
				}
			}
		})
	}
	for i := range 6 {
		time.Sleep(200 * time.Millisecond)
		if err := linkProxy.apply([]string{"cut", "silence"}[i%2]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		if err := linkProxy.apply("restore"); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	refused.Range(func(reference, p any) bool {
		if n := f.runCount(stock, reference.(string)); n != 0 {
			t.Errorf("%s was refused as not run (%v) but ran %d times", reference, p, n)
		}
		return true
	})
}

// TestCrashingRequestLosesFewEndpoints repeats a request that crashes every engine that runs it
// through two entries. It may crash only a bounded number of engines, and streams that run on the same
// engines must reach their callers complete.
func TestCrashingRequestLosesFewEndpoints(t *testing.T) {
	f := newFleet(t, strings.Replace(chatSettings, "max_tokens", "retry_percent: 100, max_tokens", 1))
	var engines []string
	for i := range 6 {
		engines = append(engines, f.start(fmt.Sprint("engine", i), "azurelead-standin", "engine",
			"--step", "5ms", "--batch", "32", "--down-for", "300ms").addr)
		f.startAgent(fmt.Sprint("e", i), "engines", pipeline.Generate, engines[i])
	}
	entries := []*process{f.startEntry("entry1"), f.startEntry("entry2")}
	for _, e := range entries {
		f.awaitAnswer(e, "chat", entry.Body{Question: "warm " + e.name, MaxTokens: 1})
	}
	var otherStreams sync.WaitGroup
	startStreams(f, &otherStreams, entries[0], "neighbour", 6)
	lastCode := contract.Code("")
	for i := range 10 {
		_, err := f.call(entries[i%2], "chat", entry.Body{Question: standin.CrashMarker}, nil)
		var p *contract.Problem
		if !errors.As(err, &p) {
			t.Fatalf("the crashing request ended with %v", err)
		}
		lastCode = p.Code
	}
	otherStreams.Wait()
	crashes := 0.0
	for _, addr := range engines {
		f.awaitStat(addr, "crashes", "0") // the engine may still be down
		crashes += f.stat(addr, "crashes")
	}
	if crashes == 0 || crashes > suspect.MaxEndpointCrashes {
		t.Errorf("%v engines crashed, want at least 1 and at most %d", crashes, suspect.MaxEndpointCrashes)
	}
	if lastCode != contract.CodeSuspectRequest {
		t.Errorf("the tenth request ended with %q, want a refusal as suspect", lastCode)
	}
}

// TestSilentRestartIsTakenForCold checks the limit of a cold endpoint after an unannounced restart
// (docs/PROOFS.md, section 2): a warm endpoint that restarts while idle is treated as cold in the burst
// that follows, although no probe is due. The endpoint counts its concurrent calls.
func TestSilentRestartIsTakenForCold(t *testing.T) {
	f := newFleet(t, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service", "--service-time", "20ms", "--down-for", "50ms",
		"--cold-limit", "3", "--cold-answers", "30").addr
	agent := f.startAgent("s1", "stock", pipeline.Service, stock, "--probe-interval", "5s", "--report-lag", "200ms")
	l := dialAgent(t, agent.addr)
	burst := func(n int) {
		var wg sync.WaitGroup
		for range n {
			wg.Go(func() {
				if _, err := runStatus(l); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
	}
	if err := eventually(func() error {
		burst(60)
		return checkStat([]string{stock, "peak", ">=", "10"})
	}); err != nil {
		t.Fatalf("the endpoint did not become warm: %v", err)
	}
	f.send(http.MethodPost, stock, "/control/faults", []byte(`{"crash":true}`))
	f.awaitStat(stock, "crashes", "1")
	burst(60)
	f.awaitStat(stock, "crashes", "1") // the endpoint is down for a moment if it crashed again
	if peak, crashes := f.stat(stock, "cold_peak"), f.stat(stock, "crashes"); peak > 3 || crashes > 1 {
		t.Errorf("after a restart the cold endpoint ran %v calls at once and crashed %v more times, declared limit 3", peak, crashes-1)
	}
}

// TestResumedAgentRunsNoStaleCalls checks at the agent that a data centre taken out gets no new work
// (docs/PROOFS.md, section 3). The data centre is taken out while the agent is paused. Calls that wait
// in the agent's socket buffers meanwhile must not run when the agent resumes. The endpoint counts the
// calls.
func TestResumedAgentRunsNoStaleCalls(t *testing.T) {
	f := newFleet(t, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service").addr
	agent := f.startAgent("s1", "stock", pipeline.Service, stock)
	l := dialAgent(t, agent.addr)
	run := func() link.RunResult {
		r, err := runStatus(l)
		if err != nil {
			t.Error(err)
		}
		return r
	}
	if err := eventually(func() error {
		if r := run(); r.Run != contract.Ran {
			return fmt.Errorf("result before the pause: %+v", r)
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	before := f.stat(stock, "attempts.total")
	if err := agent.signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	f.runOperatorCommand("datacentre", "out", "north")
	results := make(chan link.RunResult, 20)
	for range cap(results) {
		go func() { results <- run() }()
	}
	time.Sleep(2 * time.Second)
	if err := agent.signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for range cap(results) {
		if r := <-results; r.Run != contract.NotRun {
			t.Errorf("call received during the pause: got %s %s, want not run", r.Run, r.Code)
		}
	}
	for range 20 {
		if r := run(); r.Run != contract.NotRun {
			t.Errorf("call sent after the pause: got %s %s, want not run", r.Run, r.Code)
		}
	}
	if after := f.stat(stock, "attempts.total"); after != before {
		t.Errorf("the endpoint ran %v calls after its data centre was taken out", after-before)
	}
}

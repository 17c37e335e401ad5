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

func actionBody(reference string) entry.Body {
	raw, _ := json.Marshal(map[string]string{"reference": reference})
	return entry.Body{Action: raw}
}

// dialAgent opens a link that takes nothing for silence.
func dialAgent(t *testing.T, addr string) *link.Client {
	t.Helper()
	l, err := link.Dial(context.Background(), addr, link.ClientOptions{SilenceTimeout: waitTimeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// runStatus runs one fresh attempt of a service call.
func runStatus(l *link.Client) (link.RunResult, error) {
	p := link.RunParams{Attempt: contract.NewAttemptID(), BudgetUS: waitTimeout.Microseconds(), Repeatable: true}
	p.Input = pipeline.Input{Operation: "status", Body: json.RawMessage(`{"reference":"x"}`)}
	return l.Run(context.Background(), p, nil)
}

// registerBehindProxy lists an agent behind a fault-injecting proxy.
func (f *fleet) registerBehindProxy(i platform.Instance, agent *process) *faultProxy {
	f.t.Helper()
	w, err := newProxy(i.Name+"-"+f.t.Name(), agent.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(w.close)
	i.AgentAddress, i.State = w.proxy.Listen, platform.Live
	f.register(i)
	return w
}

// Point 2: bursts through two entries, and over links to an agent that takes a
// frozen one's place while its calls still run, never bring a cold endpoint
// above its declared limit. The endpoint itself counts, and crashes above it.
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
	next := f.startAgent("s1", "stock", pipeline.Service, stock)
	for range 2 {
		l := dialAgent(t, next.addr)
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
		t.Errorf("cold endpoint ran %v at once and crashed %v times, declared limit 3", peak, crashes)
	}
	if answered.Load() < 12 {
		t.Errorf("only %d answered, want the 12 of the new agent at least", answered.Load())
	}
}

// Point 5: a run that is delayed on its way is closed over another link; when
// it comes at last it must not run, so that "not run" stays true. The
// endpoint's count is the witness.
func TestDelayedRunNeverRuns(t *testing.T) {
	f := newFleet(t, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service").addr
	agent := f.startAgent("s1", "stock", pipeline.Service, stock)
	slow := f.registerBehindProxy(f.instances[0], agent)
	ctx := context.Background()
	late, direct := dialAgent(t, slow.proxy.Listen), dialAgent(t, agent.addr)
	if err := slow.apply("latency-up", "3000"); err != nil {
		t.Fatal(err)
	}
	p := link.RunParams{Attempt: contract.NewAttemptID(), BudgetUS: waitTimeout.Microseconds()}
	p.Input = pipeline.Input{Operation: "book", Body: json.RawMessage(`{"reference":"late"}`)}
	result := make(chan link.RunResult, 1)
	go func() {
		r, err := late.Run(ctx, p, nil)
		if err != nil {
			t.Error(err)
		}
		result <- r
	}()
	time.Sleep(100 * time.Millisecond)
	settled, err := direct.Settle(ctx, link.SettleParams{Attempt: p.Attempt})
	if err != nil || settled.State != link.AttemptClosed {
		t.Fatalf("settled as %+v, %v", settled, err)
	}
	if r := <-result; r.Run != contract.NotRun {
		t.Errorf("the late run ended as %+v", r)
	}
	if n := f.stat(stock, "references.total"); n != 0 {
		t.Errorf("the endpoint ran it %v times after it was called not run", n)
	}
}

// startStreams asks for n startStreams at once and checks that each caller gets the
// whole answer to its own question. The count is of the tokens that the callers
// have, as they come.
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
				f.t.Errorf("%s: %v, %d of %d bytes, own answer: %v", question, err, got.Len(), len(want), strings.HasPrefix(want, got.String()))
			}
		})
	}
	return &tokens
}

// Point 4: streams whose link is cut, falls silent, is cut again and answers
// late still reach each caller whole.
func TestStreamsOutliveTheirLinks(t *testing.T) {
	f := newFleet(t, chatSettings)
	engine := f.start("engine", "azurelead-standin", "engine", "--step", "10ms", "--batch", "32").addr
	agent := f.startAgent("e1", "engines", pipeline.Generate, engine)
	wire := f.registerBehindProxy(f.instances[0], agent)
	e := f.startEntry("entry1")
	f.awaitAnswer(e, "chat", entry.Body{Question: "warm", MaxTokens: 1})
	var wg sync.WaitGroup
	tokens := startStreams(f, &wg, e, "whole", 8)
	for i, fault := range [][]string{{"cut"}, {"silence"}, {"cut"}, {"silence"}, {"latency", "50"}} {
		// The engine's own count moves when a stream ends; the callers' tokens
		// show that the streams are under way.
		if err := eventually(func() error {
			if n, least := tokens.Load(), int64(100*(i+1)); n < least {
				return fmt.Errorf("the callers have %d tokens, want %d", n, least)
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		for _, step := range [][]string{fault, {"restore"}} {
			if err := wire.apply(step[0], step[1:]...); err != nil {
				t.Fatal(err)
			}
			if step[0] == "latency" {
				break
			}
		}
	}
	wg.Wait()
}

// Point 7: an endpoint that the list calls leaving, and one whose agent stops,
// get no new work after their word, though the entries' list lags for good.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := newFleet(t, statusSettings)
	start := func(name string) (addr string, agent *process) {
		addr = f.start(name, "azurelead-standin", "service", "--service-time", "5ms").addr
		return addr, f.startAgent("agent-"+name, "stock", pipeline.Service, addr, "--list-interval", "50ms")
	}
	first, _ := start("first")
	second, stops := start("second")
	third, _ := start("third")
	e := f.startEntry("entry1")
	f.awaitAnswer(e, "status", actionBody("await"))
	asked := 0
	askSome := func() {
		var wg sync.WaitGroup
		defer wg.Wait()
		for range 60 {
			asked++
			reference := fmt.Sprint(asked)
			wg.Go(func() {
				if _, err := f.call(e, "status", actionBody(reference), nil); err != nil {
					t.Errorf("request %s: %v", reference, err)
				}
			})
		}
	}
	if err := eventually(func() error {
		askSome()
		if f.stat(first, "attempts.total") == 0 || f.stat(second, "attempts.total") == 0 {
			return errors.New("an endpoint gets no work while it is live")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	leaving := f.instances[0]
	leaving.State = platform.Leaving
	f.register(leaving)
	if err := stops.signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := stops.wait(); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	time.Sleep(time.Second)
	before := f.stat(first, "attempts.total") + f.stat(second, "attempts.total")
	rest := f.stat(third, "attempts.total")
	askSome()
	if after := f.stat(first, "attempts.total") + f.stat(second, "attempts.total"); after != before {
		t.Errorf("leaving endpoints got %v calls after a second", after-before)
	}
	if got := f.stat(third, "attempts.total") - rest; got != 60 {
		t.Errorf("the endpoint that stays got %v of 60 calls", got)
	}
}

// Point 8: agents and an entry that are told to stop while streams run cut none
// of them, and end with status 0.
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
	startStreams(f, &wg, entries[1], "after the word", 4)
	wg.Wait()
	for _, p := range []*process{agents[0], entries[0]} {
		if err := p.wait(); err != nil {
			t.Errorf("%s: %v\n%s", p.name, err, p.stderr.String())
		}
	}
}

// Point 1 and 5 together: under cuts and silence of one endpoint's wire no
// call runs more than it was told, and a refusal as not run ran nowhere.
func TestNotRunIsTrueUnderFaults(t *testing.T) {
	f := newFleet(t, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service", "--service-time", "5ms").addr
	agent := f.startAgent("s1", "stock", pipeline.Service, stock)
	wire := f.registerBehindProxy(f.instances[0], agent)
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
		if err := wire.apply([]string{"cut", "silence"}[i%2]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		if err := wire.apply("restore"); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
	refused.Range(func(reference, p any) bool {
		if n := f.runCount(stock, reference.(string)); n != 0 {
			t.Errorf("%s was refused as not run (%v) and ran %d times", reference, p, n)
		}
		return true
	})
}

// A request that crashes every engine that runs it, sent again and again
// through two entries, loses a bounded number of engines; the streams of its
// neighbours reach their callers whole.
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
	var neighbours sync.WaitGroup
	startStreams(f, &neighbours, entries[0], "neighbour", 6)
	last := contract.Code("")
	for i := range 10 {
		_, err := f.call(entries[i%2], "chat", entry.Body{Question: standin.CrashMarker}, nil)
		var p *contract.Problem
		if !errors.As(err, &p) {
			t.Fatalf("the crashing request ended with %v", err)
		}
		last = p.Code
	}
	neighbours.Wait()
	lost := 0.0
	for _, addr := range engines {
		f.awaitStat(addr, "crashes", "0") // it may be down still
		lost += f.stat(addr, "crashes")
	}
	if lost == 0 || lost > suspect.MaxEndpointCrashes {
		t.Errorf("%v engines lost, want at least 1 and at most %d", lost, suspect.MaxEndpointCrashes)
	}
	if last != contract.CodeSuspectRequest {
		t.Errorf("sent for the tenth time it ended with %q, want a refusal as suspect", last)
	}
}

// Point 2, without warning: a warm endpoint that restarts while nothing runs is
// cold for the burst that follows, though no probe is due. The endpoint counts.
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
		t.Fatalf("never warm: %v", err)
	}
	f.send(http.MethodPost, stock, "/control/faults", []byte(`{"crash":true}`))
	f.awaitStat(stock, "crashes", "1")
	burst(60)
	f.awaitStat(stock, "crashes", "1") // one more crash takes it down for a moment
	if peak, crashes := f.stat(stock, "cold_peak"), f.stat(stock, "crashes"); peak > 3 || crashes > 1 {
		t.Errorf("after a restart the cold endpoint ran %v at once and crashed %v times more, declared limit 3", peak, crashes-1)
	}
}

// Point 3, at the agent: what lay in a frozen agent's buffers while its data
// centre was taken out must not run when it wakes. The endpoint counts.
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
			return fmt.Errorf("before: %+v", r)
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
			t.Errorf("read after the pause: %s %s", r.Run, r.Code)
		}
	}
	for range 20 {
		if r := run(); r.Run != contract.NotRun {
			t.Errorf("sent after the pause: %s %s", r.Run, r.Code)
		}
	}
	if after := f.stat(stock, "attempts.total"); after != before {
		t.Errorf("the endpoint ran %v old calls", after-before)
	}
}

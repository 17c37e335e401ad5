package agent

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/settings"
)

// The property test draws the same cases in every run, unless the flag rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEndpoint counts the calls that it runs, as evidence of what ran.
type fakeEndpoint struct {
	work func(ctx context.Context, c endpoint.Call, emit func(string)) endpoint.Result

	mu         sync.Mutex
	health     endpoint.Health
	probeErr   error
	runCounts  map[contract.AttemptID]int
	running    int
	maxRunning int
}

func (f *fakeEndpoint) Run(ctx context.Context, c endpoint.Call, emit func(string)) endpoint.Result {
	f.mu.Lock()
	if f.runCounts == nil {
		f.runCounts = map[contract.AttemptID]int{}
	}
	f.runCounts[c.Attempt]++
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	f.mu.Unlock()
	defer func() { f.mu.Lock(); f.running--; f.mu.Unlock() }()
	return f.work(ctx, c, emit)
}

func (f *fakeEndpoint) Probe(context.Context) (endpoint.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.health
	h.InFlight += f.running
	return h, f.probeErr
}

func (f *fakeEndpoint) update(change func(*fakeEndpoint)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeEndpoint) runCount(id contract.AttemptID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runCounts[id]
}

// delayed answers after d, or when the context of its call ends.
func delayed(d time.Duration) func(context.Context, endpoint.Call, func(string)) endpoint.Result {
	return func(ctx context.Context, _ endpoint.Call, emit func(string)) endpoint.Result {
		select {
		case <-time.After(d):
			emit("a")
			emit("b")
			return endpoint.Result{}
		case <-ctx.Done():
			return endpoint.Result{Problem: contract.NewProblem(contract.CodeCancelled, contract.MayHaveRun, "cut")}
		}
	}
}

func newTestAgent(t *testing.T, f *fakeEndpoint, o Options) *Agent {
	t.Helper()
	if f.health.Boot == "" {
		f.health.Boot = "endpoint-1"
	}
	o.Endpoint = f
	if o.Settings == nil {
		o.Settings = settings.NewFixed(&settings.Snapshot{Version: 1})
	}
	a, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func params(a *Agent, id contract.AttemptID) link.RunParams {
	return link.RunParams{Attempt: id, AgentBoot: a.options.Boot, BudgetUS: (10 * time.Second).Microseconds(), Repeatable: true}
}

func discard(string) {}

func snapshotWithLimits(cold, maxLimit, ramp, queue int) *settings.Snapshot {
	s := &settings.Snapshot{Version: 1}
	s.Document.Endpoint = settings.EndpointOverrides{ColdLimit: &cold, MaxLimit: &maxLimit, RampAnswers: &ramp, QueueLimit: &queue}
	return s
}

// A burst must never exceed the limit that a cold endpoint reports. Once the endpoint is warm, the
// limit must grow.
func TestColdEndpointStaysWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoint{work: delayed(20 * time.Millisecond), health: endpoint.Health{Cold: true, ColdLimit: 2}}
		a := newTestAgent(t, f, Options{Settings: settings.NewFixed(snapshotWithLimits(3, 16, 2, 200))})
		defer a.Close()
		burst := func(name string) {
			var wg sync.WaitGroup
			for i := range 100 {
				wg.Go(func() { a.Run(t.Context(), params(a, contract.AttemptID(fmt.Sprint(name, i))), discard) })
			}
			wg.Wait()
		}
		burst("cold")
		if f.maxRunning != 2 {
			t.Errorf("cold endpoint ran %d calls concurrently, want its reported limit of 2", f.maxRunning)
		}
		f.update(func(f *fakeEndpoint) { f.health.Cold = false })
		time.Sleep(2 * time.Second)
		burst("warm")
		if f.maxRunning <= 2 || f.maxRunning > 16 {
			t.Errorf("warm endpoint ran %d calls concurrently, want more than 2 and at most 16", f.maxRunning)
		}
	})
}

// Every sign of a cold endpoint must lower the limit at once.
func TestColdTransitions(t *testing.T) {
	warm := func() *limiter {
		now := time.Time{}
		m := newLimiter(Limits{Cold: 2, Max: 20, RampSuccesses: 1}, true, now, now)
		m.applyReport(now, endpoint.Health{Boot: "1"}, nil, 0)
		for range 40 {
			m.observe(true, 30*time.Millisecond, m.current)
		}
		return m
	}
	now := time.Time{}.Add(time.Hour)
	for name, tc := range map[string]struct {
		sign func(*limiter)
		want ColdReason
	}{
		"endpoint restarts":     {func(m *limiter) { m.applyReport(now, endpoint.Health{Boot: "2"}, nil, 0) }, ColdEndpointRestart},
		"endpoint reports cold": {func(m *limiter) { m.applyReport(now, endpoint.Health{Boot: "1", Cold: true}, nil, 0) }, ColdReported},
		"probe fails":           {func(m *limiter) { m.applyReport(now, endpoint.Health{}, errors.New("refused"), 0) }, ColdProbeFailure},
		"three latency jumps": {func(m *limiter) {
			for range 3 {
				m.observe(true, time.Second, m.current)
			}
		}, ColdLatency},
	} {
		m := warm()
		if m.current != 20 || m.cold {
			t.Fatalf("%s: endpoint is not warm at the start: %+v", name, m)
		}
		tc.sign(m)
		if m.allowed(now) != 2 || m.reason != tc.want {
			t.Errorf("%s: allows %d for %q, want 2 for %q", name, m.allowed(now), m.reason, tc.want)
		}
	}
	m := warm()
	m.observe(true, time.Second, m.current)
	if m.cold {
		t.Error("a single slow call marked the endpoint as cold")
	}
}

// For any order of reports, results and changed settings, an endpoint that reports that it is cold
// must be allowed no more calls than its cold limit and the configured one.
func TestColdLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Time{}
		m := newLimiter(Limits{Cold: 2, Max: 8, RampSuccesses: 1}, true, now, now.Add(time.Minute))
		h := endpoint.Health{Boot: "1", Cold: true}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				h.Cold = rapid.Bool().Draw(t, "cold")
				h.ColdLimit = rapid.IntRange(0, 4).Draw(t, "declared")
				h.InFlight = rapid.IntRange(0, 4).Draw(t, "foreign")
				m.applyReport(now, h, nil, 0)
			case 1:
				m.observe(rapid.Bool().Draw(t, "good"), time.Millisecond, m.current)
			case 2:
				m.setLimits(Limits{Cold: rapid.IntRange(1, 6).Draw(t, "limit"), Max: rapid.IntRange(1, 12).Draw(t, "max"), RampSuccesses: 1})
			case 3:
				m.applyReport(now, h, errors.New("down"), 0)
			}
			if m.reportsCold && m.allowed(now) > m.coldLimit() || m.allowed(now) > m.limits.Max {
				t.Fatalf("allows %d, cold limit %d, max %d", m.allowed(now), m.coldLimit(), m.limits.Max)
			}
		}
	})
}

// A restarted agent must count the calls that its predecessor left running.
func TestRestartedAgentCountsPredecessorCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoint{work: delayed(time.Millisecond), health: endpoint.Health{Cold: true, ColdLimit: 3, InFlight: 2}}
		a := newTestAgent(t, f, Options{Settings: settings.NewFixed(snapshotWithLimits(3, 8, 1, 8))})
		defer a.Close()
		if got := a.Load().Limit; got != 0 {
			t.Errorf("before a report counts the predecessor's calls: limit %d, want 0", got)
		}
		time.Sleep(time.Second)
		if got := a.Load().Limit; got != 1 {
			t.Errorf("two calls of the predecessor are running: limit %d, want 3-2", got)
		}
		f.update(func(f *fakeEndpoint) { f.health.InFlight = 0 })
		time.Sleep(time.Second)
		if got := a.Load().Limit; got != 3 {
			t.Errorf("the predecessor's calls have ended: limit %d, want 3", got)
		}
	})
}

// "Not run" must be true: in any order of run, settle, cancel and duplicates, an attempt runs at
// most once, and never after it was reported as not run.
func TestAttemptRunsAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoint{work: delayed(time.Second)}
		a := newTestAgent(t, f, Options{Settings: settings.NewFixed(snapshotWithLimits(4, 4, 1, 4))})
		defer a.Close()
		time.Sleep(time.Second)
		ctx := t.Context()

		if got := a.Settle(ctx, link.SettleParams{Attempt: "late", AgentBoot: a.options.Boot}); got.State != link.AttemptClosed {
			t.Errorf("settle before the run: %+v, want closed", got)
		}
		if r := a.Run(ctx, params(a, "late"), discard); r.Run != contract.NotRun || f.runCount("late") != 0 {
			t.Errorf("run after settle: %+v, ran %d times, want not run", r, f.runCount("late"))
		}

		var wg sync.WaitGroup
		states := make([]contract.RunState, 3)
		for i := range states {
			wg.Go(func() { states[i] = a.Run(ctx, params(a, "twice"), discard).Run })
		}
		wg.Wait()
		if f.runCount("twice") != 1 {
			t.Errorf("duplicates ran %d times, want 1", f.runCount("twice"))
		}
		for _, s := range states {
			if s == contract.NotRun {
				t.Error("a duplicate of an attempt that ran was reported as not run")
			}
		}

		old := params(a, "old")
		old.AgentBoot = "former"
		if r := a.Run(ctx, old, discard); r.Run != contract.NotRun || r.Code != contract.CodeWrongBoot || f.runCount("old") != 0 {
			t.Errorf("run for an earlier boot: %+v, want not run, wrong boot", r)
		}
		if got := a.Settle(ctx, link.SettleParams{Attempt: "x", AgentBoot: "former"}); got.State != link.AttemptUnknown {
			t.Errorf("settle for an earlier boot: %+v, want unknown", got)
		}
	})
}

// An agent that has forgotten attempts must not report an old one as closed.
func TestForgottenAttemptsAreUnknown(t *testing.T) {
	now := time.Now()
	a := newAttemptTable(func() time.Time { return now })
	run := func(id contract.AttemptID) {
		x := newAttempt(id, "", false, func(error) {})
		a.begin(x)
		a.finish(x, link.RunResult{})
	}
	run("booking")
	for i := range 2*generationSize + 1 {
		run(contract.AttemptID(fmt.Sprint(i)))
	}
	newest := contract.AttemptID(fmt.Sprint(2 * generationSize))
	now = now.Add(time.Hour)
	for id, tc := range map[contract.AttemptID]struct {
		age  time.Duration
		want attemptStatus
	}{
		"booking": {0, statusForgotten},
		"fresh":   {time.Minute, statusClosed},
		"old":     {2 * time.Hour, statusForgotten},
		newest:    {0, statusForgotten},
	} {
		if got, _ := a.settle(id, tc.age); got != tc.want {
			t.Errorf("%s at age %v: status %d, want %d", id, tc.age, got, tc.want)
		}
	}
}

// If the link of a stream is cut, the link that takes the stream over must receive all of its
// tokens from the requested one on. If no link takes it over, the stream must end.
func TestTakeoverAndOrphans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoint{work: func(ctx context.Context, _ endpoint.Call, emit func(string)) endpoint.Result {
			for i := range 10 {
				select {
				case <-time.After(time.Second):
					emit(fmt.Sprint(i))
				case <-ctx.Done():
					return endpoint.Result{Problem: contract.NewProblem(contract.CodeCancelled, contract.Ran, "cut")}
				}
			}
			return endpoint.Result{}
		}}
		a := newTestAgent(t, f, Options{Settings: settings.NewFixed(snapshotWithLimits(4, 4, 1, 4))})
		defer a.Close()
		time.Sleep(time.Second)
		p := params(a, "stream")
		p.BudgetUS = time.Minute.Microseconds()
		firstLink, cutFirst := context.WithCancel(t.Context())
		ended := make(chan link.RunResult, 2)
		go func() { ended <- a.Run(firstLink, p, discard) }()
		time.Sleep(3500 * time.Millisecond)
		cutFirst()
		time.Sleep(time.Second)
		var got []string
		r := a.Attach(t.Context(), link.AttachParams{Attempt: "stream", AgentBoot: a.options.Boot, From: 2},
			func(s string) { got = append(got, s) })
		if diff := cmp.Diff([]string{"2", "3", "4", "5", "6", "7", "8", "9"}, got); diff != "" || r.TokenCount != 10 {
			t.Errorf("takeover from token 2: token count %d, want 10; tokens differ: %s", r.TokenCount, diff)
		}
		<-ended
		secondLink, cutSecond := context.WithCancel(t.Context())
		p.Attempt = "orphan"
		go func() { ended <- a.Run(secondLink, p, discard) }()
		time.Sleep(time.Second)
		cutSecond()
		if r := <-ended; r.Code != contract.CodeCancelled {
			t.Errorf("orphaned stream ended with %+v, want cancelled", r)
		}
	})
}

// A process that was paused must not admit messages from its buffers before it has refreshed its
// settings.
func TestPauseRequiresSettingsRefresh(t *testing.T) {
	now := time.Now()
	p := newPauseDetector(time.Second, now)
	p.tick(now.Add(100 * time.Millisecond))
	if p.isStale(now.Add(900 * time.Millisecond)) {
		t.Error("a late tick counted as a pause")
	}
	if !p.isStale(now.Add(5 * time.Second)) {
		t.Error("pause not detected before the next tick")
	}
	p.tick(now.Add(5 * time.Second))
	if !p.isStale(now.Add(5 * time.Second)) {
		t.Error("a tick without a refresh ended the stale state")
	}
	p.markRefreshed(now.Add(5 * time.Second))
	if p.isStale(now.Add(5 * time.Second)) {
		t.Error("stale after the refresh")
	}
}

// A call that cannot start before its deadline is refused at once, a closed gate refuses queued
// calls, and organisations share the slots by weight.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoint{work: delayed(time.Second)}
		a := newTestAgent(t, f, Options{Settings: settings.NewFixed(snapshotWithLimits(1, 1, 1, 2))})
		defer a.Close()
		time.Sleep(time.Second)
		a.Run(t.Context(), params(a, "warm"), discard)
		results := make(chan link.RunResult, 4)
		start := func(id contract.AttemptID, budget time.Duration) {
			p := params(a, id)
			p.BudgetUS = budget.Microseconds()
			go func() { results <- a.Run(t.Context(), p, discard) }()
			synctest.Wait()
		}
		start("runs", 10*time.Second)
		begun := time.Now()
		start("late", 100*time.Millisecond)
		if r := <-results; r.Attempt != "late" || r.Code != contract.CodeOverloaded || r.Run != contract.NotRun || time.Since(begun) != 0 {
			t.Errorf("call that cannot start in time: %+v after %v, want overloaded at once", r, time.Since(begun))
		}
		start("waits", 10*time.Second)
		start("waits too", 10*time.Second)
		start("full", 10*time.Second)
		if r := <-results; r.Attempt != "full" || r.Code != contract.CodeOverloaded || r.RetryAfterMS == 0 {
			t.Errorf("full queue: %+v, want overloaded with a retry delay", r)
		}
		a.Leave()
		for range 2 {
			if r := <-results; r.Code != contract.CodeShuttingDown || r.Run != contract.NotRun {
				t.Errorf("queued call when the agent leaves: %+v, want shutting down, not run", r)
			}
		}
		if r := <-results; r.Attempt != "runs" || r.Code != "" {
			t.Errorf("running call when the agent leaves: %+v, want success", r)
		}
	})
	q := newQueue()
	for i := range 12 {
		q.push(&waiter{organisation: "large", weight: 1, seq: uint64(i)})
		q.push(&waiter{organisation: "small", weight: 3})
	}
	got := map[string]int{}
	for range 8 {
		w := q.next()
		q.remove(w)
		q.charge(w.organisation, w.weight)
		got[w.organisation]++
	}
	if diff := cmp.Diff(map[string]int{"large": 2, "small": 6}, got); diff != "" {
		t.Errorf("calls served per organisation differ: %s", diff)
	}
}

// crashRecorder is a Suspects that records the reported crashes.
type crashRecorder struct {
	noSuspects
	mu      sync.Mutex
	crashes [][]string
}

func (c *crashRecorder) Crashed(d []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, d)
}

// While its data centre is taken out, an agent refuses calls at once as not run. When the data
// centre returns, the limit grows from the cold limit.
func TestDataCentreLeavesAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := settings.NewFixed(snapshotWithLimits(2, 8, 1, 64))
		f := &fakeEndpoint{work: delayed(10 * time.Millisecond)}
		a := newTestAgent(t, f, Options{Settings: source, DataCentre: "north"})
		defer a.Close()
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() { a.Run(t.Context(), params(a, contract.AttemptID(fmt.Sprint(i))), discard) })
		}
		wg.Wait()
		if l := a.Load(); l.Limit != 8 || l.Cold {
			t.Fatalf("endpoint is not warm at the start: %+v", l)
		}
		for version, out := range []bool{true, false} {
			s := *source.Current()
			s.Version, s.Document.DataCentres = uint64(version+2), map[string]settings.DataCentre{"north": {Out: out}}
			source.Set(&s)
			r := a.Run(t.Context(), params(a, contract.AttemptID(fmt.Sprint("out ", out))), discard)
			if got := r.Code == contract.CodeDataCentreOut && r.Run == contract.NotRun; got != out {
				t.Errorf("data centre out %v: %+v", out, r)
			}
		}
		if l := a.Load(); l.Limit > 3 || !l.Cold {
			t.Errorf("after the return: %+v, want the cold limit 2, grown by at most 1", l)
		}
	})
}

// A crash with several calls in flight must be reported once, with all of them.
func TestCrashIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crash := make(chan struct{})
		f := &fakeEndpoint{work: func(context.Context, endpoint.Call, func(string)) endpoint.Result {
			<-crash
			return endpoint.Result{Crashed: true, Problem: contract.NewProblem(contract.CodeEndpointFailed, contract.MayHaveRun, "gone")}
		}}
		log := &crashRecorder{}
		a := newTestAgent(t, f, Options{Suspects: log, Settings: settings.NewFixed(snapshotWithLimits(3, 3, 1, 4))})
		defer a.Close()
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for _, d := range []string{"x", "y", "z"} {
			wg.Go(func() {
				p := params(a, contract.AttemptID("attempt "+d))
				p.Digest = d
				a.Run(t.Context(), p, discard)
			})
		}
		synctest.Wait()
		close(crash)
		wg.Wait()
		if len(log.crashes) != 1 || len(log.crashes[0]) != 3 {
			t.Errorf("reported %v, want one crash with three digests", log.crashes)
		}
	})
}

// slowSuspects is a Suspects that takes a while to record a crash, and the Gossip of its marks.
type slowSuspects struct {
	crashRecorder
	link.NoGossip
}

func (s *slowSuspects) Crashed(d []string) {
	time.Sleep(20 * time.Millisecond)
	s.crashRecorder.Crashed(d)
}

func (s *slowSuspects) Suspects() []link.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var marks []link.Suspect
	for _, crash := range s.crashes {
		for _, d := range crash {
			marks = append(marks, link.Suspect{Digest: d, Crashes: 1})
		}
	}
	return marks
}

// Every result of a call that was in flight at a crash carries its mark: without it an entry repeats the call among others, at
// an endpoint that crashes too.
func TestResultsOfACrashCarryTheirMarks(t *testing.T) {
	crash := make(chan struct{})
	var running sync.WaitGroup
	f := &fakeEndpoint{work: func(context.Context, endpoint.Call, func(string)) endpoint.Result {
		running.Done()
		<-crash
		return endpoint.Result{Crashed: true, Problem: contract.NewProblem(contract.CodeEndpointFailed, contract.MayHaveRun, "gone")}
	}}
	marks := &slowSuspects{}
	a := newTestAgent(t, f, Options{Suspects: marks, Gossip: marks, Settings: settings.NewFixed(snapshotWithLimits(3, 3, 1, 4))})
	defer a.Close()
	digests := []string{"x", "y", "z"}
	running.Add(len(digests))
	var wg sync.WaitGroup
	for _, d := range digests {
		wg.Go(func() {
			p := params(a, contract.AttemptID("attempt "+d))
			p.Digest = d
			if r := a.Run(t.Context(), p, discard); len(r.Suspects) != len(digests) {
				t.Errorf("the result of %s carries %d marks, want %d", d, len(r.Suspects), len(digests))
			}
		})
	}
	running.Wait()
	close(crash)
	wg.Wait()
}

// clearingSuspects is a Suspects whose Cleared blocks.
type clearingSuspects struct {
	crashRecorder
	clearing, goOn chan struct{}
}

func (s *clearingSuspects) Cleared(string) {
	close(s.clearing)
	<-s.goOn
}

// A call that has been answered was not in flight at a crash just after that: the call that ran alone would count as one
// among others, and crash one more endpoint.
func TestAnsweredCallIsNotInFlightAtACrash(t *testing.T) {
	f := &fakeEndpoint{work: func(_ context.Context, c endpoint.Call, _ func(string)) endpoint.Result {
		if c.Attempt == "sound" {
			return endpoint.Result{}
		}
		return endpoint.Result{Crashed: true, Problem: contract.NewProblem(contract.CodeEndpointFailed, contract.MayHaveRun, "gone")}
	}}
	suspects := &clearingSuspects{clearing: make(chan struct{}), goOn: make(chan struct{})}
	a := newTestAgent(t, f, Options{Suspects: suspects})
	defer a.Close()
	run := func(id contract.AttemptID, alone bool) {
		p := params(a, id)
		p.Digest, p.Alone = string(id), alone
		a.Run(t.Context(), p, discard)
	}
	var wg sync.WaitGroup
	wg.Go(func() { run("sound", false) })
	<-suspects.clearing
	run("crashing", true)
	close(suspects.goOn)
	wg.Wait()
	if diff := cmp.Diff([][]string{{"crashing"}}, suspects.crashes); diff != "" {
		t.Error(diff)
	}
}

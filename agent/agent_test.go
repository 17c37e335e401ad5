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

// The property test draws the same cases in every run, unless a seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEndpoint counts what it runs, as the witness of what ran.
type fakeEndpoint struct {
	work func(ctx context.Context, c endpoint.Call, emit func(string)) endpoint.Result

	mu     sync.Mutex
	health endpoint.Health
	down   error
	ran    map[contract.AttemptID]int
	now    int
	most   int
}

func (f *fakeEndpoint) Run(ctx context.Context, c endpoint.Call, emit func(string)) endpoint.Result {
	f.mu.Lock()
	if f.ran == nil {
		f.ran = map[contract.AttemptID]int{}
	}
	f.ran[c.Attempt]++
	f.now++
	f.most = max(f.most, f.now)
	f.mu.Unlock()
	defer func() { f.mu.Lock(); f.now--; f.mu.Unlock() }()
	return f.work(ctx, c, emit)
}

func (f *fakeEndpoint) Probe(context.Context) (endpoint.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.health
	h.InFlight += f.now
	return h, f.down
}

func (f *fakeEndpoint) set(change func(*fakeEndpoint)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeEndpoint) runs(id contract.AttemptID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

// sleepy answers after d, or when its caller gives up.
func sleepy(d time.Duration) func(context.Context, endpoint.Call, func(string)) endpoint.Result {
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
	return link.RunParams{Attempt: id, AgentBoot: a.o.Boot, BudgetUS: (10 * time.Second).Microseconds(), Repeatable: true}
}

func discard(string) {}

func limitsOf(cold, most, ramp, queue int) *settings.Snapshot {
	s := &settings.Snapshot{Version: 1}
	s.Document.Endpoint = settings.EndpointOverrides{ColdLimit: &cold, MaxLimit: &most, RampAnswers: &ramp, QueueLimit: &queue}
	return s
}

// A burst must never bring a cold endpoint above the limit it declares, and
// once the endpoint is warm the limit must grow.
func TestColdEndpointIsNotOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoint{work: sleepy(20 * time.Millisecond), health: endpoint.Health{Cold: true, ColdLimit: 2}}
		a := newTestAgent(t, f, Options{Settings: settings.NewFixed(limitsOf(3, 16, 2, 200))})
		defer a.Close()
		burst := func(name string) {
			var wg sync.WaitGroup
			for i := range 100 {
				wg.Go(func() { a.Run(t.Context(), params(a, contract.AttemptID(fmt.Sprint(name, i))), discard) })
			}
			wg.Wait()
		}
		burst("cold")
		if f.most != 2 {
			t.Errorf("cold endpoint ran %d at once, want its declared limit 2", f.most)
		}
		f.set(func(f *fakeEndpoint) { f.health.Cold = false })
		time.Sleep(2 * time.Second)
		burst("warm")
		if f.most <= 2 || f.most > 16 {
			t.Errorf("warm endpoint ran %d at once, want growth up to 16", f.most)
		}
	})
}

// Every sign of a cold endpoint must bring the limit down at once.
func TestSignsOfCold(t *testing.T) {
	warm := func() *limiter {
		now := time.Time{}
		m := newLimiter(Limits{Cold: 2, Max: 20, RampSuccesses: 1}, true, now, now)
		m.health(now, endpoint.Health{Boot: "1"}, nil, 0)
		for range 40 {
			m.answer(true, 30*time.Millisecond, m.current)
		}
		return m
	}
	now := time.Time{}.Add(time.Hour)
	for name, tc := range map[string]struct {
		sign func(*limiter)
		want ColdReason
	}{
		"endpoint restarts": {func(m *limiter) { m.health(now, endpoint.Health{Boot: "2"}, nil, 0) }, ColdEndpointRestart},
		"endpoint says so":  {func(m *limiter) { m.health(now, endpoint.Health{Boot: "1", Cold: true}, nil, 0) }, ColdReported},
		"probe fails":       {func(m *limiter) { m.health(now, endpoint.Health{}, errors.New("refused"), 0) }, ColdProbeFailure},
		"latency jumps thrice": {func(m *limiter) {
			for range 3 {
				m.answer(true, time.Second, m.current)
			}
		}, ColdLatency},
	} {
		m := warm()
		if m.current != 20 || m.cold {
			t.Fatalf("%s: not warm before: %+v", name, m)
		}
		tc.sign(m)
		if m.allowed(now) != 2 || m.reason != tc.want {
			t.Errorf("%s: allows %d for %q, want 2 for %q", name, m.allowed(now), m.reason, tc.want)
		}
	}
	m := warm()
	m.answer(true, time.Second, m.current)
	if m.cold {
		t.Error("one slow answer is an outlier, not a jump")
	}
}

// Whatever reports, answers and settings come, in whatever order, an endpoint
// that says it is cold is allowed no more than it and the settings declare.
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
				m.health(now, h, nil, 0)
			case 1:
				m.answer(rapid.Bool().Draw(t, "good"), time.Millisecond, m.current)
			case 2:
				m.setLimits(Limits{Cold: rapid.IntRange(1, 6).Draw(t, "limit"), Max: rapid.IntRange(1, 12).Draw(t, "max"), RampSuccesses: 1})
			case 3:
				m.health(now, h, errors.New("down"), 0)
			}
			if m.saysCold && m.allowed(now) > m.coldLimit() || m.allowed(now) > m.limits.Max {
				t.Fatalf("allows %d, cold limit %d, max %d", m.allowed(now), m.coldLimit(), m.limits.Max)
			}
		}
	})
}

// A restarted agent must count on what its predecessor left running.
func TestRestartedAgentCountsForeignCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoint{work: sleepy(time.Millisecond), health: endpoint.Health{Cold: true, ColdLimit: 3, InFlight: 2}}
		a := newTestAgent(t, f, Options{Settings: settings.NewFixed(limitsOf(3, 8, 1, 8))})
		defer a.Close()
		if got := a.Load().Limit; got != 0 {
			t.Errorf("before a report can count the former agent's calls: limit %d, want 0", got)
		}
		time.Sleep(time.Second)
		if got := a.Load().Limit; got != 1 {
			t.Errorf("two calls of the former agent run: limit %d, want 3-2", got)
		}
		f.set(func(f *fakeEndpoint) { f.health.InFlight = 0 })
		time.Sleep(time.Second)
		if got := a.Load().Limit; got != 3 {
			t.Errorf("they have ended: limit %d, want 3", got)
		}
	})
}

// "Not run" must stay true: whatever the order of run, settle, cancel and
// duplicates, an id runs at most once, and never after it was said not to.
func TestNotRunStaysTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoint{work: sleepy(time.Second)}
		a := newTestAgent(t, f, Options{Settings: settings.NewFixed(limitsOf(4, 4, 1, 4))})
		defer a.Close()
		time.Sleep(time.Second)
		ctx := t.Context()

		if got := a.Settle(ctx, link.SettleParams{Attempt: "late", AgentBoot: a.o.Boot}); got.State != link.AttemptClosed {
			t.Errorf("settle before the run came: %+v", got)
		}
		if r := a.Run(ctx, params(a, "late"), discard); r.Run != contract.NotRun || f.runs("late") != 0 {
			t.Errorf("run after the tombstone: %+v, ran %d times", r, f.runs("late"))
		}

		var wg sync.WaitGroup
		states := make([]contract.RunState, 3)
		for i := range states {
			wg.Go(func() { states[i] = a.Run(ctx, params(a, "twice"), discard).Run })
		}
		wg.Wait()
		if f.runs("twice") != 1 {
			t.Errorf("duplicates ran %d times", f.runs("twice"))
		}
		for _, s := range states {
			if s == contract.NotRun {
				t.Error("a duplicate of a call that ran was called not run")
			}
		}

		old := params(a, "old")
		old.AgentBoot = "former"
		if r := a.Run(ctx, old, discard); r.Run != contract.NotRun || r.Code != contract.CodeWrongBoot || f.runs("old") != 0 {
			t.Errorf("meant for a former boot: %+v", r)
		}
		if got := a.Settle(ctx, link.SettleParams{Attempt: "x", AgentBoot: "former"}); got.State != link.AttemptUnknown {
			t.Errorf("settle of a former boot's attempt: %+v", got)
		}
	})
}

// An agent that has forgotten attempts must not call an old one "closed".
func TestForgottenAttemptsAreUnknown(t *testing.T) {
	now := time.Now()
	a := newAttempts(func() time.Time { return now })
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
		want entryKind
	}{
		"booking": {0, kindForgotten},
		"fresh":   {time.Minute, kindClosed},
		"old":     {2 * time.Hour, kindForgotten},
		newest:    {0, kindForgotten},
	} {
		if got, _ := a.settle(id, tc.age); got != tc.want {
			t.Errorf("%s at age %v: kind %d, want %d", id, tc.age, got, tc.want)
		}
	}
}

// A stream whose link is cut must be handed on whole to the link that takes it
// over, and end if none does.
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
		a := newTestAgent(t, f, Options{Settings: settings.NewFixed(limitsOf(4, 4, 1, 4))})
		defer a.Close()
		time.Sleep(time.Second)
		p := params(a, "stream")
		p.BudgetUS = time.Minute.Microseconds()
		first, cut := context.WithCancel(t.Context())
		ended := make(chan link.RunResult, 2)
		go func() { ended <- a.Run(first, p, discard) }()
		time.Sleep(3500 * time.Millisecond)
		cut()
		time.Sleep(time.Second)
		var got []string
		r := a.Attach(t.Context(), link.AttachParams{Attempt: "stream", AgentBoot: a.o.Boot, From: 2},
			func(s string) { got = append(got, s) })
		if diff := cmp.Diff([]string{"2", "3", "4", "5", "6", "7", "8", "9"}, got); diff != "" || r.TokenCount != 10 {
			t.Errorf("taken over from 2, count %d: %s", r.TokenCount, diff)
		}
		<-ended
		second, cutToo := context.WithCancel(t.Context())
		p.Attempt = "orphan"
		go func() { ended <- a.Run(second, p, discard) }()
		time.Sleep(time.Second)
		cutToo()
		if r := <-ended; r.Code != contract.CodeCancelled {
			t.Errorf("a stream that nobody waits for ended with %+v", r)
		}
	})
}

// A process that was paused must not admit what waited in its buffers before
// it has renewed its settings.
func TestNothingIsAdmittedAfterAPause(t *testing.T) {
	now := time.Now()
	p := newPause(time.Second, now)
	p.tick(now.Add(100 * time.Millisecond))
	if p.isStale(now.Add(900 * time.Millisecond)) {
		t.Error("a late tick is not a pause")
	}
	if !p.isStale(now.Add(5 * time.Second)) {
		t.Error("a pause is not seen ahead of the next tick")
	}
	p.tick(now.Add(5 * time.Second))
	if !p.isStale(now.Add(5 * time.Second)) {
		t.Error("a tick alone renews nothing")
	}
	p.renewed(now.Add(5 * time.Second))
	if p.isStale(now.Add(5 * time.Second)) {
		t.Error("stale after the renewal")
	}
}

// What cannot start in time is refused at once, a closed gate refuses what
// waits, and organisations share by weight.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEndpoint{work: sleepy(time.Second)}
		a := newTestAgent(t, f, Options{Settings: settings.NewFixed(limitsOf(1, 1, 1, 2))})
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
			t.Errorf("cannot start in time: %+v after %v", r, time.Since(begun))
		}
		start("waits", 10*time.Second)
		start("waits too", 10*time.Second)
		start("full", 10*time.Second)
		if r := <-results; r.Attempt != "full" || r.Code != contract.CodeOverloaded || r.RetryAfterMS == 0 {
			t.Errorf("queue is full: %+v", r)
		}
		a.Leave()
		for range 2 {
			if r := <-results; r.Code != contract.CodeShuttingDown || r.Run != contract.NotRun {
				t.Errorf("waiting while the agent leaves: %+v", r)
			}
		}
		if r := <-results; r.Attempt != "runs" || r.Code != "" {
			t.Errorf("running while the agent leaves: %+v", r)
		}
	})
	q := newQueue()
	for i := range 12 {
		q.push(&waiter{organisation: "large", weight: 1, seq: uint64(i)})
		q.push(&waiter{organisation: "small", weight: 3})
	}
	got := map[string]int{}
	for range 8 {
		w := q.head()
		q.remove(w)
		q.charge(w.organisation, w.weight)
		got[w.organisation]++
	}
	if diff := cmp.Diff(map[string]int{"large": 2, "small": 6}, got); diff != "" {
		t.Errorf("shares: %s", diff)
	}
}

// crashLog is a Suspects that keeps what is reported.
type crashLog struct {
	noSuspects
	mu      sync.Mutex
	crashes [][]string
}

func (c *crashLog) Crashed(d []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, d)
}

// A data centre that is taken out refuses at once as not run, and on its return
// the endpoint ramps up from the cold limit.
func TestDataCentreLeavesAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := settings.NewFixed(limitsOf(2, 8, 1, 64))
		f := &fakeEndpoint{work: sleepy(10 * time.Millisecond)}
		a := newTestAgent(t, f, Options{Settings: source, DataCentre: "north"})
		defer a.Close()
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() { a.Run(t.Context(), params(a, contract.AttemptID(fmt.Sprint(i))), discard) })
		}
		wg.Wait()
		if l := a.Load(); l.Limit != 8 || l.Cold {
			t.Fatalf("not warm: %+v", l)
		}
		for version, out := range []bool{true, false} {
			s := *source.Current()
			s.Version, s.Document.DataCentres = uint64(version+2), map[string]settings.DataCentre{"north": {Out: out}}
			source.Set(&s)
			r := a.Run(t.Context(), params(a, contract.AttemptID(fmt.Sprint("out ", out))), discard)
			if got := r.Code == contract.CodeDataCentreOut && r.Run == contract.NotRun; got != out {
				t.Errorf("out %v: %+v", out, r)
			}
		}
		if l := a.Load(); l.Limit > 3 || !l.Cold {
			t.Errorf("after the return: %+v, want the cold limit 2 and at most one answer's growth", l)
		}
	})
}

// One crash with several calls in flight must be reported once, with all of them.
func TestCrashIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crash := make(chan struct{})
		f := &fakeEndpoint{work: func(context.Context, endpoint.Call, func(string)) endpoint.Result {
			<-crash
			return endpoint.Result{Crashed: true, Problem: contract.NewProblem(contract.CodeEndpointFailed, contract.MayHaveRun, "gone")}
		}}
		log := &crashLog{}
		a := newTestAgent(t, f, Options{Suspects: log, Settings: settings.NewFixed(limitsOf(3, 3, 1, 4))})
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

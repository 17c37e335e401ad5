package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
)

// breakable is a directory that can be lost.
type breakable struct {
	platform.Directory
	mu   sync.Mutex
	lost bool
}

func (b *breakable) Instances(ctx context.Context) ([]platform.Instance, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost {
		return nil, platform.Unavailable.New("lost")
	}
	return b.Directory.Instances(ctx)
}

// With the platform lost for ten minutes, and every link cut meanwhile, the
// only answers that change are those that need a claim: refused as not run.
func TestLostPlatformChangesOnlyClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dir *breakable
		w := newWorld(t, func(w *world, o *Options) { dir = &breakable{Directory: w}; o.Directory = dir })
		dir.mu.Lock()
		dir.lost = true
		dir.mu.Unlock()
		w.claims.down = true
		for i := range 60 {
			time.Sleep(10 * time.Second)
			if i == 30 {
				w.unreachable.Store(true)
				for _, a := range w.agents {
					_ = a.up.Close()
				}
				time.Sleep(20 * time.Second)
				w.unreachable.Store(false)
				time.Sleep(redialMax * 2)
			}
			if rec := w.post(t.Context(), ask{pipeline: "ask", body: question}); rec.Code != http.StatusOK {
				t.Fatalf("after %d reads of the list: %s", i, rec.Body)
			}
			p := decode[ProblemReport](t, w.post(t.Context(), ask{pipeline: "book", body: booking, key: fmt.Sprint(i)}))
			if p.Code != contract.CodeClaimUnavailable || p.Run != contract.NotRun {
				t.Fatalf("booking: %+v", p.Problem)
			}
		}
		if n := w.runs("service"); n != 0 {
			t.Errorf("%d bookings ran", n)
		}
	})
}

// An entry that starts while the platform is down serves with the agents that it
// is told of, once they answer.
func TestStartsFromSeedAgentsWithoutThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, func(w *world, o *Options) {
			o.Directory = &breakable{Directory: w, lost: true}
			o.SeedAgents = []string{"encode-1", "generate-2"}
			w.unreachable.Store(true)
			time.AfterFunc(time.Minute, func() { w.unreachable.Store(false) })
		})
		if rec := w.post(t.Context(), ask{pipeline: "ask", body: question}); rec.Code != http.StatusOK {
			t.Fatalf("answered %s", rec.Body)
		}
	})
}

// A request that has been given up on is answered at once: by the virtual
// clock no time passes between the last result and the refusal.
func TestRefusalsAreAnsweredAtOnce(t *testing.T) {
	busy := func(context.Context, link.RunParams) link.RunResult {
		return link.RunResult{Run: contract.NotRun, Code: contract.CodeOverloaded}
	}
	broken := func(context.Context, link.RunParams) link.RunResult { return failed(contract.Ran, "out of order") }
	for name, c := range map[string]struct {
		set  func(w *world)
		q    ask
		want contract.Code
	}{
		"busy":   {func(w *world) { w.each("generate", func(a *fakeAgent) { a.work = busy }) }, ask{pipeline: "ask", body: question}, contract.CodeOverloaded},
		"broken": {func(w *world) { w.each("generate", func(a *fakeAgent) { a.work = broken }) }, ask{pipeline: "ask", body: question}, contract.CodeEndpointFailed},
		"out":    {func(w *world) { w.takeOut() }, ask{pipeline: "ask", body: question}, contract.CodeNoEndpoint},
		"claims": {func(w *world) { w.claims.down = true }, ask{pipeline: "book", body: booking, key: "k"}, contract.CodeClaimUnavailable},
		"late": {func(w *world) {
			for range 20 {
				w.e.latencies.of(stageKey{"ask", "encode", 0}, time.Now()).Record(time.Now(), time.Minute)
			}
			w.e.latencies.mayProbe("ask", time.Now())
		}, ask{pipeline: "ask", body: question}, contract.CodeDeadlineTooShort},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, nil)
				c.set(w)
				started := time.Now()
				rec := w.post(t.Context(), c.q)
				p := decode[ProblemReport](t, rec)
				if p.Code != c.want || rec.Header().Get("Retry-After") == "" {
					t.Errorf("got %+v", p.Problem)
				}
				if took := time.Since(started); took != 0 {
					t.Errorf("answered after %s", took)
				}
			})
		})
	}
}

// A pool whose every link broke a moment ago is waited for, since a redial takes
// milliseconds; one that stays away is refused at once.
func TestBrokenLinksAreWaitedForBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, nil)
		w.unreachable.Store(true)
		for _, a := range w.agents {
			_ = a.up.Close()
		}
		synctest.Wait()
		time.AfterFunc(100*time.Millisecond, func() { w.unreachable.Store(false) })
		if rec := w.post(t.Context(), ask{pipeline: "ask", body: question}); rec.Code != http.StatusOK {
			t.Errorf("asked while links were redialled: %s", rec.Body)
		}
		w.unreachable.Store(true)
		for _, a := range w.agents {
			_ = a.up.Close()
		}
		time.Sleep(DefaultRecoveryTimeout)
		started := time.Now()
		p := decode[ProblemReport](t, w.post(t.Context(), ask{pipeline: "ask", body: question}))
		if p.Code != contract.CodeNoEndpoint || p.Run != contract.NotRun || time.Since(started) != 0 {
			t.Errorf("after %s: %+v", time.Since(started), p.Problem)
		}
	})
}

func (w *world) takeOut() {
	doc := w.doc
	doc.DataCentres = map[string]settings.DataCentre{"": {Out: true}}
	w.source.Set(&settings.Snapshot{Version: 2, Document: doc})
}

// A data centre that is out, and an agent that says that it leaves, get no new
// work though the platform's list still calls them live.
func TestNoNewWorkWhereItIsUnwanted(t *testing.T) {
	w := newWorld(t, nil)
	leaving := w.agent("generate-1")
	close(leaving.up.leaving)
	for w.eligible("generate-1") {
	}
	for i := range 20 {
		rec := w.post(t.Context(), ask{pipeline: "ask", body: fmt.Sprintf(`{"question":"%d"}`, i)})
		if rec.Code != http.StatusOK {
			t.Fatalf("%s", rec.Body)
		}
	}
	if n := leaving.total(); n != 0 {
		t.Errorf("the leaving agent got %d calls", n)
	}
	before := w.runs("encode")
	w.takeOut()
	p := decode[ProblemReport](t, w.post(t.Context(), ask{pipeline: "ask", body: question}))
	if p.Code != contract.CodeNoEndpoint || p.Run != contract.NotRun || w.runs("encode") != before {
		t.Errorf("data centre out: %+v", p.Problem)
	}
}

func (w *world) eligible(name string) bool {
	w.e.fleet.mu.RLock()
	defer w.e.fleet.mu.RUnlock()
	_, ok := w.e.fleet.byAddr[name].candidate("")
	return ok
}

// Results and chunks of another attempt reach nobody.
func TestCrossedResultsReachNobody(t *testing.T) {
	for kind, cross := range map[string]func(a *fakeAgent){
		"encode":   func(a *fakeAgent) { a.crossedResults = true },
		"generate": func(a *fakeAgent) { a.crossedChunks = true },
	} {
		w := newWorld(t, nil)
		w.each(kind, cross)
		rec := w.post(t.Context(), ask{pipeline: "ask", body: `{"question":"no hot water","stream":true}`})
		if p := decode[ProblemReport](t, rec); p.Code != contract.CodeEndpointFailed {
			t.Errorf("%s: %s", kind, rec.Body)
		}
	}
}

// A planned stop refuses new requests as not run and cuts no stream. goleak
// in TestMain finds what it leaves behind.
func TestShutdownCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, nil)
		gate := make(chan struct{})
		w.each("generate", func(a *fakeAgent) { a.gate = gate })
		var rec *httptest.ResponseRecorder
		var wg sync.WaitGroup
		wg.Go(func() {
			rec = w.post(t.Context(), ask{pipeline: "ask", body: `{"question":"no hot water","stream":true}`})
		})
		var stopped atomic.Bool
		wg.Go(func() {
			time.Sleep(time.Second)
			if err := w.e.Shutdown(context.Background()); err != nil {
				t.Error(err)
			}
			stopped.Store(true)
		})
		time.Sleep(5 * time.Second)
		p := decode[ProblemReport](t, w.post(t.Context(), ask{pipeline: "ask", body: question}))
		if p.Code != contract.CodeShuttingDown || p.Run != contract.NotRun || w.e.o.Readiness.Ready() {
			t.Errorf("during the stop: %+v", p.Problem)
		}
		if stopped.Load() {
			t.Error("the stop did not wait for the stream")
		}
		close(gate)
		wg.Wait()
		checkStream(t, rec, "no hot water")
	})
}

// Joined callers keep their own deadlines: the short one is told when its own
// passes, the long one gets the whole answer.
func TestJoinedCallersKeepTheirDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, nil)
		w.each("generate", func(a *fakeAgent) {
			a.work = func(ctx context.Context, p link.RunParams) link.RunResult {
				select {
				case <-ctx.Done():
					return failed(contract.MayHaveRun, "cancelled")
				case <-time.After(2 * time.Second):
					return fakeWork(ctx, p)
				}
			}
		})
		var wg sync.WaitGroup
		started := time.Now()
		wg.Go(func() {
			p := decode[ProblemReport](t, w.post(t.Context(), ask{pipeline: "ask", body: question, deadline: "1000"}))
			if p.Code != contract.CodeDeadlineExceeded || time.Since(started) != time.Second {
				t.Errorf("after %s: %+v", time.Since(started), p.Problem)
			}
		})
		synctest.Wait()
		wg.Go(func() {
			a := decode[Answer](t, w.post(t.Context(), ask{pipeline: "ask", body: question, deadline: "4000"}))
			if !a.Joined || !strings.Contains(a.Answer, "no hot water") {
				t.Errorf("joined answer: %+v", a)
			}
		})
		wg.Wait()
	})
}

// An answer that is cut at its deadline states the tokens that came, and the
// time since the first: work that was paid for, though it was of no use. So it
// does when the run goes on for a caller with a later deadline.
func TestCutAnswersStateTheirCost(t *testing.T) {
	for _, other := range []string{"", "4000"} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, nil)
			w.cut("generate", cutStalls)
			w.each("generate", func(a *fakeAgent) {
				a.work = func(context.Context, link.RunParams) link.RunResult {
					return link.RunResult{Run: contract.Ran, Output: pipeline.Output{Text: "one two three four five six"}}
				}
			})
			var wg sync.WaitGroup
			if other != "" {
				wg.Go(func() { w.post(t.Context(), ask{pipeline: "ask", body: question, deadline: other}) })
				synctest.Wait()
			}
			p := decode[ProblemReport](t, w.post(t.Context(), ask{pipeline: "ask", body: question, deadline: "1000"}))
			cost := totalUsage(p.Stages)
			if p.Code != contract.CodeDeadlineExceeded || cost.GeneratedTokens != 3 || cost.EndpointUS != time.Second.Microseconds() {
				t.Errorf("beside %q: %s with a cost of %+v, 3 tokens came", other, p.Code, cost)
			}
			wg.Wait()
		})
	}
}

// An entry was paused while its claim was on its way, and another one with the same
// key gave that claim up and made the booking: the caller gets the outcome, and is
// not told that nothing ran.
func TestClaimThatWasGivenUpIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, nil)
		w.claims.raced = true
		a := decode[Answer](t, w.post(t.Context(), ask{pipeline: "book", body: booking, key: "job-8"}))
		if len(a.Results) != 1 || !strings.Contains(string(a.Results[0].Body), "by another") {
			t.Errorf("answered %+v", a)
		}
		if n := w.runs("service"); n != 0 {
			t.Errorf("the booking ran %d times more", n)
		}
	})
}

// A caller whose deadline passes while the claim is asked for is not told "not
// run" when another caller with the same key still waits for the booking.
func TestNotRunStaysTrueForJoinedCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, nil)
		w.claims.slow = 2 * time.Second
		book := ask{pipeline: "book", body: booking, key: "job-7"}
		var recs [2]*httptest.ResponseRecorder
		var wg sync.WaitGroup
		for i, deadline := range []string{"1000", "4000"} {
			q := book
			q.deadline = deadline
			wg.Go(func() { recs[i] = w.post(t.Context(), q) })
			synctest.Wait()
		}
		wg.Wait()
		for _, rec := range recs {
			checkBooking(t, rec, w.runs("service"))
		}
		if recs[1].Code != http.StatusOK {
			t.Errorf("the second caller got %s", recs[1].Body)
		}
	})
}

// capacity limits how many calls an agent runs at once.
func capacity(limit int, service time.Duration) func(context.Context, link.RunParams) link.RunResult {
	slots := make(chan struct{}, limit)
	return func(ctx context.Context, p link.RunParams) link.RunResult {
		select {
		case slots <- struct{}{}:
		default:
			return link.RunResult{Run: contract.NotRun, Code: contract.CodeOverloaded}
		}
		time.Sleep(service)
		<-slots
		return fakeWork(ctx, p)
	}
}

// A large organisation that asks for several times the capacity does not push
// out a small one, which asks for less than its share.
func TestBurstLeavesTheSmallOrganisationItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, func(w *world, o *Options) { addOrganisation(w, "small") })
		w.each("generate", func(a *fakeAgent) { a.work = capacity(8, 100*time.Millisecond) })
		var wg sync.WaitGroup
		var mu sync.Mutex
		answered := map[string]int{}
		send := func(organisation string, n int, every time.Duration) {
			for i := range n {
				wg.Go(func() {
					rec := w.post(t.Context(), ask{pipeline: "ask", body: fmt.Sprintf(`{"question":"%s %d"}`, organisation, i), token: organisation, deadline: "1000"})
					mu.Lock()
					defer mu.Unlock()
					if rec.Code == http.StatusOK {
						answered[organisation]++
					}
				})
				time.Sleep(every)
			}
		}
		const large, small = 4000, 200
		wg.Go(func() { send(token, large, 2500*time.Microsecond) })
		wg.Go(func() { send("small", small, 50*time.Millisecond) })
		wg.Wait()
		t.Logf("answered: %v", answered)
		if answered["small"] < small*90/100 {
			t.Errorf("%d of the small one's %d requests were answered, %d of the large one's %d", answered["small"], small, answered[token], large)
		}
		if answered[token] < 900 {
			t.Errorf("the large one got only %d answers", answered[token])
		}
	})
}

func addOrganisation(w *world, token string) {
	sum := sha256.Sum256([]byte(token))
	w.doc.Organisations[token] = settings.Organisation{TokenSHA256: []string{hex.EncodeToString(sum[:])}}
}

// A hedge answers for an endpoint that hangs, and is paid from the budget.
func TestHedgeAnswersForASlowEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		on := true
		w := newWorld(t, func(w *world, o *Options) { w.doc.Request.Hedge = &on })
		for i := range 40 {
			w.post(t.Context(), ask{pipeline: "ask", body: fmt.Sprintf(`{"question":"%d"}`, i)})
		}
		time.Sleep(latencyRefresh)
		work := hangFirst()
		w.each("encode", func(a *fakeAgent) { a.work = work })
		started := time.Now()
		a := decode[Answer](t, w.post(t.Context(), ask{pipeline: "ask", body: question}))
		if len(a.Stages) != 2 || a.Stages[0].Hedges != 1 || time.Since(started) > time.Second {
			t.Errorf("after %s: %+v", time.Since(started), a.Stages)
		}
	})
}

// hangFirst hangs on the first call until that is cancelled.
func hangFirst() func(context.Context, link.RunParams) link.RunResult {
	var used atomic.Bool
	return func(ctx context.Context, p link.RunParams) link.RunResult {
		if used.CompareAndSwap(false, true) {
			<-ctx.Done()
			return failed(contract.MayHaveRun, "cancelled")
		}
		return fakeWork(ctx, p)
	}
}

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

// failingDirectory is a directory that can be made unavailable.
type failingDirectory struct {
	platform.Directory
	mu          sync.Mutex
	unavailable bool
}

func (d *failingDirectory) Instances(ctx context.Context) ([]platform.Instance, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		return nil, platform.Unavailable.New("lost")
	}
	return d.Directory.Instances(ctx)
}

// The platform is down for ten minutes, during which every link is cut as well. Only
// requests that need a claim are affected: they are refused as not run.
func TestLostPlatformChangesOnlyClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dir *failingDirectory
		h := newHarness(t, func(h *harness, o *Options) { dir = &failingDirectory{Directory: h}; o.Directory = dir })
		dir.mu.Lock()
		dir.unavailable = true
		dir.mu.Unlock()
		h.claims.down = true
		for i := range 60 {
			time.Sleep(10 * time.Second)
			if i == 30 {
				h.unreachable.Store(true)
				for _, a := range h.agents {
					_ = a.currentLink.Close()
				}
				time.Sleep(20 * time.Second)
				h.unreachable.Store(false)
				time.Sleep(redialMaxDelay * 2)
			}
			if rec := h.post(t.Context(), testRequest{pipeline: "ask", body: question}); rec.Code != http.StatusOK {
				t.Fatalf("round %d: %s", i, rec.Body)
			}
			p := decode[ProblemReport](t, h.post(t.Context(), testRequest{pipeline: "book", body: booking, key: fmt.Sprint(i)}))
			if p.Code != contract.CodeClaimUnavailable || p.Run != contract.NotRun {
				t.Fatalf("booking: %+v", p.Problem)
			}
		}
		if n := h.runs("service"); n != 0 {
			t.Errorf("%d bookings ran", n)
		}
	})
}

// An entry that starts while the platform is down serves with its seed agents once they
// answer.
func TestStartsFromSeedAgentsWithoutThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(h *harness, o *Options) {
			o.Directory = &failingDirectory{Directory: h, unavailable: true}
			o.SeedAgents = []string{"encode-1", "generate-2"}
			h.unreachable.Store(true)
			time.AfterFunc(time.Minute, func() { h.unreachable.Store(false) })
		})
		if rec := h.post(t.Context(), testRequest{pipeline: "ask", body: question}); rec.Code != http.StatusOK {
			t.Fatalf("answered %s", rec.Body)
		}
	})
}

// Refusals do not wait: by the virtual clock no time passes between the last result and
// the refusal.
func TestRefusalsAreAnsweredAtOnce(t *testing.T) {
	busy := func(context.Context, link.RunParams) link.RunResult {
		return link.RunResult{Run: contract.NotRun, Code: contract.CodeOverloaded}
	}
	broken := func(context.Context, link.RunParams) link.RunResult {
		return failedResult(contract.Ran, "out of order")
	}
	for name, c := range map[string]struct {
		set  func(h *harness)
		req  testRequest
		want contract.Code
	}{
		"busy":   {func(h *harness) { h.updateAgents("generate", func(a *fakeAgent) { a.work = busy }) }, testRequest{pipeline: "ask", body: question}, contract.CodeOverloaded},
		"broken": {func(h *harness) { h.updateAgents("generate", func(a *fakeAgent) { a.work = broken }) }, testRequest{pipeline: "ask", body: question}, contract.CodeEndpointFailed},
		"out":    {func(h *harness) { h.takeDataCentreOut() }, testRequest{pipeline: "ask", body: question}, contract.CodeNoEndpoint},
		"claims": {func(h *harness) { h.claims.down = true }, testRequest{pipeline: "book", body: booking, key: "k"}, contract.CodeClaimUnavailable},
		"late": {func(h *harness) {
			for range 20 {
				h.e.latencies.estimator(stageKey{"ask", "encode", 0}, time.Now()).Record(time.Now(), time.Minute)
			}
			h.e.latencies.allowProbe("ask", time.Now())
		}, testRequest{pipeline: "ask", body: question}, contract.CodeDeadlineTooShort},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				c.set(h)
				started := time.Now()
				rec := h.post(t.Context(), c.req)
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

// If every link of a pool was lost a moment ago, a request waits for one, since a redial
// takes milliseconds. If the links stay down, requests are refused at once.
func TestBrokenLinksAreWaitedForBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		h.unreachable.Store(true)
		for _, a := range h.agents {
			_ = a.currentLink.Close()
		}
		synctest.Wait()
		time.AfterFunc(100*time.Millisecond, func() { h.unreachable.Store(false) })
		if rec := h.post(t.Context(), testRequest{pipeline: "ask", body: question}); rec.Code != http.StatusOK {
			t.Errorf("request while links were redialled: %s", rec.Body)
		}
		h.unreachable.Store(true)
		for _, a := range h.agents {
			_ = a.currentLink.Close()
		}
		time.Sleep(DefaultRecoveryTimeout)
		started := time.Now()
		p := decode[ProblemReport](t, h.post(t.Context(), testRequest{pipeline: "ask", body: question}))
		if p.Code != contract.CodeNoEndpoint || p.Run != contract.NotRun || time.Since(started) != 0 {
			t.Errorf("after %s: %+v", time.Since(started), p.Problem)
		}
	})
}

func (h *harness) takeDataCentreOut() {
	doc := h.doc
	doc.DataCentres = map[string]settings.DataCentre{"": {Out: true}}
	h.source.Set(&settings.Snapshot{Version: 2, Document: doc})
}

// A data centre that is taken out, and an agent that announces that it leaves, get no new
// work although the instance list still lists them as live.
func TestNoNewWorkWhereItIsUnwanted(t *testing.T) {
	h := newHarness(t, nil)
	leaving := h.agent("generate-1")
	close(leaving.currentLink.leaving)
	for h.eligible("generate-1") {
	}
	for i := range 20 {
		rec := h.post(t.Context(), testRequest{pipeline: "ask", body: fmt.Sprintf(`{"question":"%d"}`, i)})
		if rec.Code != http.StatusOK {
			t.Fatalf("%s", rec.Body)
		}
	}
	if n := leaving.totalRuns(); n != 0 {
		t.Errorf("the leaving agent got %d calls", n)
	}
	before := h.runs("encode")
	h.takeDataCentreOut()
	p := decode[ProblemReport](t, h.post(t.Context(), testRequest{pipeline: "ask", body: question}))
	if p.Code != contract.CodeNoEndpoint || p.Run != contract.NotRun || h.runs("encode") != before {
		t.Errorf("data centre out: %+v", p.Problem)
	}
}

func (h *harness) eligible(name string) bool {
	h.e.fleet.mu.RLock()
	defer h.e.fleet.mu.RUnlock()
	_, ok := h.e.fleet.byAddr[name].candidate("")
	return ok
}

// Results and chunks that belong to another attempt reach no caller.
func TestCrossedResultsReachNobody(t *testing.T) {
	for kind, cross := range map[string]func(a *fakeAgent){
		"encode":   func(a *fakeAgent) { a.crossedResults = true },
		"generate": func(a *fakeAgent) { a.crossedChunks = true },
	} {
		h := newHarness(t, nil)
		h.updateAgents(kind, cross)
		rec := h.post(t.Context(), testRequest{pipeline: "ask", body: `{"question":"no hot water","stream":true}`})
		if p := decode[ProblemReport](t, rec); p.Code != contract.CodeEndpointFailed {
			t.Errorf("%s: %s", kind, rec.Body)
		}
	}
}

// A planned stop refuses new requests as not run and cuts no stream. goleak in TestMain
// detects leaked goroutines.
func TestShutdownCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		gate := make(chan struct{})
		h.updateAgents("generate", func(a *fakeAgent) { a.gate = gate })
		var rec *httptest.ResponseRecorder
		var wg sync.WaitGroup
		wg.Go(func() {
			rec = h.post(t.Context(), testRequest{pipeline: "ask", body: `{"question":"no hot water","stream":true}`})
		})
		var stopped atomic.Bool
		wg.Go(func() {
			time.Sleep(time.Second)
			if err := h.e.Shutdown(context.Background()); err != nil {
				t.Error(err)
			}
			stopped.Store(true)
		})
		time.Sleep(5 * time.Second)
		p := decode[ProblemReport](t, h.post(t.Context(), testRequest{pipeline: "ask", body: question}))
		if p.Code != contract.CodeShuttingDown || p.Run != contract.NotRun || h.e.o.Readiness.Ready() {
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

// Callers of one run keep their own deadlines: the caller with the shorter one gets a
// problem when it passes, the other one gets the complete answer.
func TestJoinedCallersKeepTheirDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		h.updateAgents("generate", func(a *fakeAgent) {
			a.work = func(ctx context.Context, p link.RunParams) link.RunResult {
				select {
				case <-ctx.Done():
					return failedResult(contract.MayHaveRun, "cancelled")
				case <-time.After(2 * time.Second):
					return fakeWork(ctx, p)
				}
			}
		})
		var wg sync.WaitGroup
		started := time.Now()
		wg.Go(func() {
			p := decode[ProblemReport](t, h.post(t.Context(), testRequest{pipeline: "ask", body: question, deadline: "1000"}))
			if p.Code != contract.CodeDeadlineExceeded || time.Since(started) != time.Second {
				t.Errorf("after %s: %+v", time.Since(started), p.Problem)
			}
		})
		synctest.Wait()
		wg.Go(func() {
			a := decode[Answer](t, h.post(t.Context(), testRequest{pipeline: "ask", body: question, deadline: "4000"}))
			if !a.Joined || !strings.Contains(a.Answer, "no hot water") {
				t.Errorf("joined answer: %+v", a)
			}
		})
		wg.Wait()
	})
}

// An answer that is cut at its deadline reports the tokens that arrived and the time since
// the first, because this work has been paid for. It does so too if the run continues for
// a caller with a later deadline.
func TestCutAnswersReportUsage(t *testing.T) {
	for _, other := range []string{"", "4000"} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, nil)
			h.injectFaults("generate", stallMidway)
			h.updateAgents("generate", func(a *fakeAgent) {
				a.work = func(context.Context, link.RunParams) link.RunResult {
					return link.RunResult{Run: contract.Ran, Output: pipeline.Output{Text: "one two three four five six"}}
				}
			})
			var wg sync.WaitGroup
			if other != "" {
				wg.Go(func() { h.post(t.Context(), testRequest{pipeline: "ask", body: question, deadline: other}) })
				synctest.Wait()
			}
			p := decode[ProblemReport](t, h.post(t.Context(), testRequest{pipeline: "ask", body: question, deadline: "1000"}))
			cost := totalUsage(p.Stages)
			if p.Code != contract.CodeDeadlineExceeded || cost.GeneratedTokens != 3 || cost.EndpointUS != time.Second.Microseconds() {
				t.Errorf("with another deadline of %q: code %s, usage %+v, want 3 generated tokens", other, p.Code, cost)
			}
			wg.Wait()
		})
	}
}

// The entry is paused while its claim is in transit. Another entry with the same key gives
// that claim up and makes the booking. The caller must get the outcome of that booking,
// and must not be told that nothing ran.
func TestClaimThatWasGivenUpIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		h.claims.lostRace = true
		a := decode[Answer](t, h.post(t.Context(), testRequest{pipeline: "book", body: booking, key: "job-8"}))
		if len(a.Results) != 1 || !strings.Contains(string(a.Results[0].Body), "by another") {
			t.Errorf("answered %+v", a)
		}
		if n := h.runs("service"); n != 0 {
			t.Errorf("the booking ran %d more times", n)
		}
	})
}

// A caller whose deadline passes while the claim is being acquired must not be told "not
// run" if another caller with the same key still waits for the booking.
func TestNotRunStaysTrueForJoinedCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		h.claims.acquireDelay = 2 * time.Second
		book := testRequest{pipeline: "book", body: booking, key: "job-7"}
		var recs [2]*httptest.ResponseRecorder
		var wg sync.WaitGroup
		for i, deadline := range []string{"1000", "4000"} {
			req := book
			req.deadline = deadline
			wg.Go(func() { recs[i] = h.post(t.Context(), req) })
			synctest.Wait()
		}
		wg.Wait()
		for _, rec := range recs {
			checkBooking(t, rec, h.runs("service"))
		}
		if recs[1].Code != http.StatusOK {
			t.Errorf("the second caller got %s", recs[1].Body)
		}
	})
}

// limitedCapacity returns work that refuses calls above limit concurrent ones.
func limitedCapacity(limit int, service time.Duration) func(context.Context, link.RunParams) link.RunResult {
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

// A large organisation that sends several times the capacity does not displace a small one
// that uses less than its share.
func TestBurstLeavesTheSmallOrganisationItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(h *harness, o *Options) { addOrganisation(h, "small") })
		h.updateAgents("generate", func(a *fakeAgent) { a.work = limitedCapacity(8, 100*time.Millisecond) })
		var wg sync.WaitGroup
		var mu sync.Mutex
		answered := map[string]int{}
		send := func(organisation string, n int, interval time.Duration) {
			for i := range n {
				wg.Go(func() {
					rec := h.post(t.Context(), testRequest{pipeline: "ask", body: fmt.Sprintf(`{"question":"%s %d"}`, organisation, i), token: organisation, deadline: "1000"})
					mu.Lock()
					defer mu.Unlock()
					if rec.Code == http.StatusOK {
						answered[organisation]++
					}
				})
				time.Sleep(interval)
			}
		}
		const large, small = 4000, 200
		wg.Go(func() { send(token, large, 2500*time.Microsecond) })
		wg.Go(func() { send("small", small, 50*time.Millisecond) })
		wg.Wait()
		t.Logf("answered: %v", answered)
		if answered["small"] < small*90/100 {
			t.Errorf("%d of %d requests of the small organisation were answered, %d of %d of the large one", answered["small"], small, answered[token], large)
		}
		if answered[token] < 900 {
			t.Errorf("the large organisation got only %d answers", answered[token])
		}
	})
}

func addOrganisation(h *harness, token string) {
	sum := sha256.Sum256([]byte(token))
	h.doc.Organisations[token] = settings.Organisation{TokenSHA256: []string{hex.EncodeToString(sum[:])}}
}

// A hedge answers in place of an endpoint that hangs, and is charged to the retry budget.
func TestHedgeAnswersForASlowEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hedge := true
		h := newHarness(t, func(h *harness, o *Options) { h.doc.Request.Hedge = &hedge })
		for i := range 40 {
			h.post(t.Context(), testRequest{pipeline: "ask", body: fmt.Sprintf(`{"question":"%d"}`, i)})
		}
		time.Sleep(latencyMergeInterval)
		work := hangFirst()
		h.updateAgents("encode", func(a *fakeAgent) { a.work = work })
		started := time.Now()
		a := decode[Answer](t, h.post(t.Context(), testRequest{pipeline: "ask", body: question}))
		if len(a.Stages) != 2 || a.Stages[0].Hedges != 1 || time.Since(started) > time.Second {
			t.Errorf("after %s: %+v", time.Since(started), a.Stages)
		}
	})
}

// hangFirst returns work that hangs on its first call until that is cancelled.
func hangFirst() func(context.Context, link.RunParams) link.RunResult {
	var used atomic.Bool
	return func(ctx context.Context, p link.RunParams) link.RunResult {
		if used.CompareAndSwap(false, true) {
			<-ctx.Done()
			return failedResult(contract.MayHaveRun, "cancelled")
		}
		return fakeWork(ctx, p)
	}
}

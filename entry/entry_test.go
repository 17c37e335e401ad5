package entry

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	goleak.VerifyTestMain(m)
}

const question = `{"question":"no hot water"}`

// Malformed requests are refused with the right code, and nothing runs.
func TestMalformedInputRunsNothing(t *testing.T) {
	h := newHarness(t, nil)
	long := `{"question":"` + strings.Repeat("x", 1<<20) + `"}`
	for name, c := range map[string]struct {
		req  testRequest
		want contract.Code
	}{
		"bad JSON":         {testRequest{pipeline: "ask", body: `{"question":`}, contract.CodeBadRequest},
		"unknown member":   {testRequest{pipeline: "ask", body: `{"question":"q","colour":1}`}, contract.CodeBadRequest},
		"two values":       {testRequest{pipeline: "ask", body: question + question}, contract.CodeBadRequest},
		"no question":      {testRequest{pipeline: "ask", body: `{}`}, contract.CodeBadRequest},
		"wrong token":      {testRequest{pipeline: "ask", body: question, token: "other"}, contract.CodeUnauthenticated},
		"unknown pipeline": {testRequest{pipeline: "none", body: question}, contract.CodeUnknownPipeline},
		"oversized":        {testRequest{pipeline: "ask", body: long}, contract.CodeBodyTooLarge},
		"no deadline":      {testRequest{pipeline: "ask", body: question, deadline: "none"}, contract.CodeDeadlineRequired},
		"zero deadline":    {testRequest{pipeline: "ask", body: question, deadline: "0"}, contract.CodeBadDeadline},
		"long deadline":    {testRequest{pipeline: "ask", body: question, deadline: "31000"}, contract.CodeBadDeadline},
		"no key":           {testRequest{pipeline: "book", body: `{"action":{}}`}, contract.CodeKeyRequired},
		"bad key":          {testRequest{pipeline: "book", body: `{"action":{}}`, key: "a b"}, contract.CodeBadKey},
		"long key":         {testRequest{pipeline: "book", body: `{"action":{}}`, key: strings.Repeat("k", 129)}, contract.CodeBadKey},
	} {
		rec := h.post(t.Context(), c.req)
		p := decode[ProblemReport](t, rec)
		if p.Code != c.want || p.Run != contract.NotRun || rec.Header().Get("Content-Type") != "application/problem+json" {
			t.Errorf("%s: got code %s, run %s, want %s", name, p.Code, p.Run, c.want)
		}
	}
	for _, a := range h.agents {
		if n := a.totalRuns(); n != 0 {
			t.Errorf("%s ran %d calls", a.instance.Name, n)
		}
	}
}

// A generate call whose link is cut at any point is answered completely, with each
// token once. It runs once.
func TestCutLinkIsResumed(t *testing.T) {
	for _, c := range []linkFault{noFault, cutBeforeArrival, cutMidway, cutAfterRun, cutUnsent, cutThenUnsentSettle} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			h := newHarness(t, nil)
			h.injectFaults("generate", c)
			rec := h.post(t.Context(), testRequest{pipeline: "ask", body: `{"question":"no hot water","stream":true}`})
			checkStream(t, rec, "no hot water")
			if n := h.runs("generate"); n != 1 {
				t.Errorf("the endpoints ran %d calls", n)
			}
		})
	}
}

// A stream is recovered over any number of links as long as each brings more of it. It
// is also recovered if, after a cut, the next link falls silent before the attempt was
// settled on it.
func TestStreamFollowsManyLinks(t *testing.T) {
	for _, c := range []linkFault{cutThenSilentLink, cutRepeatedly} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				h.injectFaults("generate", c)
				rec := h.post(t.Context(), testRequest{pipeline: "ask", body: `{"question":"no hot water in the flat above the shop","stream":true}`})
				checkStream(t, rec, "no hot water in the flat above the shop")
				if n := h.runs("generate"); n != 1 {
					t.Errorf("the endpoints ran %d calls", n)
				}
			})
		})
	}
}

func checkStream(t *testing.T, rec *httptest.ResponseRecorder, want string) {
	t.Helper()
	body := rec.Body.String()
	var tokens []string
	for i, event := range strings.Split(strings.TrimSpace(body), "\n\n") {
		if strings.Contains(event, "event: done") {
			if !strings.Contains(event, fmt.Sprintf(`"count":%d,"digest":"%s"`, len(tokens), tokensDigest(tokens))) {
				t.Errorf("closing event does not match the tokens: %s", event)
			}
			continue
		}
		var n int
		if _, err := fmt.Sscanf(event, "id: %d", &n); err != nil || n != i {
			t.Fatalf("event %d is %q", i, event)
		}
		_, text, _ := strings.Cut(event, `"text":"`)
		tokens = append(tokens, strings.NewReplacer(`\n`, "\n").Replace(strings.TrimSuffix(text, `"}`)))
	}
	if !strings.Contains(strings.Join(tokens, ""), want) || !strings.Contains(body, "event: done") {
		t.Fatalf("incomplete answer: %s", body)
	}
}

// An answer whose digest does not match is reported as a failure.
func TestDamagedAnswerIsAFailure(t *testing.T) {
	h := newHarness(t, nil)
	h.updateAgents("generate", func(a *fakeAgent) {
		a.work = func(ctx context.Context, p link.RunParams) link.RunResult {
			res := fakeWork(ctx, p)
			res.Digest = tokensDigest([]string{"another answer"})
			return res
		}
	})
	p := decode[ProblemReport](t, h.post(t.Context(), testRequest{pipeline: "ask", body: question}))
	if p.Code != contract.CodeEndpointFailed {
		t.Fatalf("got %s", p.Code)
	}
}

const booking = `{"action":{"visit":"tomorrow"}}`

// A booking runs at most once over all repeats, wherever its link is cut, and the run
// state of each answer is true.
func TestBookingRunsAtMostOnce(t *testing.T) {
	for _, c := range []linkFault{noFault, cutBeforeArrival, cutAfterRun, cutUnsent, cutThenUnsentSettle, cutThenUnsentSettles, cutThenRestart} {
		for _, lostFinish := range []bool{false, true} {
			t.Run(fmt.Sprintf("fault %d, finish fails %t", c, lostFinish), func(t *testing.T) {
				h := newHarness(t, nil)
				h.claims.finishFails = lostFinish
				h.injectFaults("service", c)
				for range 3 {
					rec := h.post(t.Context(), testRequest{pipeline: "book", body: booking, key: "job-7"})
					checkBooking(t, rec, h.runs("service"))
				}
			})
		}
	}
}

func checkBooking(t *testing.T, rec *httptest.ResponseRecorder, runs int) {
	t.Helper()
	if runs > 1 {
		t.Fatalf("the booking ran %d times", runs)
	}
	state := decode[struct {
		Run contract.RunState `json:"run"`
	}](t, rec).Run
	if state == contract.NotRun && runs != 0 || state == contract.Ran && runs != 1 {
		t.Fatalf("answer says %s, the booking ran %d times", state, runs)
	}
	if rec.Code == http.StatusOK && state != contract.Ran {
		t.Fatalf("status 200 with run state %s", state)
	}
}

// If a holder disappears after its claim, another request can still make the booking once
// the holder's agents prove that the call never ran. The holder's late call is refused.
func TestVanishedHolderIsSettled(t *testing.T) {
	h := newHarness(t, nil)
	boot := h.agent("service-1").boot
	held := claim.Request{
		Organisation: "org", Key: "job-7/book", Attempt: "lost",
		Fingerprint: requestDigest("org", "book", Body{Action: []byte(`{"visit":"tomorrow"}`)}) + "/book",
		Candidates:  []claim.Candidate{{Agent: "service-1", Addr: "service-1", Boot: boot}},
	}
	h.claims.held["orgjob-7/book"] = held
	rec := h.post(t.Context(), testRequest{pipeline: "book", body: booking, key: "job-7"})
	checkBooking(t, rec, h.runs("service"))
	if rec.Code != http.StatusOK {
		t.Fatalf("not answered: %s", rec.Body)
	}
	late, _ := h.agent("service-1").run(t.Context(), link.RunParams{Attempt: "lost", AgentBoot: boot, Stage: "book"})
	if late.Run != contract.NotRun || h.runs("service") != 1 {
		t.Fatalf("the late call was not refused: %+v, %d runs", late, h.runs("service"))
	}
}

// If a later stage fails, the answer still states that the booking ran.
func TestFailureAfterBookingSaysRan(t *testing.T) {
	h := newHarness(t, nil)
	h.updateAgents("generate", func(a *fakeAgent) {
		a.work = func(context.Context, link.RunParams) link.RunResult {
			return failedResult(contract.NotRun, "out of order")
		}
	})
	rec := h.post(t.Context(), testRequest{pipeline: "tell", body: `{"question":"q","action":{}}`, key: "job-8"})
	if p := decode[ProblemReport](t, rec); p.Run != contract.Ran || p.Stage != "generate" {
		t.Fatalf("got %+v", p.Problem)
	}
}

// While the claim store is down, bookings are refused as not run and questions are answered.
func TestStoreDownRefusesOnlyBookings(t *testing.T) {
	h := newHarness(t, nil)
	h.claims.down = true
	p := decode[ProblemReport](t, h.post(t.Context(), testRequest{pipeline: "book", body: booking, key: "job-9"}))
	if p.Code != contract.CodeClaimUnavailable || p.Run != contract.NotRun || p.RetryAfterMS == 0 || h.runs("service") != 0 {
		t.Errorf("booking: %+v", p.Problem)
	}
	if rec := h.post(t.Context(), testRequest{pipeline: "ask", body: question}); rec.Code != http.StatusOK {
		t.Errorf("question: %s", rec.Body)
	}
}

// Callers with the same question share one run. It continues if one of them leaves.
func TestSameQuestionIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		gate := make(chan struct{})
		h.updateAgents("generate", func(a *fakeAgent) { a.gate = gate })
		leaver, leave := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		answers := make([]*httptest.ResponseRecorder, 3)
		for i, ctx := range []context.Context{leaver, t.Context(), t.Context()} {
			wg.Go(func() { answers[i] = h.post(ctx, testRequest{pipeline: "ask", body: question}) })
			synctest.Wait()
		}
		leave()
		synctest.Wait()
		if n := h.waiters(); n != 2 {
			t.Errorf("%d callers are waiting, want 2", n)
		}
		close(gate)
		wg.Wait()
		for _, rec := range answers[1:] {
			if a := decode[Answer](t, rec); !strings.Contains(a.Answer, "no hot water") || a.Count == 0 {
				t.Errorf("incomplete answer: %s", rec.Body)
			}
		}
		if n := h.runs("generate"); n != 1 {
			t.Errorf("%d runs", n)
		}
	})
}

// waiters returns the number of callers of all flights.
func (h *harness) waiters() int {
	h.e.flights.mu.Lock()
	defer h.e.flights.mu.Unlock()
	n := 0
	for _, f := range h.e.flights.byKey {
		f.mu.Lock()
		n += f.waiters
		f.mu.Unlock()
	}
	return n
}

// If a stage fails for all requests, retries stay within a tenth of the first attempts.
func TestNoRetryStorm(t *testing.T) {
	h := newHarness(t, nil)
	h.updateAgents("generate", func(a *fakeAgent) {
		a.work = func(context.Context, link.RunParams) link.RunResult {
			return failedResult(contract.Ran, "out of order")
		}
	})
	const requests = 200
	for i := range requests {
		p := decode[ProblemReport](t, h.post(t.Context(), testRequest{pipeline: "ask", body: fmt.Sprintf(`{"question":"%d"}`, i)}))
		if p.Code != contract.CodeEndpointFailed || p.RetryAfterMS == 0 {
			t.Fatalf("got %+v", p.Problem)
		}
	}
	if n := h.runs("generate"); n < requests || n > requests+requests/10 {
		t.Errorf("%d attempts for %d requests", n, requests)
	}
}

// An agent that cannot be reached for longer than the recovery time-out may still run the attempt.
// The attempt must be followed for as long as nothing else could answer: its answer was delivered in
// part, it may not be repeated, or no other endpoint is there.
func TestUnreachableAgentKeepsItsAttempt(t *testing.T) {
	const outage = 6 * DefaultRecoveryTimeout
	cases := []struct {
		name, pool string
		fault      linkFault
		request    testRequest
	}{
		{"part of a stream was delivered", "generate", cutMidway, testRequest{pipeline: "ask", body: `{"question":"no hot water","stream":true}`}},
		{"a booking may not be repeated", "service", cutAfterRun, testRequest{pipeline: "book", body: `{"action":{"reference":"job"}}`, key: "k"}},
		{"no other endpoint is there", "encode", cutAfterRun, testRequest{pipeline: "ask", body: question}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				if c.pool == "encode" {
					_ = h.agent("encode-2").currentLink.Close()
					h.downAgents.Store("encode-2", true)
					synctest.Wait()
				}
				h.injectFaults(c.pool, c.fault)
				h.updateAgents(c.pool, func(a *fakeAgent) {
					work := a.work
					a.work = func(ctx context.Context, p link.RunParams) link.RunResult {
						h.unreachable.Store(true)
						time.AfterFunc(outage, func() { h.unreachable.Store(false) })
						return work(ctx, p)
					}
				})
				rec := h.post(t.Context(), c.request)
				if rec.Code != http.StatusOK {
					t.Errorf("status %d: %s", rec.Code, rec.Body)
				}
				if c.pool == "generate" {
					checkStream(t, rec, "no hot water")
				}
				if n := h.runs(c.pool); n != 1 {
					t.Errorf("the endpoints ran %d calls, want 1", n)
				}
			})
		})
	}
}

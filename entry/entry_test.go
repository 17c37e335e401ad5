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

// Every malformed input gets its code, and nothing runs.
func TestMalformedInputRunsNothing(t *testing.T) {
	w := newWorld(t, nil)
	long := `{"question":"` + strings.Repeat("x", 1<<20) + `"}`
	for name, c := range map[string]struct {
		q    ask
		want contract.Code
	}{
		"bad JSON":         {ask{pipeline: "ask", body: `{"question":`}, contract.CodeBadRequest},
		"unknown member":   {ask{pipeline: "ask", body: `{"question":"q","colour":1}`}, contract.CodeBadRequest},
		"two values":       {ask{pipeline: "ask", body: question + question}, contract.CodeBadRequest},
		"no question":      {ask{pipeline: "ask", body: `{}`}, contract.CodeBadRequest},
		"wrong token":      {ask{pipeline: "ask", body: question, token: "other"}, contract.CodeUnauthenticated},
		"unknown pipeline": {ask{pipeline: "none", body: question}, contract.CodeUnknownPipeline},
		"oversized":        {ask{pipeline: "ask", body: long}, contract.CodeBodyTooLarge},
		"no deadline":      {ask{pipeline: "ask", body: question, deadline: "none"}, contract.CodeDeadlineRequired},
		"zero deadline":    {ask{pipeline: "ask", body: question, deadline: "0"}, contract.CodeBadDeadline},
		"long deadline":    {ask{pipeline: "ask", body: question, deadline: "31000"}, contract.CodeBadDeadline},
		"no key":           {ask{pipeline: "book", body: `{"action":{}}`}, contract.CodeKeyRequired},
		"bad key":          {ask{pipeline: "book", body: `{"action":{}}`, key: "a b"}, contract.CodeBadKey},
		"long key":         {ask{pipeline: "book", body: `{"action":{}}`, key: strings.Repeat("k", 129)}, contract.CodeBadKey},
	} {
		rec := w.post(t.Context(), c.q)
		p := decode[ProblemReport](t, rec)
		if p.Code != c.want || p.Run != contract.NotRun || rec.Header().Get("Content-Type") != "application/problem+json" {
			t.Errorf("%s: got code %s, run %s, want %s", name, p.Code, p.Run, c.want)
		}
	}
	for _, a := range w.agents {
		if n := a.total(); n != 0 {
			t.Errorf("%s ran %d calls", a.in.Name, n)
		}
	}
}

// A generate call whose link is cut at any point is answered whole, with each
// token once, and runs once unless it surely never arrived.
func TestCutLinkIsResumed(t *testing.T) {
	for _, c := range []cut{cutNone, cutBefore, cutMidway, cutAfter, cutUnsent, cutSettles} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			w := newWorld(t, nil)
			w.cut("generate", c)
			rec := w.post(t.Context(), ask{pipeline: "ask", body: `{"question":"no hot water","stream":true}`})
			checkStream(t, rec, "no hot water")
			if n := w.runs("generate"); n != 1 {
				t.Errorf("the endpoints ran %d calls", n)
			}
		})
	}
}

// A stream is followed to the next link as long as each link that it was
// followed to brought some of it, and while the link that it was followed to is
// not known to be silent: after a series of cuts, links fall silent before
// they could be asked.
func TestStreamFollowsManyLinks(t *testing.T) {
	for _, c := range []cut{cutDeafens, cutOften} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, nil)
				w.cut("generate", c)
				rec := w.post(t.Context(), ask{pipeline: "ask", body: `{"question":"no hot water in the flat above the shop","stream":true}`})
				checkStream(t, rec, "no hot water in the flat above the shop")
				if n := w.runs("generate"); n != 1 {
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
			if !strings.Contains(event, fmt.Sprintf(`"count":%d,"digest":"%s"`, len(tokens), digestOf(tokens))) {
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
		t.Fatalf("answer is not whole: %s", body)
	}
}

// An answer whose digest does not match is a failure, never an answer.
func TestDamagedAnswerIsAFailure(t *testing.T) {
	w := newWorld(t, nil)
	w.each("generate", func(a *fakeAgent) {
		a.work = func(ctx context.Context, p link.RunParams) link.RunResult {
			res := fakeWork(ctx, p)
			res.Digest = digestOf([]string{"another answer"})
			return res
		}
	})
	p := decode[ProblemReport](t, w.post(t.Context(), ask{pipeline: "ask", body: question}))
	if p.Code != contract.CodeEndpointFailed {
		t.Fatalf("got %s", p.Code)
	}
}

const booking = `{"action":{"visit":"tomorrow"}}`

// However the link of a booking is cut, it runs at most once over all repeats,
// and each answer's run state is true.
func TestBookingRunsAtMostOnce(t *testing.T) {
	for _, c := range []cut{cutNone, cutBefore, cutAfter, cutUnsent, cutSettles, cutMutes, cutReboots} {
		for _, lostFinish := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d finish lost %t", c, lostFinish), func(t *testing.T) {
				w := newWorld(t, nil)
				w.claims.noFinish = lostFinish
				w.cut("service", c)
				for range 3 {
					rec := w.post(t.Context(), ask{pipeline: "book", body: booking, key: "job-7"})
					checkBooking(t, rec, w.runs("service"))
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
		t.Fatalf("answered with %s", state)
	}
}

// A holder that vanished after its claim blocks nobody whose agents can prove
// that the call never ran, and the holder's late call is refused.
func TestVanishedHolderIsSettled(t *testing.T) {
	w := newWorld(t, nil)
	boot := w.agent("service-1").boot
	held := claim.Request{
		Organisation: "org", Key: "job-7/book", Attempt: "lost",
		Fingerprint: requestDigest("org", "book", Body{Action: []byte(`{"visit":"tomorrow"}`)}) + "/book",
		Candidates:  []claim.Candidate{{Agent: "service-1", Addr: "service-1", Boot: boot}},
	}
	w.claims.held["orgjob-7/book"] = held
	rec := w.post(t.Context(), ask{pipeline: "book", body: booking, key: "job-7"})
	checkBooking(t, rec, w.runs("service"))
	if rec.Code != http.StatusOK {
		t.Fatalf("not answered: %s", rec.Body)
	}
	late, _ := w.agent("service-1").run(t.Context(), link.RunParams{Attempt: "lost", AgentBoot: boot, Stage: "book"})
	if late.Run != contract.NotRun || w.runs("service") != 1 {
		t.Fatalf("the late call: %+v, %d runs", late, w.runs("service"))
	}
}

// A later stage that fails does not hide that the booking ran.
func TestFailureAfterBookingSaysRan(t *testing.T) {
	w := newWorld(t, nil)
	w.each("generate", func(a *fakeAgent) {
		a.work = func(context.Context, link.RunParams) link.RunResult { return failed(contract.NotRun, "out of order") }
	})
	rec := w.post(t.Context(), ask{pipeline: "tell", body: `{"question":"q","action":{}}`, key: "job-8"})
	if p := decode[ProblemReport](t, rec); p.Run != contract.Ran || p.Stage != "generate" {
		t.Fatalf("got %+v", p.Problem)
	}
}

// With the claim store down, bookings are refused as not run; questions go on.
func TestStoreDownRefusesOnlyBookings(t *testing.T) {
	w := newWorld(t, nil)
	w.claims.down = true
	p := decode[ProblemReport](t, w.post(t.Context(), ask{pipeline: "book", body: booking, key: "job-9"}))
	if p.Code != contract.CodeClaimUnavailable || p.Run != contract.NotRun || p.RetryAfterMS == 0 || w.runs("service") != 0 {
		t.Errorf("booking: %+v", p.Problem)
	}
	if rec := w.post(t.Context(), ask{pipeline: "ask", body: question}); rec.Code != http.StatusOK {
		t.Errorf("question: %s", rec.Body)
	}
}

// Callers of the same question share one run. One that leaves stops nothing.
func TestSameQuestionIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, nil)
		gate := make(chan struct{})
		w.each("generate", func(a *fakeAgent) { a.gate = gate })
		leaver, leave := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		answers := make([]*httptest.ResponseRecorder, 3)
		for i, ctx := range []context.Context{leaver, t.Context(), t.Context()} {
			wg.Go(func() { answers[i] = w.post(ctx, ask{pipeline: "ask", body: question}) })
			synctest.Wait()
		}
		leave()
		synctest.Wait()
		if n := w.waiters(); n != 2 {
			t.Errorf("%d callers wait", n)
		}
		close(gate)
		wg.Wait()
		for _, rec := range answers[1:] {
			if a := decode[Answer](t, rec); !strings.Contains(a.Answer, "no hot water") || a.Count == 0 {
				t.Errorf("not whole: %s", rec.Body)
			}
		}
		if n := w.runs("generate"); n != 1 {
			t.Errorf("%d runs", n)
		}
	})
}

// waiters counts the callers of the only flight.
func (w *world) waiters() int {
	w.e.flights.mu.Lock()
	defer w.e.flights.mu.Unlock()
	n := 0
	for _, f := range w.e.flights.byKey {
		f.mu.Lock()
		n += f.waiters
		f.mu.Unlock()
	}
	return n
}

// When a stage fails for all, retries stay within a tenth of first attempts.
func TestNoRetryStorm(t *testing.T) {
	w := newWorld(t, nil)
	w.each("generate", func(a *fakeAgent) {
		a.work = func(context.Context, link.RunParams) link.RunResult { return failed(contract.Ran, "out of order") }
	})
	const requests = 200
	for i := range requests {
		p := decode[ProblemReport](t, w.post(t.Context(), ask{pipeline: "ask", body: fmt.Sprintf(`{"question":"%d"}`, i)}))
		if p.Code != contract.CodeEndpointFailed || p.RetryAfterMS == 0 {
			t.Fatalf("got %+v", p.Problem)
		}
	}
	if n := w.runs("generate"); n < requests || n > requests+requests/10 {
		t.Errorf("%d attempts for %d requests", n, requests)
	}
}

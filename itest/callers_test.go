package itest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/client"
	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/standin"
)

const visitSettings = `
request: {max_deadline: 30s, max_body_bytes: 1000}
endpoint: {cold_limit: 16, max_limit: 64}
pipelines:
  chat: {stages: [{name: answer, kind: generate, pool: engines}]}
  vector: {stages: [{name: encode, kind: encode, pool: encoders}]}
  visit: {stages: [{name: book, kind: service, pool: stock, operation: book_visit, once: true}]}
`

// newVisitFleet starts a fleet with one engine and one service, each behind an agent, and one entry.
func newVisitFleet(t *testing.T) (f *fleet, engine, stock string, e *process) {
	t.Helper()
	f = newFleet(t, visitSettings)
	engine = f.start("engine", "azurelead-standin", "engine", "--batch", "64").addr
	stock = f.start("stock", "azurelead-standin", "service").addr
	f.startAgent("e1", "engines", pipeline.Generate, engine)
	f.startAgent("s1", "stock", pipeline.Service, stock)
	e = f.startEntry("entry1")
	f.awaitAnswer(e, "chat", entry.Body{Question: "warm", MaxTokens: 1})
	return f, engine, stock, e
}

// TestMalformedInputRunsNothing checks that every class of malformed input is refused with its
// error code before any stage runs, as counted by the endpoints.
func TestMalformedInputRunsNothing(t *testing.T) {
	f, engine, stock, e := newVisitFleet(t)
	before := f.stat(engine, "attempts.total")
	valid := http.Header{"Authorization": {"Bearer " + fleetToken}, entry.HeaderDeadline: {"5000"}, entry.HeaderIdempotencyKey: {"job-1"}}
	const visit = `{"action":{"reference":"job-1"}}`
	for _, c := range []struct {
		pipeline, header, value, body string
		want                          contract.Code
	}{
		{"visit", "", "", `{"action":`, contract.CodeBadRequest},
		{"visit", "", "", `{"action":{},"colour":1}`, contract.CodeBadRequest},
		{"visit", "", "", visit + visit, contract.CodeBadRequest},
		{"visit", "", "", `{"question":"no action"}`, contract.CodeBadRequest},
		{"visit", "", "", `{"action":"` + strings.Repeat("x", 1000) + `"}`, contract.CodeBodyTooLarge},
		{"visit", "Authorization", "Bearer wrong", visit, contract.CodeUnauthenticated},
		{"visit", "Authorization", "", visit, contract.CodeUnauthenticated},
		{"nowhere", "", "", visit, contract.CodeUnknownPipeline},
		{"visit", entry.HeaderDeadline, "", visit, contract.CodeDeadlineRequired},
		{"visit", entry.HeaderDeadline, "-1", visit, contract.CodeBadDeadline},
		{"visit", entry.HeaderDeadline, "30001", visit, contract.CodeBadDeadline},
		{"visit", entry.HeaderIdempotencyKey, "", visit, contract.CodeKeyRequired},
		{"visit", entry.HeaderIdempotencyKey, "job 1", visit, contract.CodeBadKey},
		{"visit", entry.HeaderIdempotencyKey, strings.Repeat("k", 200), visit, contract.CodeBadKey},
		{"chat", entry.HeaderIdempotencyKey, "job\t1", `{"question":"q"}`, contract.CodeBadKey},
	} {
		h := valid.Clone()
		if c.header != "" {
			h.Set(c.header, c.value)
		}
		p := f.postRaw(e, c.pipeline, h, c.body)
		if p.Code != c.want || p.Run != contract.NotRun {
			t.Errorf("%s %q %.40q: %s, %s, want %s", c.header, c.value, c.body, p.Code, p.Run, c.want)
		}
	}
	if n := f.stat(stock, "attempts.total"); n != 0 {
		t.Errorf("the service ran %v calls, want 0", n)
	}
	if n := f.stat(engine, "attempts.total"); n != before {
		t.Errorf("the engine ran %v calls, want 0", n-before)
	}
}

// postRaw posts the body unchanged and returns the problem document of the response.
func (f *fleet) postRaw(e *process, pipelineName string, h http.Header, body string) contract.Problem {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+e.addr+"/v1/pipelines/"+pipelineName+"/runs", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header = h
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	var p contract.Problem
	if err := json.Unmarshal(raw, &p); err != nil || resp.Header.Get("Content-Type") != "application/problem+json" {
		f.t.Errorf("response with status %d is not a problem document: %s", resp.StatusCode, raw)
	}
	return p
}

// TestSameQuestionReachesEveryDevice sends the same question from several devices through two
// entries while the link to the agent is cut and restored. Every device must receive the complete
// answer from its first token, and each entry may run the question only once.
func TestSameQuestionReachesEveryDevice(t *testing.T) {
	f := newFleet(t, chatSettings)
	engine := f.start("engine", "azurelead-standin", "engine", "--step", "10ms", "--batch", "32").addr
	agent := f.startAgent("e1", "engines", pipeline.Generate, engine)
	linkProxy, err := newProxy("wire-"+t.Name(), agent.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer linkProxy.close()
	f.register(platform.Instance{Name: "e1", Pool: "engines", Kind: pipeline.Generate, AgentAddress: linkProxy.proxy.Listen, State: platform.Live})
	entries := []*process{f.startEntry("entry1"), f.startEntry("entry2")}
	for _, e := range entries {
		f.awaitAnswer(e, "chat", entry.Body{Question: "warm " + e.name, MaxTokens: 1})
	}
	before := f.stat(engine, "attempts.ids")
	const question = "which element fits this heater?"
	want := standin.AnswerText("Question: "+question+"\nAnswer:", 400)
	var wg sync.WaitGroup
	tokens := make(chan int, 4096)
	device := func(i int) {
		var got strings.Builder
		a, err := f.call(entries[i%2], "chat", entry.Body{Question: question, Stream: i != 2}, func(s string) {
			got.WriteString(s)
			tokens <- i
		})
		got.WriteString(a.Answer)
		if err != nil || got.String() != want {
			t.Errorf("device %d: error %v, got %d of %d bytes", i, err, got.Len(), len(want))
		}
	}
	wg.Go(func() { device(0) })
	wg.Go(func() { device(1) })
	awaitTokens(tokens, 0, 20)
	awaitTokens(tokens, 1, 20)
	for i := 2; i < 9; i++ {
		wg.Go(func() { device(i) })
	}
	awaitTokens(tokens, 7, 40)
	for _, step := range []string{"cut", "restore"} {
		if err := linkProxy.apply(step); err != nil {
			t.Fatal(err)
		}
	}
	wg.Wait()
	if n := f.stat(engine, "attempts.ids") - before; n > 2 {
		t.Errorf("nine devices at two entries caused %v runs, want at most 2", n)
	}
}

// awaitTokens waits until the device has received n more tokens.
func awaitTokens(tokens <-chan int, device, n int) {
	for n > 0 {
		if <-tokens == device {
			n--
		}
	}
}

// TestRetriesStayWithinTheirShare checks that retries stay within a tenth of the first attempts when
// every call of a stage fails. The endpoints count first attempts and retries together.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	f := newFleet(t, visitSettings)
	var endpoints []string
	for _, name := range []string{"p1", "p2"} {
		addr := f.start("pool-"+name, "azurelead-standin", "pool").addr
		f.startAgent(name, "encoders", pipeline.Encode, addr)
		endpoints = append(endpoints, addr)
	}
	e := f.startEntry("entry1")
	if err := eventually(func() error {
		_, err := f.call(e, "vector", entry.Body{Question: fmt.Sprint(time.Now())}, nil)
		if f.stat(endpoints[0], "attempts.total") > 0 && f.stat(endpoints[1], "attempts.total") > 0 {
			return err
		}
		return errors.Join(err, errors.New("an endpoint has received no calls"))
	}); err != nil {
		t.Fatal(err)
	}
	totalAttempts := func() float64 {
		return f.stat(endpoints[0], "attempts.total") + f.stat(endpoints[1], "attempts.total")
	}
	for _, addr := range endpoints {
		f.send(http.MethodPost, addr, "/control/faults", []byte(`{"fail_all":true}`))
	}
	before := totalAttempts()
	const requests = 300
	var wg sync.WaitGroup
	for w := range 10 {
		wg.Go(func() {
			for i := range requests / 10 {
				_, err := f.call(e, "vector", entry.Body{Question: fmt.Sprint(w, " ", i)}, nil)
				var p *contract.Problem
				if !errors.As(err, &p) || p.RetryAfterMS == 0 {
					t.Errorf("got %v, want a problem with a retry delay", err)
				}
			}
		})
	}
	wg.Wait()
	if n := totalAttempts() - before; n > requests*1.1 {
		t.Errorf("%v attempts for %d requests", n, requests)
	}
}

// TestLostPlatformStopsOnlyClaims checks that an outage of the platform affects only requests that
// need a claim, which are refused as not run. This must also hold after the entry's link to the
// engine's agent was cut and restored.
func TestLostPlatformStopsOnlyClaims(t *testing.T) {
	f := newFleet(t, visitSettings)
	engine := f.start("engine", "azurelead-standin", "engine", "--batch", "64").addr
	stock := f.start("stock", "azurelead-standin", "service").addr
	e1 := f.startAgent("e1", "engines", pipeline.Generate, engine)
	f.startAgent("s1", "stock", pipeline.Service, stock)
	linkProxy, err := newProxy("wire-"+t.Name(), e1.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer linkProxy.close()
	f.register(platform.Instance{Name: "e1", Pool: "engines", Kind: pipeline.Generate, AgentAddress: linkProxy.proxy.Listen, State: platform.Live})
	e := f.startEntry("entry1")
	f.awaitAnswer(e, "chat", entry.Body{Question: "warm", MaxTokens: 1})
	f.send(http.MethodPost, f.platformAddr, "/control/faults", []byte(`{"down":true}`))
	c := client.Client{URL: "http://" + e.addr}
	for i := range 4 {
		if err := eventually(func() error {
			_, err := f.call(e, "chat", entry.Body{Question: fmt.Sprint("question ", i), MaxTokens: 4}, nil)
			return err
		}); err != nil {
			t.Errorf("question %d: %v", i, err)
		}
		_, err := c.Do(context.Background(), client.Request{
			Token: fleetToken, Pipeline: "visit", IdempotencyKey: fmt.Sprint("visit-", i), Deadline: 5 * time.Second, Body: actionBody("job"),
		}, nil)
		var p *contract.Problem
		if !errors.As(err, &p) || p.Run != contract.NotRun || p.Code != contract.CodeClaimUnavailable {
			t.Errorf("booking %d: got %v, want a refusal as not run", i, err)
		}
		for _, step := range []string{"cut", "restore"} {
			if err := linkProxy.apply(step); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := f.runCount(stock, "job"); n != 0 {
		t.Errorf("refused bookings ran %d times", n)
	}
}

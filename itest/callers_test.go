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

// newVisitFleet has one engine and one service behind their agents, and an entry.
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

// Malformed input of every class is refused with its code before anything
// runs; the endpoints' own counts are the witness.
func TestMalformedInputRunsNothing(t *testing.T) {
	f, engine, stock, e := newVisitFleet(t)
	before := f.stat(engine, "attempts.total")
	good := http.Header{"Authorization": {"Bearer " + fleetToken}, entry.HeaderDeadline: {"5000"}, entry.HeaderIdempotencyKey: {"job-1"}}
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
		h := good.Clone()
		if c.header != "" {
			h.Set(c.header, c.value)
		}
		p := f.postRaw(e, c.pipeline, h, c.body)
		if p.Code != c.want || p.Run != contract.NotRun {
			t.Errorf("%s %q %.40q: %s, %s, want %s", c.header, c.value, c.body, p.Code, p.Run, c.want)
		}
	}
	if n := f.stat(stock, "attempts.total"); n != 0 {
		t.Errorf("the service ran %v calls", n)
	}
	if n := f.stat(engine, "attempts.total"); n != before {
		t.Errorf("the engine ran %v calls", n-before)
	}
}

// postRaw posts a body as it is and returns the problem.
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
		f.t.Errorf("status %d is no problem document: %s", resp.StatusCode, raw)
	}
	return p
}

// The same question from several devices through two entries, while the link
// of one is cut: every device gets the whole answer from its start, and one
// entry runs the question once.
func TestSameQuestionReachesEveryDevice(t *testing.T) {
	f := newFleet(t, chatSettings)
	engine := f.start("engine", "azurelead-standin", "engine", "--step", "10ms", "--batch", "32").addr
	agent := f.startAgent("e1", "engines", pipeline.Generate, engine)
	wire, err := newProxy("wire-"+t.Name(), agent.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer wire.close()
	f.register(platform.Instance{Name: "e1", Pool: "engines", Kind: pipeline.Generate, AgentAddress: wire.proxy.Listen, State: platform.Live})
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
			t.Errorf("device %d: %v, %d of %d bytes", i, err, got.Len(), len(want))
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
		if err := wire.apply(step); err != nil {
			t.Fatal(err)
		}
	}
	wg.Wait()
	if n := f.stat(engine, "attempts.ids") - before; n > 2 {
		t.Errorf("nine devices at two entries made %v runs", n)
	}
}

// awaitTokens waits until a device has got n more tokens.
func awaitTokens(tokens <-chan int, device, n int) {
	for n > 0 {
		if <-tokens == device {
			n--
		}
	}
}

// With one stage failing for all, retries stay within a tenth of the first
// attempts. The endpoints count both.
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
		return errors.Join(err, errors.New("an endpoint gets no work"))
	}); err != nil {
		t.Fatal(err)
	}
	count := func() float64 {
		return f.stat(endpoints[0], "attempts.total") + f.stat(endpoints[1], "attempts.total")
	}
	for _, addr := range endpoints {
		f.send(http.MethodPost, addr, "/control/faults", []byte(`{"fail_all":true}`))
	}
	before := count()
	const requests = 300
	var wg sync.WaitGroup
	for w := range 10 {
		wg.Go(func() {
			for i := range requests / 10 {
				_, err := f.call(e, "vector", entry.Body{Question: fmt.Sprint(w, " ", i)}, nil)
				var p *contract.Problem
				if !errors.As(err, &p) || p.RetryAfterMS == 0 {
					t.Errorf("got %v", err)
				}
			}
		})
	}
	wg.Wait()
	if n := count() - before; n > requests*1.1 {
		t.Errorf("%v attempts for %d requests", n, requests)
	}
}

// A lost platform changes no answer but those that need a claim, which are
// refused as not run, also after the entry's links were all broken.
func TestLostPlatformStopsOnlyClaims(t *testing.T) {
	f := newFleet(t, visitSettings)
	engine := f.start("engine", "azurelead-standin", "engine", "--batch", "64").addr
	stock := f.start("stock", "azurelead-standin", "service").addr
	e1 := f.startAgent("e1", "engines", pipeline.Generate, engine)
	f.startAgent("s1", "stock", pipeline.Service, stock)
	wire, err := newProxy("wire-"+t.Name(), e1.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer wire.close()
	f.register(platform.Instance{Name: "e1", Pool: "engines", Kind: pipeline.Generate, AgentAddress: wire.proxy.Listen, State: platform.Live})
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
			t.Errorf("booking %d: %v", i, err)
		}
		for _, step := range []string{"cut", "restore"} {
			if err := wire.apply(step); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := f.runCount(stock, "job"); n != 0 {
		t.Errorf("refused bookings ran %d times", n)
	}
}

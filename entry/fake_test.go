package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
)

// linkFault is a fault of a fake link during a run.
type linkFault int

const (
	noFault              linkFault = iota
	cutBeforeArrival               // the run does not arrive
	cutMidway                      // half of the tokens arrive
	cutAfterRun                    // the run ends, but its result is lost
	cutUnsent                      // the link refuses to send
	cutThenUnsentSettle            // cutAfterRun, and the next settlement is not sent either
	cutThenUnsentSettles           // cutAfterRun, and no settlement is sent for a while
	cutThenRestart                 // cutAfterRun, and the agent restarts
	cutThenSilentLink              // cutMidway, and the next link falls silent before the settlement
	cutRepeatedly                  // cutMidway, and each next link is cut after one more token
	stallMidway                    // half of the tokens arrive, then nothing more, and the link stays up
)

// fakeAgent is an agent with its endpoint, as seen through the Link interface.
type fakeAgent struct {
	instance      platform.Instance
	work          func(ctx context.Context, p link.RunParams) link.RunResult
	gate          chan struct{} // if set, runs wait for a value
	mu            sync.Mutex
	boot          contract.BootID
	faults        *faultQueue
	runs          map[contract.AttemptID]int
	finished      map[contract.AttemptID]link.RunResult
	closed        map[contract.AttemptID]bool
	currentLink   *fakeLink
	unsentSettles int // settlements that fail as not sent
	silentSettles int // settlements that get no answer because the link falls silent
	// shortLinks is how many of the next links are cut after one more token.
	shortLinks int
	// crossedResults and crossedChunks make results, or chunks, name another attempt.
	crossedResults, crossedChunks bool
}

func (a *fakeAgent) totalRuns() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, c := range a.runs {
		n += c
	}
	return n
}

func (a *fakeAgent) set(count *int, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	*count = n
}

func (a *fakeAgent) dial() *fakeLink {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.currentLink = &fakeLink{a: a, boot: a.boot, done: make(chan struct{}), leaving: make(chan struct{})}
	return a.currentLink
}

func (a *fakeAgent) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.boot = contract.NewBootID()
	a.finished, a.closed = map[contract.AttemptID]link.RunResult{}, map[contract.AttemptID]bool{}
}

// faultQueue holds the faults of the next runs of a pool.
type faultQueue struct {
	mu   sync.Mutex
	next []linkFault
}

func (c *faultQueue) take() linkFault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.next) == 0 {
		return noFault
	}
	first := c.next[0]
	c.next = c.next[1:]
	return first
}

// fakeLink is a link to a fakeAgent.
type fakeLink struct {
	a             *fakeAgent
	boot          contract.BootID
	once          sync.Once
	done, leaving chan struct{}
}

func (l *fakeLink) Peer() link.HelloResult {
	return link.HelloResult{Agent: l.a.instance.Name, AgentBoot: l.boot, Pool: l.a.instance.Pool, Kind: l.a.instance.Kind}
}
func (l *fakeLink) Load() link.Load          { return link.Load{Limit: 64, ServiceUS: 1000} }
func (l *fakeLink) Leaving() <-chan struct{} { return l.leaving }
func (l *fakeLink) Done() <-chan struct{}    { return l.done }
func (l *fakeLink) Close() error             { l.once.Do(func() { close(l.done) }); return nil }

func (l *fakeLink) Call(context.Context, string, any, any) error { return link.Refused.New("none") }

func (l *fakeLink) Run(ctx context.Context, p link.RunParams, onChunk func(link.Chunk)) (link.RunResult, error) {
	c := l.a.faults.take()
	switch c {
	case cutUnsent:
		_ = l.Close()
		return link.RunResult{}, link.NotSent.New("cut")
	case cutBeforeArrival:
		_ = l.Close()
		return link.RunResult{}, link.Lost.New("cut")
	}
	if l.a.gate != nil {
		select {
		case <-l.a.gate:
		case <-ctx.Done():
			return link.RunResult{}, ctx.Err()
		}
	}
	res, words := l.a.run(ctx, p)
	if l.a.crossedResults {
		res.Attempt = "another"
	}
	if l.a.crossedChunks {
		p.Attempt, words = "another", []string{"of another answer"}
	}
	switch c {
	case cutThenSilentLink:
		l.a.set(&l.a.silentSettles, 1)
	case cutRepeatedly:
		l.a.set(&l.a.shortLinks, 2*maxRecoveries)
	}
	if c == cutMidway || c == cutThenSilentLink || c == cutRepeatedly || c == stallMidway {
		words = words[:len(words)/2]
	}
	if len(words) > 0 {
		onChunk(link.Chunk{Attempt: p.Attempt, Tokens: words})
	}
	if c == noFault {
		return res, nil
	}
	if c == stallMidway {
		<-ctx.Done()
		return link.RunResult{}, link.Lost.Wrap(ctx.Err())
	}
	if c == cutThenRestart {
		l.a.restart()
	}
	if unsent := map[linkFault]int{cutThenUnsentSettle: 1, cutThenUnsentSettles: maxRecoveries}[c]; unsent > 0 {
		l.a.set(&l.a.unsentSettles, unsent)
	}
	_ = l.Close()
	return link.RunResult{}, link.Lost.New("cut")
}

func (a *fakeAgent) run(ctx context.Context, p link.RunParams) (link.RunResult, []string) {
	a.mu.Lock()
	if a.closed[p.Attempt] || p.AgentBoot != a.boot {
		a.mu.Unlock()
		return link.RunResult{Attempt: p.Attempt, Run: contract.NotRun, Code: contract.CodeWrongBoot}, nil
	}
	a.runs[p.Attempt]++
	a.mu.Unlock()
	res := a.work(ctx, p)
	res.Attempt = p.Attempt
	a.mu.Lock()
	a.finished[p.Attempt] = res
	a.mu.Unlock()
	return res, splitWords(res.Output.Text)
}

func splitWords(s string) []string {
	if s == "" {
		return nil
	}
	return strings.SplitAfter(s, " ")
}

func (l *fakeLink) Attach(_ context.Context, p link.AttachParams, onChunk func(link.Chunk)) (link.RunResult, error) {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	res := l.a.finished[p.Attempt]
	words := splitWords(res.Output.Text)
	if l.a.shortLinks > 0 && p.From < len(words) {
		l.a.shortLinks--
		onChunk(link.Chunk{Attempt: p.Attempt, First: p.From, Tokens: words[p.From : p.From+1]})
		_ = l.Close()
		return link.RunResult{}, link.Lost.New("cut")
	}
	if p.From < len(words) {
		onChunk(link.Chunk{Attempt: p.Attempt, First: p.From, Tokens: words[p.From:]})
	}
	return res, nil
}

// silenceDetectionDelay is how long a silent link stays up until its silence is detected.
const silenceDetectionDelay = 5 * DefaultRecoveryTimeout

func (l *fakeLink) Settle(ctx context.Context, p link.SettleParams) (link.SettleResult, error) {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	if l.a.silentSettles > 0 {
		l.a.mu.Unlock()
		defer l.a.mu.Lock()
		return link.SettleResult{}, l.silent(ctx)
	}
	if l.a.unsentSettles > 0 {
		l.a.unsentSettles--
		return link.SettleResult{}, link.NotSent.New("cut")
	}
	if p.AgentBoot != l.a.boot {
		return link.SettleResult{State: link.AttemptUnknown}, nil
	}
	if res, ok := l.a.finished[p.Attempt]; ok {
		return link.SettleResult{State: link.AttemptFinished, Result: &res}, nil
	}
	l.a.closed[p.Attempt] = true
	return link.SettleResult{State: link.AttemptClosed}, nil
}

// silent waits until the silence of the link is detected, or until ctx ends.
func (l *fakeLink) silent(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return link.Lost.Wrap(ctx.Err())
	case <-time.After(silenceDetectionDelay):
	}
	l.a.set(&l.a.silentSettles, 0)
	_ = l.Close()
	return link.Lost.New("silent")
}

// harness is an entry with two agents per pool.
type harness struct {
	t      testing.TB
	e      *Entry
	agents []*fakeAgent
	claims *fakeClaims
	doc    settings.Document
	source *settings.Fixed
	// unreachable makes every dial fail, downAgents those of the agents it names.
	unreachable atomic.Bool
	downAgents  sync.Map
}

const token = "secret"

func (h *harness) Instances(context.Context) ([]platform.Instance, error) {
	var out []platform.Instance
	for _, a := range h.agents {
		out = append(out, a.instance)
	}
	return out, nil
}

func testDocument() settings.Document {
	sum := sha256.Sum256([]byte(token))
	stage := func(k pipeline.Kind) settings.Stage { return settings.Stage{Name: string(k), Kind: k, Pool: string(k)} }
	book := settings.Stage{Name: "book", Kind: pipeline.Service, Pool: "service", Operation: "book", Once: true}
	return settings.Document{
		Pipelines: map[string]settings.Pipeline{
			"ask":  {Stages: []settings.Stage{stage(pipeline.Encode), stage(pipeline.Generate)}},
			"book": {Stages: []settings.Stage{book}},
			"tell": {Stages: []settings.Stage{book, stage(pipeline.Generate)}},
		},
		Organisations: map[string]settings.Organisation{"org": {TokenSHA256: []string{hex.EncodeToString(sum[:])}}},
	}
}

func newHarness(t testing.TB, change func(h *harness, o *Options)) *harness {
	t.Helper()
	h := &harness{t: t, doc: testDocument(), claims: &fakeClaims{held: map[string]claim.Request{}, done: map[string]claim.Outcome{}}}
	for _, k := range []pipeline.Kind{pipeline.Encode, pipeline.Generate, pipeline.Service} {
		for _, n := range []string{"-1", "-2"} {
			h.agents = append(h.agents, newFakeAgent(string(k)+n, k))
		}
	}
	h.source = settings.NewFixed(&settings.Snapshot{Version: 1, Document: h.doc})
	o := Options{Name: "entry", DeregistrationDelay: time.Millisecond, Settings: h.source, Directory: h, Claims: h.claims, Dial: func(_ context.Context, addr string) (Link, error) {
		if _, down := h.downAgents.Load(addr); down || h.unreachable.Load() {
			return nil, link.NotSent.New("unreachable")
		}
		return h.agent(addr).dial(), nil
	}}
	if change != nil {
		change(h, &o)
	}
	h.source.Set(&settings.Snapshot{Version: 1, Document: h.doc})
	e, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	h.e = e
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if err := e.Shutdown(ctx); err != nil {
			t.Error(err)
		}
	})
	for !e.o.Readiness.Ready() {
		time.Sleep(time.Millisecond)
	}
	return h
}

func newFakeAgent(name string, k pipeline.Kind) *fakeAgent {
	a := &fakeAgent{instance: platform.Instance{Name: name, Pool: string(k), Kind: k, AgentAddress: name, State: platform.Live}, work: fakeWork, faults: &faultQueue{}}
	a.runs = map[contract.AttemptID]int{}
	a.restart()
	return a
}

func fakeWork(_ context.Context, p link.RunParams) link.RunResult {
	res := link.RunResult{Run: contract.Ran}
	switch p.Stage {
	case "generate":
		res.Output.Text = "open the valve and wait for " + p.Input.Prompt
		words := splitWords(res.Output.Text)
		res.TokenCount, res.Digest = len(words), tokensDigest(words)
	case "book":
		res.Output.Body = json.RawMessage(`{"booked":true}`)
	}
	return res
}

func (h *harness) agent(name string) *fakeAgent {
	for _, a := range h.agents {
		if a.instance.Name == name {
			return a
		}
	}
	return nil
}

// runs returns how many calls ran at a pool's endpoints.
func (h *harness) runs(pool string) int {
	n := 0
	for _, a := range h.agents {
		if a.instance.Pool == pool {
			n += a.totalRuns()
		}
	}
	return n
}

// injectFaults sets the faults of the next runs of a pool.
func (h *harness) injectFaults(pool string, next ...linkFault) {
	shared := &faultQueue{next: next}
	h.updateAgents(pool, func(a *fakeAgent) { a.faults = shared })
}

// updateAgents calls change for each agent of a pool.
func (h *harness) updateAgents(pool string, change func(a *fakeAgent)) {
	for _, a := range h.agents {
		if a.instance.Pool == pool {
			a.mu.Lock()
			change(a)
			a.mu.Unlock()
		}
	}
}

// testRequest is a caller's request.
type testRequest struct {
	pipeline, body, key string
	deadline            string
	token               string
}

func (h *harness) post(ctx context.Context, req testRequest) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/"+req.pipeline+"/runs", strings.NewReader(req.body)).WithContext(ctx)
	if req.deadline == "" {
		req.deadline = "20000"
	}
	if req.token == "" {
		req.token = token
	}
	r.Header.Set(HeaderDeadline, strings.TrimPrefix(req.deadline, "-"))
	if req.deadline == "none" {
		r.Header.Del(HeaderDeadline)
	}
	r.Header.Set(HeaderIdempotencyKey, req.key)
	r.Header.Set("Authorization", "Bearer "+req.token)
	rec := httptest.NewRecorder()
	h.e.Handler().ServeHTTP(rec, r)
	return rec
}

func decode[T any](t *testing.T, rec *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(rec.Body.Bytes(), &v); err != nil {
		t.Fatalf("status %d, body %q: %v", rec.Code, rec.Body, err)
	}
	return v
}

package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// maxResumes bounds how often one call's stream is taken up again.
const maxResumes = 2

// Engine drives one model engine.
type Engine struct{ *caller }

var (
	_ Endpoint = (*Engine)(nil)
	_ Prober   = (*Engine)(nil)
)

// NewEngine returns a driver of a model engine.
func NewEngine(o Options) (*Engine, error) {
	c, err := newCaller(o)
	if err != nil {
		return nil, err
	}
	return &Engine{caller: c}, nil
}

// completionCall is the body of a completion call.
type completionCall struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Priority   int    `json:"priority,omitempty"`
	RequestID  string `json:"request_id"`
	ResumeFrom int    `json:"resume_from,omitempty"`
}

// generation is the state of one call over all its streams.
type generation struct {
	emit  func(string)
	next  int // number of the next token
	usage pipeline.Usage
}

// Run implements Endpoint. The answer is the emitted tokens; Output stays
// empty, so that no answer is held twice. A stream that breaks off while the
// engine lives is resumed where it broke.
func (e *Engine) Run(ctx context.Context, call Call, emit func(string)) Result {
	started := time.Now()
	g := &generation{emit: emit}
	bad := e.attempt(ctx, call, g)
	for tries := 0; tries < maxResumes && resumable(bad, g); tries++ {
		bad = e.attempt(ctx, call, g)
	}
	g.usage.EndpointUS = time.Since(started).Microseconds()
	if bad == nil {
		return Result{Usage: g.usage}
	}
	if g.next > 0 {
		bad.Problem.Run = contract.MayHaveRun // a refused resume does not undo the first part
		g.usage.GeneratedTokens = g.next
	}
	bad.Usage = g.usage
	return *bad
}

// resumable reports whether a failed call can go on where it broke off.
func resumable(bad *Result, g *generation) bool {
	return bad != nil && g.next > 0 && !bad.Crashed && bad.Problem.Code == contract.CodeEndpointFailed
}

// attempt makes one call, which resumes the generation if it has begun.
func (e *Engine) attempt(ctx context.Context, call Call, g *generation) *Result {
	resp, bad := e.post(ctx, "/v1/completions", call.Attempt, completionCall{
		Model:      call.Input.Model,
		Prompt:     call.Input.Prompt,
		MaxTokens:  call.Input.MaxTokens,
		Stream:     true,
		Priority:   call.Priority,
		RequestID:  string(call.Attempt),
		ResumeFrom: g.next,
	})
	if bad != nil {
		return bad
	}
	defer func() { _ = resp.Body.Close() }()
	return e.consume(ctx, resp, g)
}

// consume emits a stream's tokens and checks that none is missing.
func (e *Engine) consume(ctx context.Context, resp *http.Response, g *generation) *Result {
	events := newEventReader(resp.Body)
	for {
		event, err := events.next()
		if err != nil {
			return e.broken(ctx, err, contract.MayHaveRun, bootOf(resp))
		}
		if events.done {
			return g.closed()
		}
		if bad := g.take(event); bad != nil {
			return bad
		}
	}
}

// take emits the token of one event.
func (g *generation) take(event *completionEvent) *Result {
	if event.Usage != nil {
		g.usage.PromptTokens = event.Usage.PromptTokens
		g.usage.CachedTokens = event.Usage.CachedTokens
		g.usage.GeneratedTokens = event.Usage.CompletionTokens
	}
	if len(event.Choices) == 0 || event.Choices[0].Text == "" {
		return nil
	}
	if event.Index != g.next {
		return failed(contract.CodeEndpointFailed, contract.MayHaveRun,
			"token %d came where %d was due", event.Index, g.next)
	}
	g.emit(event.Choices[0].Text)
	g.next++
	return nil
}

// closed checks the engine's own count at the end of the stream.
func (g *generation) closed() *Result {
	if g.usage.GeneratedTokens != g.next {
		return failed(contract.CodeEndpointFailed, contract.MayHaveRun,
			"the engine counted %d tokens, %d came", g.usage.GeneratedTokens, g.next)
	}
	return nil
}

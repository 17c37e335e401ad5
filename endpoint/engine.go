package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
)

// maxResumes limits how often the stream of one call is resumed.
const maxResumes = 2

// Engine is the driver of a model engine.
type Engine struct{ *client }

var (
	_ Endpoint = (*Engine)(nil)
	_ Prober   = (*Engine)(nil)
)

// NewEngine returns a driver of a model engine.
func NewEngine(o Options) (*Engine, error) {
	c, err := newClient(o)
	if err != nil {
		return nil, err
	}
	return &Engine{client: c}, nil
}

// completionRequest is the body of a completion call.
type completionRequest struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Priority   int    `json:"priority,omitempty"`
	RequestID  string `json:"request_id"`
	ResumeFrom int    `json:"resume_from,omitempty"`
}

// generation is the state of one call, which may span several streams.
type generation struct {
	emit      func(string)
	nextIndex int // index of the next token
	usage     pipeline.Usage
}

// Run implements Endpoint. It delivers the generated text only through emit and leaves Output empty,
// so that the text is not held twice. If a stream breaks while the engine is running, Run resumes it
// at the next token.
func (e *Engine) Run(ctx context.Context, call Call, emit func(string)) Result {
	start := time.Now()
	g := &generation{emit: emit}
	failure := e.stream(ctx, call, g)
	for resumes := 0; resumes < maxResumes && resumable(failure, g); resumes++ {
		failure = e.stream(ctx, call, g)
	}
	g.usage.EndpointUS = time.Since(start).Microseconds()
	if failure == nil {
		return Result{Usage: g.usage}
	}
	if g.nextIndex > 0 {
		failure.Problem.Run = contract.MayHaveRun // the part before a refused resume has run
		g.usage.GeneratedTokens = g.nextIndex
	}
	failure.Usage = g.usage
	return *failure
}

// resumable reports whether a failed call can be resumed at its next token.
func resumable(failure *Result, g *generation) bool {
	return failure != nil && g.nextIndex > 0 && !failure.Crashed && failure.Problem.Code == contract.CodeEndpointFailed
}

// stream makes one completion call, which resumes the generation if it has emitted tokens.
func (e *Engine) stream(ctx context.Context, call Call, g *generation) *Result {
	resp, failure := e.post(ctx, "/v1/completions", call.Attempt, completionRequest{
		Model:      call.Input.Model,
		Prompt:     call.Input.Prompt,
		MaxTokens:  call.Input.MaxTokens,
		Stream:     true,
		Priority:   call.Priority,
		RequestID:  string(call.Attempt),
		ResumeFrom: g.nextIndex,
	})
	if failure != nil {
		return failure
	}
	defer func() { _ = resp.Body.Close() }()
	return e.readStream(ctx, resp, g)
}

// readStream emits the tokens of a stream and checks that none is missing.
func (e *Engine) readStream(ctx context.Context, resp *http.Response, g *generation) *Result {
	events := newEventReader(resp.Body)
	for {
		event, err := events.next()
		if err != nil {
			return e.connectionFailed(ctx, err, contract.MayHaveRun, responseBoot(resp))
		}
		if events.done {
			return g.checkCount()
		}
		if failure := g.add(event); failure != nil {
			return failure
		}
	}
}

// add emits the token of one event and records its usage.
func (g *generation) add(event *completionEvent) *Result {
	if event.Usage != nil {
		g.usage.PromptTokens = event.Usage.PromptTokens
		g.usage.CachedTokens = event.Usage.CachedTokens
		g.usage.GeneratedTokens = event.Usage.CompletionTokens
	}
	if len(event.Choices) == 0 || event.Choices[0].Text == "" {
		return nil
	}
	if event.Index != g.nextIndex {
		return failed(contract.CodeEndpointFailed, contract.MayHaveRun,
			"token %d came where %d was due", event.Index, g.nextIndex)
	}
	g.emit(event.Choices[0].Text)
	g.nextIndex++
	return nil
}

// checkCount compares the number of emitted tokens with the engine's count at the end of a stream.
func (g *generation) checkCount() *Result {
	if g.usage.GeneratedTokens != g.nextIndex {
		return failed(contract.CodeEndpointFailed, contract.MayHaveRun,
			"the engine counted %d tokens, %d came", g.usage.GeneratedTokens, g.nextIndex)
	}
	return nil
}

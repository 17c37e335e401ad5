package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// CompletionCall is the body of a completion call.
type CompletionCall struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority orders waiting calls, highest first.
	Priority int `json:"priority,omitempty"`
	// RequestID names the generation, for a later resume.
	RequestID string `json:"request_id,omitempty"`
	// ResumeFrom, above 0, continues the named generation at that token.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// CompletionEvent is one event of the stream.
type CompletionEvent struct {
	ID string `json:"id"`
	// Index numbers the first token of the event, from 0.
	Index   int                `json:"index"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *CompletionUsage   `json:"usage,omitempty"`
}

// CompletionChoice holds one token. FinishReason is set in the last event.
type CompletionChoice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// CompletionUsage counts the tokens of one answer, whatever part of it a
// resumed stream carried.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c CompletionCall
	if !readJSON(w, r, &c) || !e.valid(w, c) {
		return
	}
	fault, cutAfter := e.faults.draw()
	if fault == faultRefuse || e.overfull() {
		e.faults.refused()
		refuseBusy(w, 0)
		return
	}
	if !e.warmth.enter() || strings.Contains(c.Prompt, CrashMarker) {
		e.Crash()
	}
	e.recordLoad()
	answered := false
	defer func() {
		e.warmth.leave(answered)
		e.recordLoad()
	}()
	switch fault {
	case faultHang:
		<-r.Context().Done()
		return
	case faultError:
		writeJSON(w, http.StatusInternalServerError, failure{Error: "failed"})
		return
	}
	if fault != faultAfter {
		cutAfter = -1
	}
	answered = e.generate(w, r, c, cutAfter)
}

// valid refuses calls that no engine runs.
func (e *Engine) valid(w http.ResponseWriter, c CompletionCall) bool {
	switch {
	case c.MaxTokens < 1 || c.MaxTokens > maxTokensLimit:
		refuse(w, http.StatusBadRequest, "max_tokens is out of range")
	case !c.Stream:
		refuse(w, http.StatusBadRequest, "only streams are served")
	case len(e.options.Models) > 0 && !slices.Contains(e.options.Models, c.Model):
		refuse(w, http.StatusNotFound, "the model is not loaded")
	case c.ResumeFrom > 0 && !e.known.Contains(c.RequestID):
		refuse(w, http.StatusNotFound, "the generation is not known")
	default:
		return true
	}
	return false
}

func (e *Engine) overfull() bool {
	inFlight, _, _ := e.warmth.peaks()
	return inFlight >= e.options.BatchSize+e.options.QueueLimit
}

// generate runs one call and reports whether its stream came to its end.
// Above -1, cutAfter is the token after which the connection is lost.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, c CompletionCall, cutAfter int) bool {
	g := generation{prompt: c.Prompt, answer: answerTo(c.Prompt, c.MaxTokens)}
	if c.ResumeFrom > 0 {
		if kept, ok := e.known.Get(c.RequestID); ok {
			g = kept
		}
	} else {
		e.attempts.add(r.Header.Get(HeaderAttempt))
		e.known.Add(c.RequestID, g)
	}
	s := newSequence(r.Context(), g.prompt, g.answer, c.ResumeFrom, c.Priority)
	e.batch.submit(s)
	whole := e.stream(w, s, c, cutAfter)
	e.count(s, c.ResumeFrom, whole)
	return whole
}

// stream sends tokens as they are made.
func (e *Engine) stream(w http.ResponseWriter, s *sequence, c CompletionCall, cutAfter int) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	out := eventWriter{w: w, control: http.NewResponseController(w), id: c.RequestID}
	for sent := c.ResumeFrom; ; {
		made, cached := s.progress()
		for ; sent < made; sent++ {
			if cutAfter >= 0 && sent >= cutAfter {
				drop(w)
				return false
			}
			out.token(sent, s.answer.token(sent))
		}
		if sent >= s.answer.total {
			return out.end(sent, finishReason(sent, c.MaxTokens), CompletionUsage{
				PromptTokens: promptTokens(s.prompt), CompletionTokens: sent, CachedTokens: cached,
			})
		}
		if out.flush() != nil {
			return false
		}
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return false
		}
	}
}

func finishReason(tokens, maxTokens int) string {
	if tokens >= maxTokens {
		return "length"
	}
	return "stop"
}

func (e *Engine) count(s *sequence, from int, whole bool) {
	made, cached := s.progress()
	t := TokenStats{Generated: int64(made - from)}
	if from > 0 {
		t.Resumed = t.Generated
	} else {
		t.Prompt = int64(promptTokens(s.prompt))
		t.Cached = int64(cached)
	}
	if !whole {
		t.Cancelled = t.Generated
	}
	e.faults.add(t)
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	err     error
}

func (o *eventWriter) token(index int, text string) {
	o.event(CompletionEvent{ID: o.id, Index: index, Choices: []CompletionChoice{{Text: text}}})
}

// end closes the stream and reports whether all of it was written.
func (o *eventWriter) end(index int, reason string, u CompletionUsage) bool {
	o.event(CompletionEvent{
		ID: o.id, Index: index, Choices: []CompletionChoice{{FinishReason: reason}}, Usage: &u,
	})
	o.write([]byte("data: [DONE]\n\n"))
	return o.flush() == nil
}

func (o *eventWriter) event(e CompletionEvent) {
	body, err := json.Marshal(e)
	if err != nil {
		o.err = err
		return
	}
	o.write(append(append([]byte("data: "), body...), '\n', '\n'))
}

func (o *eventWriter) write(b []byte) {
	if o.err == nil {
		_, o.err = o.w.Write(b)
	}
}

func (o *eventWriter) flush() error {
	if o.err == nil {
		o.err = o.control.Flush()
	}
	return o.err
}

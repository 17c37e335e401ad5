package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// CompletionCall is the body of a completion request.
type CompletionCall struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority orders queued calls, highest first.
	Priority int `json:"priority,omitempty"`
	// RequestID identifies the generation, so that a later call can resume it.
	RequestID string `json:"request_id,omitempty"`
	// ResumeFrom, if above 0, is the index of the token at which the stream
	// resumes the generation RequestID.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// CompletionEvent is one server-sent event of the response stream.
type CompletionEvent struct {
	ID string `json:"id"`
	// Index is the position of the event's first token, from 0.
	Index   int                `json:"index"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *CompletionUsage   `json:"usage,omitempty"`
}

// CompletionChoice holds one token. FinishReason is set only in the last event.
type CompletionChoice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// CompletionUsage counts the tokens of a whole answer, also if a resumed stream
// carried only part of it.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c CompletionCall
	if !readJSON(w, r, &c) || !e.validate(w, c) {
		return
	}
	fault, cutAfter := e.faults.next()
	if fault == faultRefuse || e.queueFull() {
		e.faults.countRefusal()
		refuseBusy(w, 0)
		return
	}
	if !e.warmUp.begin() || strings.Contains(c.Prompt, CrashMarker) {
		e.Crash()
	}
	e.recordLoad()
	answered := false
	defer func() {
		e.warmUp.end(answered)
		e.recordLoad()
	}()
	switch fault {
	case faultHang:
		<-r.Context().Done()
		return
	case faultError:
		writeJSON(w, http.StatusInternalServerError, errorResponse{Error: "failed"})
		return
	}
	if fault != faultDropAfter {
		cutAfter = -1
	}
	answered = e.generate(w, r, c, cutAfter)
}

// validate reports whether the engine can run the call, and refuses it otherwise.
func (e *Engine) validate(w http.ResponseWriter, c CompletionCall) bool {
	switch {
	case c.MaxTokens < 1 || c.MaxTokens > maxTokensPerCall:
		refuse(w, http.StatusBadRequest, "max_tokens is out of range")
	case !c.Stream:
		refuse(w, http.StatusBadRequest, "only streams are served")
	case len(e.options.Models) > 0 && !slices.Contains(e.options.Models, c.Model):
		refuse(w, http.StatusNotFound, "the model is not loaded")
	case c.ResumeFrom > 0 && !e.generations.Contains(c.RequestID):
		refuse(w, http.StatusNotFound, "the generation is not known")
	default:
		return true
	}
	return false
}

func (e *Engine) queueFull() bool {
	inFlight, _, _ := e.warmUp.callCounts()
	return inFlight >= e.options.BatchSize+e.options.QueueLimit
}

// generate executes one call and reports whether its stream was completed. If
// cutAfter is not negative, the connection is dropped after that many tokens of the
// answer, counted from its start also in a resumed stream.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, c CompletionCall, cutAfter int) bool {
	g := generation{prompt: c.Prompt, answer: answerTo(c.Prompt, c.MaxTokens)}
	if c.ResumeFrom > 0 {
		if saved, ok := e.generations.Get(c.RequestID); ok {
			g = saved
		}
	} else {
		e.attemptRuns.add(r.Header.Get(HeaderAttempt))
		e.generations.Add(c.RequestID, g)
	}
	s := newSequence(r.Context(), g.prompt, g.answer, c.ResumeFrom, c.Priority)
	e.batch.submit(s)
	complete := e.stream(w, s, c, cutAfter)
	e.countTokens(s, c.ResumeFrom, complete)
	return complete
}

// stream sends tokens as they are generated and reports whether the whole answer
// was sent.
func (e *Engine) stream(w http.ResponseWriter, s *sequence, c CompletionCall, cutAfter int) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	out := eventWriter{w: w, control: http.NewResponseController(w), id: c.RequestID}
	for sent := c.ResumeFrom; ; {
		generated, cached := s.progress()
		for ; sent < generated; sent++ {
			if cutAfter >= 0 && sent >= cutAfter {
				dropConnection(w)
				return false
			}
			out.token(sent, s.answer.token(sent))
		}
		if sent >= s.answer.total {
			return out.finish(sent, finishReason(sent, c.MaxTokens), CompletionUsage{
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

func (e *Engine) countTokens(s *sequence, resumeFrom int, complete bool) {
	generated, cached := s.progress()
	t := TokenStats{Generated: int64(generated - resumeFrom)}
	if resumeFrom > 0 {
		t.Resumed = t.Generated
	} else {
		t.Prompt = int64(promptTokens(s.prompt))
		t.Cached = int64(cached)
	}
	if !complete {
		t.Cancelled = t.Generated
	}
	e.faults.addTokens(t)
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

// finish ends the stream and reports whether all events were written.
func (o *eventWriter) finish(index int, reason string, u CompletionUsage) bool {
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

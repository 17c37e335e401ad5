package standin

import (
	"net/http"
	"sync"
)

// EngineFaults are the faults to inject into an engine. Each call that a counted
// fault affects decrements its count.
type EngineFaults struct {
	// Slow multiplies the duration of each step; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// RefuseNext is how many calls are refused before they run.
	RefuseNext int `json:"refuse_next,omitempty"`
	// CutNext is how many streams lose their connection after CutAfter tokens.
	CutNext  int `json:"cut_next,omitempty"`
	CutAfter int `json:"cut_after,omitempty"`
	// HangNext is how many calls block until their caller gives up.
	HangNext int `json:"hang_next,omitempty"`
	// FailAll makes every call return an error.
	FailAll bool `json:"fail_all,omitempty"`
	// Crash makes the process crash at once; MakeCold makes the engine cold.
	Crash    bool `json:"crash,omitempty"`
	MakeCold bool `json:"chill,omitempty"`
}

// engineFaults assigns the configured faults to calls, and counts refusals and
// tokens.
type engineFaults struct {
	mu      sync.Mutex
	faults  EngineFaults
	refused int
	tokens  TokenStats
}

// SetFaults replaces the faults to inject. MakeCold and Crash take effect at once.
func (e *Engine) SetFaults(f EngineFaults) {
	e.faults.set(f)
	if f.MakeCold {
		e.MakeCold()
	}
	if f.Crash {
		e.Crash()
	}
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if !readJSON(w, r, &f) {
		return
	}
	crash := f.Crash
	f.Crash = false
	e.SetFaults(f)
	if crash {
		e.answerThenCrash(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (f *engineFaults) set(v EngineFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = v
}

// next returns the fault of the next call and decrements its count, if it has one.
// cutAfter applies to faultDropAfter only.
func (f *engineFaults) next() (kind faultKind, cutAfter int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.faults.RefuseNext > 0:
		f.faults.RefuseNext--
		return faultRefuse, 0
	case f.faults.CutNext > 0:
		f.faults.CutNext--
		return faultDropAfter, f.faults.CutAfter
	case f.faults.HangNext > 0:
		f.faults.HangNext--
		return faultHang, 0
	case f.faults.FailAll:
		return faultError, 0
	}
	return faultNone, 0
}

func (f *engineFaults) slowFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Slow <= 0 {
		return 1
	}
	return f.faults.Slow
}

func (f *engineFaults) countRefusal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused++
}

func (f *engineFaults) addTokens(t TokenStats) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens.Prompt += t.Prompt
	f.tokens.Cached += t.Cached
	f.tokens.Generated += t.Generated
	f.tokens.Resumed += t.Resumed
	f.tokens.Cancelled += t.Cancelled
}

func (f *engineFaults) counts() (refused int, tokens TokenStats) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused, f.tokens
}

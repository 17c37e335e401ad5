package standin

import (
	"net/http"
	"sync"
)

// EngineFaults are failures of an engine, brought about on demand.
type EngineFaults struct {
	// Slow multiplies the time of each step; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// RefuseNext calls are refused as not run.
	RefuseNext int `json:"refuse_next,omitempty"`
	// CutNext streams lose their connection after CutAfter tokens.
	CutNext  int `json:"cut_next,omitempty"`
	CutAfter int `json:"cut_after,omitempty"`
	// HangNext calls get no answer for as long as their caller waits.
	HangNext int `json:"hang_next,omitempty"`
	// FailAll answers every call with an error.
	FailAll bool `json:"fail_all,omitempty"`
	// Crash kills the process now, Chill turns it cold.
	Crash    bool `json:"crash,omitempty"`
	MakeCold bool `json:"chill,omitempty"`
}

// engineFaults hands the faults in force out to calls, and counts.
type engineFaults struct {
	mu      sync.Mutex
	faults  EngineFaults
	refusal int
	tokens  TokenStats
}

// SetFaults replaces the faults.
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
	w.WriteHeader(http.StatusNoContent)
	e.SetFaults(f)
}

func (f *engineFaults) set(v EngineFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = v
}

// draw takes the fault of the next call; cutAfter goes with faultAfter.
func (f *engineFaults) draw() (is fault, cutAfter int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.faults.RefuseNext > 0:
		f.faults.RefuseNext--
		return faultRefuse, 0
	case f.faults.CutNext > 0:
		f.faults.CutNext--
		return faultAfter, f.faults.CutAfter
	case f.faults.HangNext > 0:
		f.faults.HangNext--
		return faultHang, 0
	case f.faults.FailAll:
		return faultError, 0
	}
	return faultNone, 0
}

func (f *engineFaults) slow() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Slow <= 0 {
		return 1
	}
	return f.faults.Slow
}

func (f *engineFaults) refused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusal++
}

func (f *engineFaults) add(t TokenStats) {
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
	return f.refusal, f.tokens
}

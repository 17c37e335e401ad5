package standin

import (
	"sync"

	"github.com/azurelead/azurelead/contract"
)

// ColdStart describes how an endpoint starts: cold, it bears only a few calls
// at once and is slow; with enough answers it grows warm.
type ColdStart struct {
	// Limit is the declared number of calls that a cold endpoint bears at
	// once; one more makes it crash. 0 means that it starts warm.
	Limit int `json:"limit"`
	// Answers is how many calls a cold endpoint has to answer to grow warm.
	Answers int `json:"answers"`
	// Slowdown multiplies the time of a call while cold; 0 means 1.
	Slowdown float64 `json:"slowdown"`
}

// warmth counts the calls in flight and decides when a cold endpoint has had
// more than it bears.
type warmth struct {
	start ColdStart

	mu       sync.Mutex
	cold     bool
	answers  int
	inFlight int
	peak     int
	coldPeak int
}

func newWarmth(s ColdStart) *warmth { return &warmth{start: s, cold: s.Limit > 0} }

// health is the report of an endpoint in the given life of its process.
func (w *warmth) health(boot contract.BootID) Health {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Health{Boot: string(boot), Cold: w.cold, ColdLimit: w.start.Limit, InFlight: w.inFlight}
}

// enter admits one call and reports whether the endpoint survives it.
func (w *warmth) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight++
	w.peak = max(w.peak, w.inFlight)
	if !w.cold {
		return true
	}
	w.coldPeak = max(w.coldPeak, w.inFlight)
	return w.inFlight <= w.start.Limit
}

// leave ends one call; answered tells whether it ran to its end.
func (w *warmth) leave(answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if !w.cold || !answered {
		return
	}
	w.answers++
	w.cold = w.answers < w.start.Answers
}

// chill turns the endpoint cold.
func (w *warmth) chill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold = w.start.Limit > 0
	w.answers = 0
}

func (w *warmth) isCold() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cold
}

func (w *warmth) slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.cold || w.start.Slowdown <= 0 {
		return 1
	}
	return w.start.Slowdown
}

// peaks returns the calls in flight now, at most, and at most while cold.
func (w *warmth) peaks() (inFlight, peak, coldPeak int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight, w.peak, w.coldPeak
}

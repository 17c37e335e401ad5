package standin

import (
	"sync"

	"github.com/azurelead/azurelead/contract"
)

// ColdStart describes an endpoint that is cold after a start: it is slow and
// crashes above a low number of concurrent calls, until it has answered enough
// calls to be warm.
type ColdStart struct {
	// Limit is the declared maximum of concurrent calls while cold; one more
	// call makes the endpoint crash. 0 means that the endpoint starts warm.
	Limit int `json:"limit"`
	// Answers is the number of answered calls after which the endpoint is warm.
	Answers int `json:"answers"`
	// Slowdown multiplies the execution time of calls while cold; 0 means 1.
	Slowdown float64 `json:"slowdown"`
}

// warmUp counts the calls in flight and tracks whether the endpoint is cold.
type warmUp struct {
	options ColdStart

	mu       sync.Mutex
	cold     bool
	answers  int
	inFlight int
	peak     int
	coldPeak int
}

func newWarmUp(s ColdStart) *warmUp { return &warmUp{options: s, cold: s.Limit > 0} }

// health returns the health report of an endpoint with the given boot id.
func (w *warmUp) health(boot contract.BootID) Health {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Health{Boot: string(boot), Cold: w.cold, ColdLimit: w.options.Limit, InFlight: w.inFlight}
}

// begin counts a call as in flight and reports false if it exceeds the cold limit, so
// that the endpoint crashes.
func (w *warmUp) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight++
	w.peak = max(w.peak, w.inFlight)
	if !w.cold {
		return true
	}
	w.coldPeak = max(w.coldPeak, w.inFlight)
	return w.inFlight <= w.options.Limit
}

// end counts a call as finished. Only answered calls count towards becoming warm.
func (w *warmUp) end(answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if !w.cold || !answered {
		return
	}
	w.answers++
	w.cold = w.answers < w.options.Answers
}

// reset makes the endpoint cold if it has a cold limit.
func (w *warmUp) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold = w.options.Limit > 0
	w.answers = 0
}

func (w *warmUp) isCold() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cold
}

func (w *warmUp) slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.cold || w.options.Slowdown <= 0 {
		return 1
	}
	return w.options.Slowdown
}

// callCounts returns the current number of calls in flight, its maximum and its maximum
// while cold.
func (w *warmUp) callCounts() (inFlight, peak, coldPeak int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight, w.peak, w.coldPeak
}

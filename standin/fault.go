package standin

import "sync"

// fault is what befalls one call.
type fault int

const (
	faultNone fault = iota
	faultRefuse
	faultBefore
	faultAfter
	faultHang
	faultError
)

// stationFaults hands the faults in force out to calls.
type stationFaults struct {
	mu      sync.Mutex
	faults  WorkerFaults
	refusal int
}

func (f *stationFaults) set(v WorkerFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = v
}

// draw takes the fault of the next call.
func (f *stationFaults) draw() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	counted := []struct {
		left *int
		is   fault
	}{
		{&f.faults.RefuseNext, faultRefuse},
		{&f.faults.FailBeforeNext, faultBefore},
		{&f.faults.FailAfterNext, faultAfter},
		{&f.faults.HangNext, faultHang},
	}
	for _, c := range counted {
		if *c.left > 0 {
			*c.left--
			return c.is
		}
	}
	if f.faults.FailAll {
		return faultError
	}
	return faultNone
}

func (f *stationFaults) slow() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Slow <= 0 {
		return 1
	}
	return f.faults.Slow
}

func (f *stationFaults) refused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusal++
}

func (f *stationFaults) refusals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusal
}

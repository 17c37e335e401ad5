package standin

import "sync"

// faultKind is the kind of fault that is injected into one call.
type faultKind int

const (
	faultNone faultKind = iota
	faultRefuse
	faultDropBefore
	faultDropAfter
	faultHang
	faultError
)

// workerFaults assigns the configured faults to calls.
type workerFaults struct {
	mu      sync.Mutex
	faults  WorkerFaults
	refused int
}

func (f *workerFaults) set(v WorkerFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = v
}

// next returns the fault of the next call and decrements its count, if it has one.
func (f *workerFaults) next() faultKind {
	f.mu.Lock()
	defer f.mu.Unlock()
	countedFaults := []struct {
		remaining *int
		kind      faultKind
	}{
		{&f.faults.RefuseNext, faultRefuse},
		{&f.faults.FailBeforeNext, faultDropBefore},
		{&f.faults.FailAfterNext, faultDropAfter},
		{&f.faults.HangNext, faultHang},
	}
	for _, c := range countedFaults {
		if *c.remaining > 0 {
			*c.remaining--
			return c.kind
		}
	}
	if f.faults.FailAll {
		return faultError
	}
	return faultNone
}

func (f *workerFaults) slowFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Slow <= 0 {
		return 1
	}
	return f.faults.Slow
}

func (f *workerFaults) countRefusal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused++
}

func (f *workerFaults) refusals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

package entry

import (
	"sync"
	"time"
)

const (
	// sharesMin is the lowest capacity that pressure cuts an entry down to.
	sharesMin = 4
	// sharesCut is the factor by which a sign of overload lowers the capacity.
	sharesCut = 0.95
	// sharesCutEvery is the shortest time between two cuts, about the time in
	// which a cut shows.
	sharesCutEvery = 100 * time.Millisecond
	// sharesCalm without a cut makes the capacity grow by one for as many good
	// answers as it holds; sharesMaxCalm bounds the growth at its square of that.
	sharesCalm    = 5 * time.Second
	sharesMaxCalm = 3
	// sharesActive is how long an organisation without requests keeps its share.
	sharesActive = time.Second
	// sharesUnlimited is the capacity before the first sign of overload.
	sharesUnlimited = 1 << 20
)

// orgShare is the state of one organisation.
type orgShare struct {
	weight   int
	inFlight int
	last     time.Time
}

// FairShares divides an entry's concurrency between organisations by weight. The
// capacity follows signs of overload by additive increase and multiplicative
// decrease. While there is room everybody may use it; when it is full, only
// organisations below their share start new requests.
type FairShares struct {
	mu       sync.Mutex
	capacity float64
	total    int
	orgs     map[string]*orgShare
	cutAt    time.Time
}

// NewFairShares returns shares with an unlimited capacity.
func NewFairShares() *FairShares {
	return &FairShares{capacity: sharesUnlimited, orgs: make(map[string]*orgShare)}
}

// TryAcquire starts a request of an organisation, and reports whether it may run.
func (s *FairShares) TryAcquire(now time.Time, organisation string, weight int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.org(organisation, weight)
	o.last = now
	if float64(s.total) >= s.capacity && float64(o.inFlight) >= s.share(now, o) {
		return false
	}
	o.inFlight++
	s.total++
	return true
}

func (s *FairShares) org(organisation string, weight int) *orgShare {
	o := s.orgs[organisation]
	if o == nil {
		o = &orgShare{}
		s.orgs[organisation] = o
	}
	o.weight = max(weight, 1)
	return o
}

// share is the part of the capacity that o may always use; at least one.
func (s *FairShares) share(now time.Time, o *orgShare) float64 {
	sum := 0
	for name, other := range s.orgs {
		idle := other.inFlight == 0 && now.Sub(other.last) > sharesActive
		if idle {
			delete(s.orgs, name)
			continue
		}
		sum += other.weight
	}
	return max(s.capacity*float64(o.weight)/float64(max(sum, 1)), 1)
}

// Release ends a request that entered.
func (s *FairShares) Release(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	if o := s.orgs[organisation]; o != nil {
		o.inFlight--
	}
}

// OnOverload takes a sign of overload.
func (s *FairShares) OnOverload(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.cutAt) < sharesCutEvery {
		return
	}
	s.cutAt = now
	s.capacity = max(min(s.capacity, float64(s.total))*sharesCut, sharesMin)
}

// OnSuccess takes a good end of a request. The capacity grows slowly after a
// cut and faster the longer none was needed: it stays below the limit that was
// found, and still follows a fleet that has grown.
func (s *FairShares) OnSuccess(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calm := min(now.Sub(s.cutAt).Seconds()/sharesCalm.Seconds(), sharesMaxCalm)
	s.capacity = min(s.capacity+calm*calm/max(s.capacity, 1), sharesUnlimited)
}

// Usage returns the requests in flight and the capacity.
func (s *FairShares) Usage() (inFlight int, capacity float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.capacity
}

// pipelineShares keeps the shares of each pipeline, so that one whose stage is
// overloaded takes nothing from the others.
type pipelineShares struct {
	mu    sync.Mutex
	named map[string]*FairShares
}

func newPipelineShares() *pipelineShares { return &pipelineShares{named: make(map[string]*FairShares)} }

func (p *pipelineShares) of(pipeline string) *FairShares {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.named[pipeline]
	if s == nil {
		s = NewFairShares()
		p.named[pipeline] = s
	}
	return s
}

// total sums the requests in flight.
func (p *pipelineShares) total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.named {
		inFlight, _ := s.Usage()
		n += inFlight
	}
	return n
}

package entry

import (
	"sync"
	"time"
)

const (
	// minCapacity is the lowest capacity, in requests, that overload can reduce an entry to.
	minCapacity = 4
	// overloadDecrease is the factor by which overload reduces the capacity.
	overloadDecrease = 0.95
	// decreaseInterval is the shortest time between two decreases, about the time that a
	// decrease takes to have an effect.
	decreaseInterval = 100 * time.Millisecond
	// recoveryPeriod scales the growth of the capacity. One period after a decrease, the
	// capacity grows by one for every full capacity of successful requests. The growth
	// increases with the square of the elapsed periods, of which at most
	// maxRecoveryFactor count.
	recoveryPeriod    = 5 * time.Second
	maxRecoveryFactor = 3
	// shareRetention is how long an organisation without requests keeps its share.
	shareRetention = time.Second
	// unlimitedCapacity is the capacity before the first overload.
	unlimitedCapacity = 1 << 20
)

// orgShare is the state of one organisation.
type orgShare struct {
	weight      int
	inFlight    int
	lastRequest time.Time
}

// FairShares divides an entry's concurrency between organisations by weight. The
// capacity adapts to overload by additive increase and multiplicative decrease. While
// there is spare capacity, any organisation may use it. At full capacity only
// organisations below their share may start new requests.
type FairShares struct {
	mu           sync.Mutex
	capacity     float64
	total        int
	orgs         map[string]*orgShare
	lastDecrease time.Time
}

// NewFairShares returns shares with an unlimited capacity.
func NewFairShares() *FairShares {
	return &FairShares{capacity: unlimitedCapacity, orgs: make(map[string]*orgShare)}
}

// TryAcquire acquires a slot for a request of an organisation. It reports whether the
// request may run.
func (s *FairShares) TryAcquire(now time.Time, organisation string, weight int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.orgState(organisation, weight)
	o.lastRequest = now
	if float64(s.total) >= s.capacity && float64(o.inFlight) >= s.share(now, o) {
		return false
	}
	o.inFlight++
	s.total++
	return true
}

func (s *FairShares) orgState(organisation string, weight int) *orgShare {
	o := s.orgs[organisation]
	if o == nil {
		o = &orgShare{}
		s.orgs[organisation] = o
	}
	o.weight = max(weight, 1)
	return o
}

// share returns the part of the capacity that o may always use, at least one request.
func (s *FairShares) share(now time.Time, o *orgShare) float64 {
	totalWeight := 0
	for name, other := range s.orgs {
		idle := other.inFlight == 0 && now.Sub(other.lastRequest) > shareRetention
		if idle {
			delete(s.orgs, name)
			continue
		}
		totalWeight += other.weight
	}
	return max(s.capacity*float64(o.weight)/float64(max(totalWeight, 1)), 1)
}

// Release releases a slot that TryAcquire acquired.
func (s *FairShares) Release(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	if o := s.orgs[organisation]; o != nil {
		o.inFlight--
	}
}

// OnOverload reduces the capacity after a request failed because of overload.
func (s *FairShares) OnOverload(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastDecrease) < decreaseInterval {
		return
	}
	s.lastDecrease = now
	s.capacity = max(min(s.capacity, float64(s.total))*overloadDecrease, minCapacity)
}

// OnSuccess increases the capacity after a request succeeded. Growth is slow after a
// decrease and becomes faster with the time since. The capacity thus stays below the
// limit that was found, and still follows a fleet that has grown.
func (s *FairShares) OnSuccess(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recovery := min(now.Sub(s.lastDecrease).Seconds()/recoveryPeriod.Seconds(), maxRecoveryFactor)
	s.capacity = min(s.capacity+recovery*recovery/max(s.capacity, 1), unlimitedCapacity)
}

// Usage returns the requests in flight and the capacity.
func (s *FairShares) Usage() (inFlight int, capacity float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.capacity
}

// pipelineShares holds separate shares per pipeline, so that a pipeline with an
// overloaded stage takes no capacity from the others.
type pipelineShares struct {
	mu         sync.Mutex
	byPipeline map[string]*FairShares
}

func newPipelineShares() *pipelineShares {
	return &pipelineShares{byPipeline: make(map[string]*FairShares)}
}

func (p *pipelineShares) forPipeline(pipeline string) *FairShares {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byPipeline[pipeline]
	if s == nil {
		s = NewFairShares()
		p.byPipeline[pipeline] = s
	}
	return s
}

// total returns the requests in flight of all pipelines.
func (p *pipelineShares) total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.byPipeline {
		inFlight, _ := s.Usage()
		n += inFlight
	}
	return n
}

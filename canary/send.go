package canary

import (
	"sync"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/rollout"
)

// Send is one request to an endpoint of a service with an undecided roll-out. A nil Send records nothing.
type Send struct {
	tracker *Tracker
	order   *order
	source  rollout.Source
	earlier bool
	cold    bool
	once    sync.Once
}

// Begin records that a request is sent to an endpoint. route is empty for stage calls, and cold is set if the endpoint has
// just started, so that the time of its answer does not count.
func (t *Tracker) Begin(e catalog.Endpoint, route string, cold bool) *Send {
	if t == nil || !t.active.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[e.Service]
	if o == nil || o.isDecided() {
		return nil
	}
	o.limiter.Sent()
	s := &Send{tracker: t, order: o, source: rollout.Source{Route: route}, earlier: e.Version != o.Target, cold: cold}
	if s.earlier {
		o.inFlight++
	} else {
		s.source.Endpoint = e.ID
		s.cold = cold || time.Since(o.firstSeen[e.ID]) < rollout.WarmUpTime
	}
	return s
}

// Answered records a complete response. latency is relative to the expected latency of the request, if that is known.
func (s *Send) Answered(failed bool, latency time.Duration) {
	if s == nil {
		return
	}
	if s.cold {
		latency = 0
	}
	s.end(&rollout.Answer{Source: s.source, Failed: failed, Latency: latency})
}

// Lost records that the request was sent and its answer was lost, or is not whole.
func (s *Send) Lost() {
	if s != nil {
		s.end(&rollout.Answer{Source: s.source, Failed: true})
	}
}

// End records the end of a request whose outcome shows nothing about the version, unless another end was recorded.
func (s *Send) End() {
	if s != nil {
		s.end(nil)
	}
}

func (s *Send) end(a *rollout.Answer) {
	s.once.Do(func() {
		s.tracker.mu.Lock()
		defer s.tracker.mu.Unlock()
		if s.earlier {
			s.order.inFlight--
		}
		if a != nil {
			s.order.answers.Record(*a)
		}
	})
}

// Package speed estimates how fast endpoints work from what they state of themselves, as a factor of what their services
// declare: 1 is as declared, 2 is twice as long. It performs no I/O.
//
// The load that it answers is a service whose endpoints differ: with one figure for all of them, the slow ones get as many
// requests as the fast ones, and their requests are late.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// statedSamples is the number of the latest stated factors of which the median counts. A noisy second has fewer than half
	// of them at two requests a second, and a lasting change has more than half within two seconds.
	statedSamples = 5
	// minFactor and maxFactor bound stated factors.
	minFactor, maxFactor = 0.1, 20
	// loadSlope is the part by which each request at an engine slows down a further one, as measured: 0.97, 1.43, 1.81 and
	// 2.51 times the forecast with 1.5, 4.5, 8 and 12.5 running.
	loadSlope = 0.16
	// loadDecay is the time constant with which a stated load loses its weight. Requests run for about that long.
	loadDecay = time.Second
)

// Load is what an endpoint states of itself.
type Load struct {
	// Requests is the number of running and waiting requests.
	Requests int
	// WorkFactor is how long work takes at the moment, as a factor; 0 if that is not stated.
	WorkFactor float64
}

// Estimate is what is known of the speed of one process of an endpoint. The zero value takes it to work as declared.
type Estimate struct {
	stated []float64
	// requests is the number of requests at the endpoint as of requestsAt: the stated number and those sent since.
	requests   float64
	requestsAt time.Time
}

// State takes in what the endpoint states.
func (e *Estimate) State(now time.Time, l Load) {
	e.requests, e.requestsAt = float64(max(l.Requests, 0)), now
	if l.WorkFactor > 0 {
		e.stated = append(e.stated, min(max(l.WorkFactor, minFactor), maxFactor))
		e.stated = e.stated[max(len(e.stated)-statedSamples, 0):]
	}
}

// Sent records that a request is sent to an endpoint whose load is known.
func (e *Estimate) Sent(now time.Time) {
	if !e.requestsAt.IsZero() {
		e.requests, e.requestsAt = e.requestsNow(now)+1, now
	}
}

func (e *Estimate) requestsNow(now time.Time) float64 {
	return e.requests * math.Exp(-max(now.Sub(e.requestsAt), 0).Seconds()/loadDecay.Seconds())
}

// WorkFactor returns the lasting factor that the endpoint states, without short deviations; 1 if it states none.
func (e *Estimate) WorkFactor() float64 {
	if len(e.stated) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(e.stated))
	n := len(sorted)
	return math.Sqrt(sorted[(n-1)/2] * sorted[n/2])
}

// LoadFactor returns the factor by which the requests at the endpoint slow down a further one. It is 1 for an endpoint that
// states no work factor: where all work alike, sending requests away from loaded ones made engines read more prompts again
// than it saved.
func (e *Estimate) LoadFactor(now time.Time) float64 {
	if len(e.stated) == 0 {
		return 1
	}
	return 1 + loadSlope*e.requestsNow(now)
}

// Factor returns the expected factor of a request's time.
func (e *Estimate) Factor(now time.Time) float64 {
	if len(e.stated) == 0 {
		return 1
	}
	return e.WorkFactor() * e.LoadFactor(now)
}

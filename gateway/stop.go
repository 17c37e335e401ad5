package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// stoppingReason is the reason of responses to requests that end because this entry stops.
	stoppingReason = "this entry is stopping"
	// stoppingRetryAfter is the retry delay sent by a stopping entry; the retry goes to another
	// entry.
	stoppingRetryAfter = 50 * time.Millisecond
)

// errStopping is the cause of contexts that end because this entry stops.
var errStopping = Error.New(stoppingReason)

// errUnblocked is returned by the reading of bodies that are not to be waited for.
var errUnblocked = Error.New("the body is not waited for")

// isStopping reports whether ctx has ended because this entry stops.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// phase says how far a request has got.
type phase int

const (
	// phaseReading: the body is being read.
	phaseReading phase = iota
	// phaseWaiting: no endpoint has been sent the request, which may be waiting for its stages.
	phaseWaiting
	// phaseSent: an endpoint has been sent the request.
	phaseSent
	// phaseStopped: the request goes no further, as this entry stops.
	phaseStopped
)

// progress is the phase of a request, which a stop may end.
type progress struct {
	// cancel ends the request's context, unblockBody the reading of its body.
	cancel      context.CancelCauseFunc
	unblockBody func()

	mu    sync.Mutex
	phase phase
	// unblocked is set once the body is not to be waited for. A read that was ended has also ended the context of
	// the client's connection.
	unblocked bool
}

// advance moves the request to a phase unless it is there already. It reports false if the request has been stopped.
func (p *progress) advance(to phase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.phase = max(p.phase, to)
	return p.phase != phaseStopped
}

// reached reports whether the request has got to a phase.
func (p *progress) reached(ph phase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.phase >= ph
}

// reject stops a new request, whose answer does not wait for its body.
func (p *progress) reject() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.phase, p.unblocked = phaseStopped, true
}

// boundReading calls set, which bounds the reading of the body, unless the body is not to be waited for.
func (p *progress) boundReading(set func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unblocked {
		return errUnblocked
	}
	return set()
}

// unblock records that the body is not to be waited for.
func (p *progress) unblock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unblocked = true
}

// stop stops a request that has not got further than last.
func (p *progress) stop(last phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase > last {
		return
	}
	if p.phase == phaseReading {
		p.unblocked = true
		p.unblockBody()
	}
	p.phase = phaseStopped
	p.cancel(errStopping)
}

// wasUnblocked reports whether this entry has ended the reading of the body.
func (p *progress) wasUnblocked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unblocked
}

// inFlight holds the requests that have not been answered.
type inFlight struct {
	mu       sync.Mutex
	requests map[*progress]bool
	// rejecting is set once new requests are stopped.
	rejecting bool
	// idle is closed when there are no requests; nil until it is asked for.
	idle chan struct{}
}

// add adds a new request.
func (f *inFlight) add(p *progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[p] = true
	if f.rejecting {
		p.reject()
	}
}

// remove removes a request that has been answered.
func (f *inFlight) remove(p *progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, p)
	if len(f.requests) == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// stop stops new requests, and those in flight that have not got further than last.
func (f *inFlight) stop(last phase) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejecting = true
	for p := range f.requests {
		p.stop(last)
	}
}

// whenIdle returns a channel that is closed when no request is in flight.
func (f *inFlight) whenIdle() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == nil {
		f.idle = make(chan struct{})
		if len(f.requests) == 0 {
			idle := f.idle
			f.idle = nil
			close(idle)
			return idle
		}
	}
	return f.idle
}

// RejectNewRequests makes the gateway answer new requests as not run, and those whose body it has not read. It is called
// after DisableKeepAlives, once the balancer sends no new connections.
func (g *Gateway) RejectNewRequests() { g.inFlight.stop(phaseReading) }

// RefuseWaiting also answers requests as not run that no endpoint has been sent. It is called when the rest of the
// grace period may be too short to run them.
func (g *Gateway) RefuseWaiting() { g.inFlight.stop(phaseWaiting) }

// EndRequests answers all requests in flight: as not run, or as possibly run if an endpoint has been sent the
// request. Streams that have begun are broken off.
func (g *Gateway) EndRequests() { g.inFlight.stop(phaseSent) }

// Idle returns a channel that is closed when no request is in flight.
func (g *Gateway) Idle() <-chan struct{} { return g.inFlight.whenIdle() }

// unblockBody returns a function that ends the reading of a request's body.
func unblockBody(w http.ResponseWriter) func() {
	return func() {
		// Without it the body is read until the deadline that bounds its reading.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	}
}

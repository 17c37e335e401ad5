package dispatch

import "github.com/azurelead/azurelead/rollout"

// trial bounds the calls to the endpoints of a version whose roll-out is undecided. They are no part of the capacity, as
// they may get no calls from one moment to the next. A nil trial has no endpoints.
type trial struct {
	target  string
	limiter *rollout.Limiter
}

// SetTrial bounds the calls to a service's endpoints of a software version by a share of all its calls. An empty
// version, or a share of 1, ends the trial.
func (d *Dispatcher) SetTrial(service, version string, share float64) {
	p := d.pools[service]
	switch {
	case p == nil:
		return
	case version == "" || share <= 0 || share >= 1:
		p.trial = nil
		return
	case p.trial == nil || p.trial.target != version:
		p.trial = &trial{target: version, limiter: rollout.NewLimiter(0)}
	}
	p.trial.limiter.SetShare(share)
}

// includes reports whether an endpoint is on trial.
func (t *trial) includes(e *endpoint) bool { return t != nil && e.Version == t.target }

// tryTake reports whether an endpoint may get a call. It takes the credit for that from a trial.
func (t *trial) tryTake(e *endpoint) bool { return !t.includes(e) || t.limiter.TryTake() }

// refund gives back the credit for a call that was not made.
func (t *trial) refund(e *endpoint) {
	if t.includes(e) {
		t.limiter.Refund()
	}
}

// sent records a call to an endpoint of the service.
func (t *trial) sent() {
	if t != nil {
		t.limiter.Sent()
	}
}

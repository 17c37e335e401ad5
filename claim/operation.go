package claim

import (
	"time"
)

// Action is the change that an operation makes to a claim.
type Action string

// The actions on claims.
const (
	ActionAcquire Action = "acquire"
	ActionFinish  Action = "finish"
	ActionRelease Action = "release"
)

// operation is one action on a claim, applied by an update of its shard.
type operation struct {
	action    Action
	request   Request
	outcome   Outcome
	id        ID
	size      int
	createdAt time.Time
	// mayTakeEffect is set when a write that included the operation failed with an
	// unknown result, so that the operation may still take effect.
	mayTakeEffect bool
	done          chan result
}

// result is the result of an operation.
type result struct {
	decision Decision
	err      error
}

func newOperation(a Action, r Request, o Outcome) *operation {
	size := len(r.Fingerprint) + len(r.Attempt) + len(o.Body) + len(o.Detail) + 128
	for _, c := range r.Candidates {
		size += len(c.Agent) + len(c.Addr) + len(c.Boot) + 32
	}
	return &operation{
		action:    a,
		request:   r,
		outcome:   o,
		id:        NewID(r.Organisation, r.Key),
		size:      size,
		createdAt: time.Now(),
		done:      make(chan result, 1),
	}
}

// apply returns the effect of the operation on the key's record.
func (o *operation) apply(r Record) transition {
	switch o.action {
	case ActionFinish:
		return r.finish(o.request, o.outcome)
	case ActionRelease:
		return r.release(o.request)
	}
	return r.acquire(o.request)
}

// validIfStale reports whether the transition's result is valid even if the record was
// stale. This holds for a recorded outcome, since it never changes.
func (t transition) validIfStale() bool {
	return t.err == nil && t.decision.State != Held && t.decision.State != KeyReused
}

// fail answers the operation with err. The error is of class ambiguous if the
// operation may still take effect.
func (o *operation) fail(err error) {
	if o.mayTakeEffect {
		err = ambiguous.Wrap(err)
	}
	o.done <- result{err: err}
}

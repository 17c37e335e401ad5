package claim

import (
	"time"
)

// Action is what an operation does to a claim.
type Action string

// The actions on claims.
const (
	ActionAcquire Action = "acquire"
	ActionFinish  Action = "finish"
	ActionRelease Action = "release"
)

// operation is one action that waits for an update of its shard.
type operation struct {
	action  Action
	request Request
	outcome Outcome
	id      ID
	size    int
	arrived time.Time
	// open is set once a write that held the operation ended unanswered: it
	// may still take effect.
	open bool
	done chan result
}

// result answers an operation.
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
		action:  a,
		request: r,
		outcome: o,
		id:      NewID(r.Organisation, r.Key),
		size:    size,
		arrived: time.Now(),
		done:    make(chan result, 1),
	}
}

// apply decides the operation on the key's record.
func (o *operation) apply(r Record) transition {
	switch o.action {
	case ActionFinish:
		return r.finish(o.request, o.outcome)
	case ActionRelease:
		return r.release(o.request)
	}
	return r.acquire(o.request)
}

// settles reports whether the transition may be answered from a record that
// could be stale: a recorded outcome never changes.
func (t transition) settles() bool {
	return t.err == nil && t.decision.State != Held && t.decision.State != KeyReused
}

// fail answers the operation with err, and says when its effect is open.
func (o *operation) fail(err error) {
	if o.open {
		err = ambiguous.Wrap(err)
	}
	o.done <- result{err: err}
}

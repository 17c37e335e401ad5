package claim

import (
	"context"
	"encoding/json"
)

// Message carries one operation to a shard's usual writer.
type Message struct {
	Action  Action   `json:"action"`
	Request Request  `json:"request"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Failure is why a writer did not do what a Message asked.
type Failure string

// The failures of writers.
const (
	// FailureUnavailable: the store could not be asked, or did not answer.
	FailureUnavailable Failure = "unavailable"
	// FailureNotHolder: the attempt does not hold the claim.
	FailureNotHolder Failure = "not_holder"
	// FailureAbandoned: the attempt was given up before.
	FailureAbandoned Failure = "given_up"
	// FailureInvalid: the request makes no sense.
	FailureInvalid Failure = "invalid"
)

// Reply answers a Message.
type Reply struct {
	Decision Decision `json:"decision"`
	Failure  Failure  `json:"failure,omitempty"`
	// Ambiguous is set when the operation may still take effect.
	Ambiguous bool   `json:"open,omitempty"`
	Detail    string `json:"detail,omitempty"`
}

// Writer serves claims to other processes, in the agent that is the usual
// writer of a shard. It never gives an attempt up by itself: the process that
// asked may have turned to another writer with the same attempt.
type Writer struct{ ledger *Ledger }

// NewWriter returns a writer on the ledger.
func NewWriter(l *Ledger) *Writer { return &Writer{ledger: l} }

// Handle serves link.MethodClaim.
func (w *Writer) Handle(ctx context.Context, params json.RawMessage) (any, error) {
	var m Message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, Error.Wrap(err)
	}
	return w.ledger.serve(ctx, m), nil
}

func (l *Ledger) serve(ctx context.Context, m Message) Reply {
	var o Outcome
	if m.Outcome != nil {
		o = *m.Outcome
	}
	d, err := l.do(ctx, m.Action, m.Request, o)
	if err == nil {
		return Reply{Decision: d}
	}
	return Reply{Failure: failureOf(err), Ambiguous: ambiguous.Has(err), Detail: err.Error()}
}

func failureOf(err error) Failure {
	switch {
	case NotHolder.Has(err):
		return FailureNotHolder
	case Abandoned.Has(err):
		return FailureAbandoned
	case Unavailable.Has(err):
		return FailureUnavailable
	}
	return FailureInvalid
}

// err returns the reply's failure as an error.
func (r Reply) err() error {
	switch r.Failure {
	case "":
		return nil
	case FailureNotHolder:
		return NotHolder.New("%s", r.Detail)
	case FailureAbandoned:
		return Abandoned.New("%s", r.Detail)
	case FailureInvalid:
		return Error.New("%s", r.Detail)
	}
	return Unavailable.New("%s", r.Detail)
}

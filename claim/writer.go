package claim

import (
	"context"
	"encoding/json"
)

// Message is one operation that is sent to a writer of the key's shard.
type Message struct {
	Action  Action   `json:"action"`
	Request Request  `json:"request"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Failure is the reason why a writer did not apply the operation of a Message.
type Failure string

// The reasons for failure.
const (
	// FailureUnavailable means that the store could not be called, or did not answer.
	FailureUnavailable Failure = "unavailable"
	// FailureNotHolder means that the attempt does not hold the claim.
	FailureNotHolder Failure = "not_holder"
	// FailureAbandoned means that the attempt was abandoned before.
	FailureAbandoned Failure = "given_up"
	// FailureInvalid means that the request is invalid.
	FailureInvalid Failure = "invalid"
)

// Reply is the response to a Message.
type Reply struct {
	Decision Decision `json:"decision"`
	Failure  Failure  `json:"failure,omitempty"`
	// Ambiguous is set if the operation failed but may still take effect.
	Ambiguous bool   `json:"open,omitempty"`
	Detail    string `json:"detail,omitempty"`
}

// Writer serves claims to other processes. It runs in agents, each of which is the
// preferred writer of some shards. It never abandons an attempt by itself, since the
// requesting process may have sent the same attempt to another writer.
type Writer struct{ ledger *Ledger }

// NewWriter returns a writer that uses the ledger.
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
	d, err := l.execute(ctx, m.Action, m.Request, o)
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

// err returns the reply's failure as an error, or nil if there is none.
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

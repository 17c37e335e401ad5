// Package claim makes calls that may not be repeated run at most once. Each
// such call is claimed by a conditional write in the platform's object API
// before it is sent; a finished claim replays its outcome, and a claim without
// an outcome is never run again unless every agent that could have had the
// call proves that it never ran.
package claim

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/contract"
)

// Unavailable is the class of errors after which no claim was granted: the
// call must be refused as not run.
var Unavailable = errs.Class("claim store unavailable")

// Candidate is an agent that the holder of a claim may hand the call to.
type Candidate struct {
	Agent string          `json:"agent"`
	Addr  string          `json:"addr"`
	Boot  contract.BootID `json:"boot"`
}

// Request asks for a claim.
type Request struct {
	Organisation string `json:"organisation"`
	// Key is the caller's idempotency key together with the stage's name.
	Key string `json:"key"`
	// Fingerprint is of pipeline, stage and body: a key that comes again with
	// another fingerprint is refused.
	Fingerprint string             `json:"fingerprint"`
	Attempt     contract.AttemptID `json:"attempt"`
	Candidates  []Candidate        `json:"candidates"`
}

// State is what the store knows of a claim.
type State string

// The states of claims.
const (
	// Granted: this request holds the claim and may hand the call over.
	Granted State = "granted"
	// Held: another attempt holds it and has recorded no outcome.
	Held State = "held"
	// Finished: the outcome is recorded.
	Finished State = "finished"
	// KeyReused: the key was claimed for another call.
	KeyReused State = "key_reused"
)

// Outcome is the recorded end of a claimed call.
type Outcome struct {
	Run  contract.RunState `json:"run"`
	Code contract.Code     `json:"code,omitempty"`
	// Detail explains Code.
	Detail string          `json:"detail,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Decision answers a Request. Attempt and Candidates are the holder's, so
// that a caller who finds the claim held can ask the agents about it.
type Decision struct {
	State      State              `json:"state"`
	Attempt    contract.AttemptID `json:"attempt"`
	Candidates []Candidate        `json:"candidates,omitempty"`
	Outcome    *Outcome           `json:"outcome,omitempty"`
}

// Claims grants claims and records how claimed calls ended.
type Claims interface {
	// Acquire asks for a claim. After an error nothing was granted, and no
	// later effect of the same request grants it either.
	Acquire(ctx context.Context, r Request) (Decision, error)
	// Finish records the outcome of the claim that attempt holds.
	Finish(ctx context.Context, r Request, o Outcome) error
	// Release gives up a claim whose call provably never ran, so that the
	// caller may try again. It has no effect when attempt no longer holds it.
	Release(ctx context.Context, r Request) error
}

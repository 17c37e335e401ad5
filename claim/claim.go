// Package claim ensures that calls that must not be repeated run at most once.
// Each such call is claimed by a conditional write to the platform's object API
// before it is sent. A finished claim replays its recorded outcome. A claim
// without an outcome is not granted again unless every agent that may have
// received the call confirms that it never ran.
package claim

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/contract"
)

// Unavailable is the class of errors that mean that no claim was granted, so the
// call must be refused as not run.
var Unavailable = errs.Class("claim store unavailable")

// Candidate is an agent to which the holder of a claim may send the call.
type Candidate struct {
	Agent string          `json:"agent"`
	Addr  string          `json:"addr"`
	Boot  contract.BootID `json:"boot"`
}

// Request identifies the claim that an operation acquires, finishes or releases.
type Request struct {
	Organisation string `json:"organisation"`
	// Key combines the caller's idempotency key with the name of the stage.
	Key string `json:"key"`
	// Fingerprint is a digest of the pipeline, the stage and the body. A key that is
	// used again with another fingerprint is refused.
	Fingerprint string             `json:"fingerprint"`
	Attempt     contract.AttemptID `json:"attempt"`
	Candidates  []Candidate        `json:"candidates"`
}

// State is the state of a claim in the store.
type State string

// The states of claims.
const (
	// Granted means that the request holds the claim and its call may be sent.
	Granted State = "granted"
	// Held means that another attempt holds the claim and has not recorded an outcome.
	Held State = "held"
	// Finished means that the outcome is recorded.
	Finished State = "finished"
	// KeyReused means that the key is claimed for another call.
	KeyReused State = "key_reused"
)

// Outcome is the recorded result of a claimed call.
type Outcome struct {
	Run  contract.RunState `json:"run"`
	Code contract.Code     `json:"code,omitempty"`
	// Detail explains Code.
	Detail string          `json:"detail,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// Decision is the result of a Request. Attempt and Candidates are those of the
// holder, so that a caller that finds the claim held can ask the holder's agents
// whether the call ran.
type Decision struct {
	State      State              `json:"state"`
	Attempt    contract.AttemptID `json:"attempt"`
	Candidates []Candidate        `json:"candidates,omitempty"`
	Outcome    *Outcome           `json:"outcome,omitempty"`
}

// Claims grants claims and records the outcomes of claimed calls.
type Claims interface {
	// Acquire requests a claim. An error means that the claim was not granted and
	// that this request cannot be granted later either.
	Acquire(ctx context.Context, r Request) (Decision, error)
	// Finish records the outcome of the claim that r.Attempt holds.
	Finish(ctx context.Context, r Request, o Outcome) error
	// Release frees the claim of a call that provably never ran, so that the
	// caller may try again. It does not free a claim that r.Attempt no longer holds.
	Release(ctx context.Context, r Request) error
}

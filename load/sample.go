package load

import (
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes of requests.
const (
	// OutcomeOnTime answers came in time, with the count and digest that they state.
	OutcomeOnTime Outcome = "whole"
	// OutcomeLate answers were whole but came after the deadline.
	OutcomeLate Outcome = "late"
	// OutcomeRefused requests got a problem document.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed requests got neither, or an answer that is cut or not their own.
	OutcomeFailed Outcome = "broken"
)

// Sample is one request as its caller saw it.
type Sample struct {
	Class        string        `json:"class"`
	Organisation string        `json:"organisation"`
	At           time.Duration `json:"at_ns"`
	Deadline     time.Duration `json:"deadline_ns"`
	// Latency is the time to the end of the answer, FirstToken that to the
	// first token of a stream.
	Latency    time.Duration       `json:"latency_ns"`
	FirstToken time.Duration       `json:"first_token_ns,omitempty"`
	Outcome    Outcome             `json:"outcome"`
	Code       contract.Code       `json:"code,omitempty"`
	Run        contract.RunState   `json:"run,omitempty"`
	Joined     bool                `json:"joined,omitempty"`
	Stages     []entry.StageReport `json:"stages,omitempty"`
	Detail     string              `json:"detail,omitempty"`
	Reference  string              `json:"reference,omitempty"`
	Request    contract.RequestID  `json:"request,omitempty"`
}

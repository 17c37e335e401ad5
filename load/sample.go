package load

import (
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/entry"
)

// Outcome classifies the end of a request as its caller observed it.
type Outcome string

// The outcomes of requests.
const (
	// OutcomeOnTime is a complete answer within the deadline, whose token count and digest match
	// those it states.
	OutcomeOnTime Outcome = "whole"
	// OutcomeLate is a complete answer after the deadline.
	OutcomeLate Outcome = "late"
	// OutcomeRefused is a refusal with a problem document.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed is neither an answer nor a refusal, or an answer that was truncated or belongs
	// to another request.
	OutcomeFailed Outcome = "broken"
)

// Sample records one request as its caller observed it.
type Sample struct {
	Class        string `json:"class"`
	Organisation string `json:"organisation"`
	// At is the time of arrival since the end of the warm-up.
	At       time.Duration `json:"at_ns"`
	Deadline time.Duration `json:"deadline_ns"`
	// Latency is the time from sending the request to the end of the answer, FirstToken the time to
	// the first token of a stream.
	Latency    time.Duration       `json:"latency_ns"`
	FirstToken time.Duration       `json:"first_token_ns,omitempty"`
	Outcome    Outcome             `json:"outcome"`
	Code       contract.Code       `json:"code,omitempty"`
	Run        contract.RunState   `json:"run,omitempty"`
	Joined     bool                `json:"joined,omitempty"`
	Stages     []entry.StageReport `json:"stages,omitempty"`
	Detail     string              `json:"detail,omitempty"`
	// Reference identifies the booking of a request with an action; the service repeats it in its
	// answer.
	Reference string             `json:"reference,omitempty"`
	Request   contract.RequestID `json:"request,omitempty"`
}

package entry

import (
	"time"

	"github.com/azurelead/azurelead/contract"
)

const (
	// minAvoidance is how long an agent is avoided after its second failure in a row. It doubles with each further
	// one, up to maxAvoidance.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 5 * time.Second
)

// callHealth is what the results of calls show of an agent's endpoint.
type callHealth struct {
	consecutiveFailures int
	avoidUntil          time.Time
}

// record updates the health by the code of a call's verified result. Codes that say nothing about the endpoint, such as
// those of calls that were cancelled, refused or late, change nothing.
func (h *callHealth) record(now time.Time, code contract.Code) {
	switch {
	case code == "":
		*h = callHealth{}
	case code != contract.CodeEndpointFailed || now.Before(h.avoidUntil):
		// Calls that fail during the avoidance were in flight when it began, or had no other agent.
	default:
		if h.consecutiveFailures++; h.consecutiveFailures > 1 {
			h.avoidUntil = now.Add(min(minAvoidance<<min(h.consecutiveFailures-2, 4), maxAvoidance))
		}
	}
}

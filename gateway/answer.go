package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
)

// answer is a whole answer: an endpoint's, or one of the system's own.
type answer struct {
	status int
	// header and body are an endpoint's.
	header http.Header
	body   []byte
	// own is set for answers that no endpoint gave, with the reason.
	own    bool
	reason string
	// retryAfter is when the client may come back; only for requests that did
	// not run.
	retryAfter time.Duration
}

// refusal is a final answer to a request that cannot be served as it is.
func refusal(status int, reason string) *answer {
	return &answer{status: status, own: true, reason: reason}
}

// notRun promises that the request has not run and never will.
func notRun(reason string, retryAfter time.Duration) *answer {
	return &answer{status: http.StatusServiceUnavailable, own: true, reason: reason, retryAfter: retryAfter}
}

// unknown is for requests that may have run.
func unknown(reason string) *answer {
	return &answer{status: http.StatusBadGateway, own: true, reason: reason}
}

// expired is for requests that may have run when their time was over.
func expired() *answer {
	return &answer{status: http.StatusGatewayTimeout, own: true, reason: "deadline"}
}

// problem is the body of the system's own answers.
type problem struct {
	Reason string `json:"reason"`
}

// answer writes a whole answer.
func (q *request) answer(a answer) {
	q.trace.status, q.trace.own, q.trace.reason = a.status, a.own, a.reason
	if q.gone() {
		q.trace.outcome = "client left"
		return
	}
	h := q.w.Header()
	if !a.own {
		fleet.CopyResponseHeader(h, a.header)
		q.w.WriteHeader(a.status)
		_, _ = q.w.Write(a.body) // a client that left is seen by its context
		return
	}
	fleet.SetAttemptID(h, q.head.AttemptID)
	h.Set("Content-Type", "application/json")
	if a.retryAfter > 0 {
		q.trace.retryAfter = a.retryAfter
		fleet.SetRetryAfter(h, a.retryAfter)
	}
	q.w.WriteHeader(a.status)
	_ = json.NewEncoder(q.w).Encode(problem{Reason: a.reason})
}

package coordinate

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/dispatch"
	"github.com/azurelead/azurelead/stage"
)

const (
	// responsesPerEndpoint is the number of responses of an endpoint that are remembered. A second
	// copy comes while the connection carries one of the next few calls.
	responsesPerEndpoint = 32
	// responsesTTL is how long the responses of an endpoint without calls are remembered.
	responsesTTL = time.Minute
)

// recentResponses recognises second copies of responses to stage calls by their handles. The zero
// value is ready to use.
type recentResponses struct {
	byEndpoint map[string]*endpointResponses
}

// endpointResponses is a ring of the latest responses of one endpoint.
type endpointResponses struct {
	ring     [responsesPerEndpoint]recentResponse
	next     int
	lastUsed time.Time
}

// recentResponse identifies a response by hashes of its first handle and of the task that the
// handle is the result of.
type recentResponse struct{ handle, task uint64 }

// record remembers a response to a call and reports whether it can be that: none of its handles was
// given for another task before. A response without handles is always accepted.
func (r *recentResponses) record(now time.Time, call dispatch.Call, results []stage.Result) bool {
	first, found := firstHandle(call, results)
	if !found {
		return true
	}
	if r.byEndpoint == nil {
		r.byEndpoint = make(map[string]*endpointResponses)
	}
	e := r.byEndpoint[call.Endpoint.ID]
	if e == nil {
		e = &endpointResponses{}
		r.byEndpoint[call.Endpoint.ID] = e
	}
	e.lastUsed = now
	for _, known := range e.ring {
		if known.handle == first.handle && known.task != first.task {
			return false
		}
	}
	e.ring[e.next] = first
	e.next = (e.next + 1) % responsesPerEndpoint
	return true
}

// firstHandle returns the first handle of a response and its task.
func firstHandle(call dispatch.Call, results []stage.Result) (recentResponse, bool) {
	for i, result := range results {
		if result.Handle != "" {
			t := call.Tasks[i]
			return recentResponse{
				handle: xxhash.Sum64String(result.Handle), task: xxhash.Sum64String(fmt.Sprint(t.AttemptID, "/", t.Stage, "/", t.Index)),
			}, true
		}
	}
	return recentResponse{}, false
}

// prune forgets endpoints without calls for responsesTTL.
func (r *recentResponses) prune(now time.Time) {
	for id, e := range r.byEndpoint {
		if now.Sub(e.lastUsed) > responsesTTL {
			delete(r.byEndpoint, id)
		}
	}
}

package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// plannedFaults are the faults in a run of planned work only: what operators do, and silence of sound endpoints. None
// of them excuses a request that gets no complete answer.
var plannedFaults = append(faultsNamed("entry stopped", "settings reloaded", "configuration changed", "configuration grown"),
	fault{"time-outs changed", (*run).changeTimeouts},
	fault{"endpoint silent", (*run).silenceEndpoints},
)

// faultsNamed returns the faults with the given names.
func faultsNamed(names ...string) []fault {
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(names, f.name) })
}

// schedulable returns the faults that the schedule of the run is drawn from.
func (r *run) schedulable() []fault {
	if r.o.PlannedOnly {
		return plannedFaults
	}
	return faults
}

const (
	// routeTimeoutFactor and longRouteTimeoutFactor are the time-outs of routes as multiples of that of the clients.
	routeTimeoutFactor     = 1
	longRouteTimeoutFactor = 1.5
	// plannedRequestTimeout and plannedEventGap leave time for a silence in the middle of a stream.
	plannedRequestTimeout = 9 * time.Second
	plannedEventGap       = 250 * time.Millisecond
	// plannedLatencyTarget and plannedGapTarget are the targets of the routes. A client's patience is longer than the
	// longest silence.
	plannedLatencyTarget = 800 * time.Millisecond
	plannedGapTarget     = 100 * time.Millisecond
	// silencePause is the time between two silences.
	silencePause = 2 * time.Second
	// minSilence and maxSilence bound the silence of a sound endpoint.
	minSilence = 800 * time.Millisecond
	maxSilence = 1900 * time.Millisecond
	// heldShare is the share of its time after which a request counts as held without an answer.
	heldShare = 0.7
)

// changeTimeouts changes the time-outs of all routes and changes them back.
func (r *run) changeTimeouts(_ *rand.Rand, duration time.Duration) {
	r.setRouteTimeout(longRouteTimeoutFactor)
	r.putConfiguration()
	time.Sleep(duration)
	r.setRouteTimeout(routeTimeoutFactor)
	r.putConfiguration()
}

// setRouteTimeout sets the time-out of routes in the configurations that are stored from now on.
func (r *run) setRouteTimeout(factor float64) {
	r.timeoutMS.Store(int64(factor * float64(r.requestTimeout().Milliseconds())))
}

// requestTimeout returns the deadline that the clients send.
func (r *run) requestTimeout() time.Duration {
	if r.o.PlannedOnly {
		return plannedRequestTimeout
	}
	return defaultRequestTimeout
}

// eventGap returns the pause before each event of a stream.
func (r *run) eventGap() time.Duration {
	if r.o.PlannedOnly {
		return plannedEventGap
	}
	return defaultEventGap
}

// silentServices are the services whose endpoints fall silent. Most silences meet streams.
var silentServices = []string{"llm", "llm", "portal", "api"}

// silenceEndpoints makes some endpoints of one service silent for a while, unless others are or were until just now.
func (r *run) silenceEndpoints(rng *rand.Rand, _ time.Duration) {
	if !r.silenceMu.TryLock() {
		return
	}
	defer r.silenceMu.Unlock()
	service := silentServices[rng.IntN(len(silentServices))]
	silence := minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
	for i, s := range r.servers {
		if r.endpointSpecs[i]["service"] == service && rng.IntN(2) == 0 {
			s.FallSilent(silence)
		}
	}
	time.Sleep(silence + silencePause)
}

// checkAnswered checks, in a run of planned work only, that a request got a complete answer in time. A connection that
// was closed before an endpoint ran the request carries no request that the entry has taken, unless it stayed open
// for longer than lossSlack. What an endpoint still worked on may be cut at the end of a grace period, and a stream at
// the request's deadline.
func (r *run) checkAnswered(resp response, runs []fleettest.Run) {
	if !r.o.PlannedOnly {
		return
	}
	var opErr *net.OpError
	refused := errors.As(resp.err, &opErr) && opErr.Op == "dial"
	held := resp.longestWait > r.longestAllowedWait(resp)
	cut := resp.err != nil && !refused && (len(runs) > 0 || resp.endedAt.Sub(resp.sentAt) > lossSlack)
	if reachedTimeout(resp, r.requestTimeout()) || resp.endOfGrace && isInProgress(runs, resp.endedAt) {
		cut = false
	}
	if held || cut {
		r.recordHeld(resp, runs)
	}
}

// recordHeld records that a request got no complete answer in time.
func (r *run) recordHeld(resp response, runs []fleettest.Run) {
	r.recordViolation("%s got no complete answer after %v, at %s, the longest wait was %v: status %d, %d events, %d runs, %v",
		resp.id, resp.latency, resp.endedAt.UTC().Format(time.RFC3339Nano), resp.longestWait, resp.status, resp.events(), len(runs), resp.err)
}

// longestAllowedWait returns the time for which a request may get nothing after it was sent.
func (r *run) longestAllowedWait(resp response) time.Duration {
	if resp.isStream() {
		return r.patience()
	}
	return time.Duration(heldShare * float64(r.requestTimeout()))
}

// patience returns how long clients of streams wait for an event in a run of planned work only.
func (r *run) patience() time.Duration {
	return fleet.ClientPatience(plannedLatencyTarget, plannedGapTarget)
}

// isStream reports whether a request asked for a stream.
func (resp *response) isStream() bool {
	return resp.kind == "plain" || resp.kind == "staged" || resp.kind == shiftingKind.name
}

// reachedTimeout reports whether a request ended at its deadline or at the time-out of its route. An entry counts them
// from when it has read the request's head, and ends the request a little earlier.
func reachedTimeout(resp response, timeout time.Duration) bool {
	return resp.latency >= timeout-timeoutSlack
}

// timeoutSlack is how long before its deadline a request may end.
const timeoutSlack = 100 * time.Millisecond

// lossSlack is the time after the last byte of a request in which an entry may close its connection unanswered.
const lossSlack = 200 * time.Millisecond

// isInProgress reports whether an endpoint was at work on one of the runs.
func isInProgress(runs []fleettest.Run, at time.Time) bool {
	return slices.ContainsFunc(runs, func(run fleettest.Run) bool {
		answeredAt := run.Progress.AnsweredAt()
		return answeredAt.IsZero() || answeredAt.After(at)
	})
}

// lateStart is how long after SIGTERM a request may be sent that the entry still serves.
const lateStart = 3 * time.Second

// isAtEndOfGrace reports whether the entry is in the last sixth of its grace period, in which it may cut a request that
// was sent in the first lateStart of it.
func (e *entry) isAtEndOfGrace(sentAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.terms, func(termAt time.Time) bool {
		return isPastGrace(termAt) && sentAt.Before(termAt.Add(lateStart)) && !sentAt.Before(termAt.Add(-gracePeriod))
	})
}

const (
	// slowUploads is the share of requests whose body is sent in two parts, as one in so many.
	slowUploads = 3
	// maxUploadPause bounds the pause between the parts.
	maxUploadPause = 5 * time.Second
	// maxWorkTime bounds the time that endpoints work on requests that may not be repeated.
	maxWorkTime = 3 * time.Second
)

// plannedWorkTime returns how long an endpoint works on a request in a run of planned work only.
func plannedWorkTime(r *http.Request) time.Duration {
	if r.Method != http.MethodPost || strings.HasPrefix(r.URL.Path, "/stream/") {
		return 0
	}
	if isLarge(r.Header.Get("Azurelead-Attempt-Id")) {
		return time.Duration(xxhash.Sum64String(r.Header.Get("Azurelead-Attempt-Id")) % uint64(maxUploadWork))
	}
	return time.Duration(xxhash.Sum64String(r.RequestURI+r.Header.Get("Azurelead-Attempt-Id")) % uint64(maxWorkTime))
}

// uploadPause returns the pause in the middle of a request's body. It depends on the id alone, so that it does not
// change the schedule of a seed.
func (r *run) uploadPause(id string) time.Duration {
	h := xxhash.Sum64String(id)
	if !r.o.PlannedOnly || h%slowUploads > 0 {
		return 0
	}
	return time.Duration(h / slowUploads % uint64(maxUploadPause))
}

// sentBody is the body of a request, with a pause in its middle.
type sentBody struct {
	text  string
	pause time.Duration

	mu     sync.Mutex
	offset int
	// readAt is when a part was last taken to be sent.
	readAt time.Time
}

// Read implements io.Reader.
func (b *sentBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	offset := b.offset
	b.mu.Unlock()
	rest := b.text[offset:]
	if rest == "" {
		return 0, io.EOF
	}
	if half := len(b.text) / 2; b.pause > 0 && offset < half {
		rest = rest[:half-offset]
	} else if offset > 0 {
		time.Sleep(b.pause)
	}
	n := copy(p, rest)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.offset, b.readAt = offset+n, time.Now()
	return n, nil
}

// isSent reports whether the whole body was taken to be sent.
func (b *sentBody) isSent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.offset == len(b.text)
}

// end returns when the last part was taken to be sent.
func (b *sentBody) end() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readAt
}

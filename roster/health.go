package roster

import (
	"math"
	"time"
)

const (
	// minBackoff is the time before a failed endpoint is tried again. It doubles with each
	// consecutive failure, up to maxBackoff.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 5 * time.Second
	// failureDecayTime is the time constant of the exponential decay of failure rates.
	failureDecayTime = 4 * time.Second
	// failureMemory is how long a failure counts as one of consecutive ones. A client may leave a stream before its end,
	// which shows nothing, so that failures may have no whole response between them for any time.
	failureMemory = 30 * time.Second
	// outcomeWeight is the weight of the latest outcome in the moving averages.
	outcomeWeight = 0.3
)

// Outcome is how a request to an endpoint ended, as an indication of the endpoint's health.
type Outcome int

// The outcomes of requests.
const (
	// Answered: the endpoint sent a whole response.
	Answered Outcome = iota
	// Failed: the endpoint sent a whole response that reports an error of its own.
	Failed
	// Refused: the endpoint did not run the request.
	Refused
	// Unreachable: no connection could be opened, or no byte was sent.
	Unreachable
	// ConnectionLost: the request was sent, but no response came, or one that is not whole.
	ConnectionLost
)

// health is what the outcomes of requests show of an endpoint.
type health struct {
	// failureRate is the moving average of failures, 0 to 1, as of failureRateAt. latency is the
	// moving average of the time to the first byte, in seconds; 0 if not known.
	failureRate         float64
	failureRateAt       time.Time
	latency             float64
	consecutiveFailures int
	// failedAt is when the last of the consecutive failures was reported.
	failedAt time.Time
	retryAt  time.Time
	// down is set while the endpoint counts as failed, probing while a single request tries whether
	// it has recovered.
	down    bool
	probing bool
}

// inBackoff reports whether the endpoint has failed and is not due for a request that tries whether it has recovered.
func (h *health) inBackoff(now time.Time) bool {
	return h.down && (h.probing || now.Before(h.retryAt))
}

// record updates the health by the outcome of a request. firstByte is the time from sending to the first byte of the
// response. It reports whether the endpoint counts as failed because of it.
func (h *health) record(now time.Time, o Outcome, firstByte time.Duration) (failed bool) {
	h.probing = false
	failure := 0.0
	switch o {
	case Answered:
		h.consecutiveFailures, h.down = 0, false
		h.addLatency(firstByte)
	case Failed:
		h.consecutiveFailures, h.down = 0, false
		failure = 1
	case Refused:
		failure = 0.5
	case Unreachable, ConnectionLost:
		failure = 1
		if h.down && now.Before(h.retryAt) {
			break // the request was in flight when the endpoint failed
		}
		if now.Sub(h.failedAt) > failureMemory {
			h.consecutiveFailures = 0
		}
		h.failedAt = now
		h.consecutiveFailures++
		// A single lost connection does not mark an endpoint as down.
		if failed = o == Unreachable || h.consecutiveFailures > 1; failed {
			h.down = true
			h.retryAt = now.Add(min(minBackoff<<min(h.consecutiveFailures-1, 5), maxBackoff))
		}
	}
	h.failureRate = h.currentFailureRate(now)
	h.failureRateAt = now
	h.failureRate += outcomeWeight * (failure - h.failureRate)
	return failed
}

// recordProgress records that a stream has begun soundly. It ends the failed state, so that a long stream does not
// keep other requests from a recovered endpoint. The failures still count until a response is whole.
func (h *health) recordProgress() { h.probing, h.down = false, false }

func (h *health) addLatency(firstByte time.Duration) {
	if h.latency == 0 {
		h.latency = firstByte.Seconds()
	}
	h.latency += outcomeWeight * (firstByte.Seconds() - h.latency)
}

func (h *health) currentFailureRate(now time.Time) float64 {
	return h.failureRate * math.Exp(-now.Sub(h.failureRateAt).Seconds()/failureDecayTime.Seconds())
}

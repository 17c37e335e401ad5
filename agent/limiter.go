package agent

import (
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
)

const (
	// latencyJumpFactor is the ratio to the baseline latency above which a sample counts as a jump.
	latencyJumpFactor = 4
	// latencyJumpSamples is the number of consecutive jumps that mark the endpoint as cold. A
	// single slow call is an outlier.
	latencyJumpSamples = 3
	// latencyJumpFloor is the latency up to which no sample counts as a jump, whatever its ratio to
	// the baseline.
	latencyJumpFloor = 50 * time.Millisecond
	// baselineSamples is the number of samples from which the baseline latency is used.
	baselineSamples = 8
	// baselineWeight is the weight of a new sample in the moving average of the baseline latency.
	baselineWeight = 0.1
)

// Limits are the configured concurrency limits of an endpoint.
type Limits struct {
	Cold int
	Max  int
	// RampSuccesses is the number of successful calls that raise the limit by one.
	RampSuccesses int
}

// ColdReason is the reason for which an endpoint was marked as cold.
type ColdReason string

// The reasons for which an endpoint is marked as cold.
const (
	ColdStart            ColdReason = "start"
	ColdEndpointRestart  ColdReason = "endpoint_boot"
	ColdReported         ColdReason = "endpoint_word"
	ColdLatency          ColdReason = "latency"
	ColdProbeFailure     ColdReason = "probe"
	ColdCrash            ColdReason = "crash"
	ColdDataCentreReturn ColdReason = "data_centre_return"
	ColdOrder            ColdReason = "order"
)

// limiter computes how many calls the endpoint may run concurrently. It has no lock and no clock;
// its owner provides both.
type limiter struct {
	limits  Limits
	current int
	cold    bool
	reason  ColdReason
	// coldCount counts how often the endpoint was marked as cold.
	coldCount int
	// successes counts successful calls towards the next increase of the limit.
	successes int
	// reportedColdLimit is the cold limit that the endpoint reports; 0 if it reports none.
	reportedColdLimit int
	// reportsCold is set while the endpoint reports that it is cold.
	reportsCold bool
	boot        contract.BootID
	// down is set while the endpoint does not accept connections.
	down bool
	// restartSuspected is set from a sign of a restart until the next report.
	restartSuspected bool

	baseline time.Duration
	samples  int
	jumps    int

	// predecessorCalls is the number of calls of the preceding agent process that may still be
	// running at the endpoint.
	predecessorCalls int
	// reportsCompleteAt is the time from which a report is certain to count all calls of the
	// preceding agent process.
	reportsCompleteAt time.Time
	// predecessorEnd is the time at which the calls of the preceding agent process have certainly
	// ended.
	predecessorEnd time.Time
}

// newLimiter returns the limiter of an agent that has just started. Until reportsCompleteAt, a
// report may not count all calls of the preceding agent process, so the whole capacity of the
// endpoint counts as used. hasProber is set if the endpoint is probed for its health; the endpoint
// then counts as cold until it reports otherwise.
func newLimiter(limits Limits, hasProber bool, reportsCompleteAt, predecessorEnd time.Time) *limiter {
	l := &limiter{limits: limits, reportsCold: hasProber, reportsCompleteAt: reportsCompleteAt, predecessorEnd: predecessorEnd}
	l.predecessorCalls = limits.Max
	l.markCold(ColdStart)
	return l
}

// coldLimit returns the lower of the configured and the reported cold limit.
func (l *limiter) coldLimit() int {
	if l.reportedColdLimit > 0 {
		return min(l.reportedColdLimit, l.limits.Cold)
	}
	return l.limits.Cold
}

// allowed returns the number of this agent's calls that may run concurrently.
func (l *limiter) allowed(now time.Time) int {
	if l.down || l.restartSuspected {
		return 0
	}
	if l.predecessorCalls > 0 && !now.Before(l.predecessorEnd) {
		l.predecessorCalls = 0
	}
	return max(l.current-l.predecessorCalls, 0)
}

func (l *limiter) markCold(reason ColdReason) {
	l.cold, l.reason = true, reason
	l.coldCount++
	l.current = min(l.coldLimit(), l.limits.Max)
	l.successes, l.jumps = 0, 0
	l.baseline, l.samples = 0, 0
}

// setLimits applies changed limits. A cold endpoint stays at its cold limit.
func (l *limiter) setLimits(limits Limits) {
	if limits == l.limits {
		return
	}
	l.limits = limits
	if l.reportsCold || l.successes == 0 && l.cold {
		l.current = min(l.current, l.coldLimit())
	}
	l.current = max(min(l.current, limits.Max), min(l.coldLimit(), limits.Max))
	l.cold = l.current < limits.Max
}

// observe records a finished call: whether it succeeded, its latency, and the number of this
// agent's calls that were running when it finished. The limit grows only while at least half of it
// is in use, since less load does not test it. It never grows while the endpoint reports that it is
// cold, or while calls of the preceding agent process may be running.
func (l *limiter) observe(success bool, latency time.Duration, running int) {
	if !success {
		l.successes = 0
		return
	}
	if l.latencyJumped(latency) {
		l.markCold(ColdLatency)
		return
	}
	if l.reportsCold || l.predecessorCalls > 0 || l.current >= l.limits.Max || 2*running < l.current {
		return
	}
	l.successes++
	if l.successes < l.limits.RampSuccesses {
		return
	}
	l.successes = 0
	l.current++
	l.cold = l.current < l.limits.Max
}

// latencyJumped records a latency and reports whether latencyJumpSamples consecutive ones were
// jumps.
func (l *limiter) latencyJumped(latency time.Duration) bool {
	if l.samples >= baselineSamples && latency > latencyJumpFloor && latency > latencyJumpFactor*l.baseline {
		l.jumps++
		return l.jumps >= latencyJumpSamples
	}
	l.jumps = 0
	l.samples++
	if l.samples == 1 {
		l.baseline = latency
		return false
	}
	l.baseline += time.Duration(baselineWeight * float64(latency-l.baseline))
	return false
}

// applyReport applies a health report of the endpoint, or the error of a failed probe. ownCalls is
// the number of this agent's running calls.
func (l *limiter) applyReport(now time.Time, h endpoint.Health, err error, ownCalls int) {
	l.restartSuspected = false
	if err != nil {
		if l.reason != ColdProbeFailure || l.current > l.coldLimit() {
			l.markCold(ColdProbeFailure)
		}
		return
	}
	l.down = false
	restarted := l.boot != "" && h.Boot != l.boot
	newlyCold := h.Cold && !l.reportsCold
	l.boot, l.reportedColdLimit, l.reportsCold = h.Boot, h.ColdLimit, h.Cold
	switch {
	case restarted:
		// The previous endpoint process has ended, and all its calls with it.
		l.predecessorCalls = 0
		l.markCold(ColdEndpointRestart)
	case newlyCold:
		l.markCold(ColdReported)
	case h.Cold:
		l.current = min(l.current, l.coldLimit())
	}
	if l.predecessorCalls > 0 && !now.Before(l.reportsCompleteAt) {
		l.predecessorCalls = max(h.InFlight-ownCalls, 0)
	}
}

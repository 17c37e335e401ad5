package agent

import (
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
)

const (
	// jumpFactor times the usual latency is a jump.
	jumpFactor = 4
	// jumpAnswers in a row above the jump turn the endpoint cold: a single slow
	// answer is an outlier.
	jumpAnswers = 3
	// jumpFloor is the latency below which no jump is seen, whatever the ratio.
	jumpFloor = 50 * time.Millisecond
	// usualAnswers are needed before the usual latency means anything.
	usualAnswers = 8
	// usualWeight is the weight of a new answer in the usual latency.
	usualWeight = 0.1
)

// Limits are the declared limits of an endpoint.
type Limits struct {
	Cold int
	Max  int
	// RampSuccesses is how many good answers raise the limit by one.
	RampSuccesses int
}

// ColdReason says why an endpoint is taken for cold.
type ColdReason string

// The reasons for which an endpoint is taken for cold.
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

// limiter decides how many calls the endpoint may run at once. It is pure: its
// owner locks it and gives the time.
type limiter struct {
	limits  Limits
	current int
	cold    bool
	reason  ColdReason
	// turns counts how often the endpoint was taken for cold.
	turns int
	// good counts good answers towards the next step of the limit.
	good int
	// declared is the cold limit that the endpoint reports; 0 is none.
	declared int
	// saysCold is set while the endpoint reports that it is cold.
	saysCold bool
	boot     contract.BootID
	// down is set while nobody listens at the endpoint's address.
	down bool
	// doubted is set from a sign of a restart to the next report.
	doubted bool

	usual   time.Duration
	answers int
	jumps   int

	// foreign is how many calls of a former agent may still run at the endpoint.
	foreign int
	// settleAt is when a report surely counts all calls of the former agent.
	settleAt time.Time
	// foreignUntil is when the former agent's calls have surely ended.
	foreignUntil time.Time
}

// newLimiter returns the limiter of an agent that has just started. Until
// settleAt, no report surely counts all calls of the agent before, so all that
// the endpoint bears is taken for used. reports says that the endpoint will be
// asked for its health; it is then cold until it says otherwise.
func newLimiter(l Limits, reports bool, settleAt, foreignUntil time.Time) *limiter {
	m := &limiter{limits: l, saysCold: reports, settleAt: settleAt, foreignUntil: foreignUntil}
	m.foreign = l.Max
	m.turnCold(ColdStart)
	return m
}

// coldLimit is the lower of what the settings and the endpoint declare.
func (m *limiter) coldLimit() int {
	if m.declared > 0 {
		return min(m.declared, m.limits.Cold)
	}
	return m.limits.Cold
}

// allowed returns how many own calls may run at once.
func (m *limiter) allowed(now time.Time) int {
	if m.down || m.doubted {
		return 0
	}
	if m.foreign > 0 && !now.Before(m.foreignUntil) {
		m.foreign = 0
	}
	return max(m.current-m.foreign, 0)
}

func (m *limiter) turnCold(why ColdReason) {
	m.cold, m.reason = true, why
	m.turns++
	m.current = min(m.coldLimit(), m.limits.Max)
	m.good, m.jumps = 0, 0
	m.usual, m.answers = 0, 0
}

// setLimits takes changed settings. A cold endpoint stays at its cold limit.
func (m *limiter) setLimits(l Limits) {
	if l == m.limits {
		return
	}
	m.limits = l
	if m.saysCold || m.good == 0 && m.cold {
		m.current = min(m.current, m.coldLimit())
	}
	m.current = max(min(m.current, l.Max), min(m.coldLimit(), l.Max))
	m.cold = m.current < l.Max
}

// answer takes one answer: whether it was good, its latency, and how many own
// calls ran when it came. The limit grows only under load that tests it, and
// never while the endpoint itself says that it is cold.
func (m *limiter) answer(good bool, latency time.Duration, running int) {
	if !good {
		m.good = 0
		return
	}
	if m.jumped(latency) {
		m.turnCold(ColdLatency)
		return
	}
	if m.saysCold || m.foreign > 0 || m.current >= m.limits.Max || 2*running < m.current {
		return
	}
	m.good++
	if m.good < m.limits.RampSuccesses {
		return
	}
	m.good = 0
	m.current++
	m.cold = m.current < m.limits.Max
}

// jumped reports whether the latency has left its usual range.
func (m *limiter) jumped(latency time.Duration) bool {
	if m.answers >= usualAnswers && latency > jumpFloor && latency > jumpFactor*m.usual {
		m.jumps++
		return m.jumps >= jumpAnswers
	}
	m.jumps = 0
	m.answers++
	if m.answers == 1 {
		m.usual = latency
		return false
	}
	m.usual += time.Duration(usualWeight * float64(latency-m.usual))
	return false
}

// health takes the endpoint's own report, or the failure to get one. own is
// how many own calls run now.
func (m *limiter) health(now time.Time, h endpoint.Health, err error, own int) {
	m.doubted = false
	if err != nil {
		if m.reason != ColdProbeFailure || m.current > m.coldLimit() {
			m.turnCold(ColdProbeFailure)
		}
		return
	}
	m.down = false
	fresh := m.boot != "" && h.Boot != m.boot
	newlyCold := h.Cold && !m.saysCold
	m.boot, m.declared, m.saysCold = h.Boot, h.ColdLimit, h.Cold
	switch {
	case fresh:
		// The former process and all that it ran are gone.
		m.foreign = 0
		m.turnCold(ColdEndpointRestart)
	case newlyCold:
		m.turnCold(ColdReported)
	case h.Cold:
		m.current = min(m.current, m.coldLimit())
	}
	if m.foreign > 0 && !now.Before(m.settleAt) {
		m.foreign = max(h.InFlight-own, 0)
	}
}

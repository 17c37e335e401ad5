package peers

import "time"

// maxStartUncertainty is the uncertainty of an estimate above which a peer is asked for its uptime again.
const maxStartUncertainty = 100 * time.Millisecond

// startEstimate bounds when a peer's process started, by the uptimes that it has stated. A statement is as old as
// its reply may have taken, which is up to a second for want of processor time.
type startEstimate struct{ earliest, latest time.Time }

// observe narrows the estimate by the uptime, in whole milliseconds, that a reply states. A peer that was suspended
// in between contradicts the earlier bounds, which are dropped then.
func (e *startEstimate) observe(sentAt, receivedAt time.Time, uptime time.Duration) {
	earliest, latest := sentAt.Add(-uptime-time.Millisecond), receivedAt.Add(-uptime)
	if e.latest.IsZero() || earliest.After(e.latest) || latest.Before(e.earliest) {
		*e = startEstimate{earliest: earliest, latest: latest}
		return
	}
	if earliest.After(e.earliest) {
		e.earliest = earliest
	}
	if latest.Before(e.latest) {
		e.latest = latest
	}
}

// uncertainty returns by how much latest may be too late.
func (e startEstimate) uncertainty() time.Duration { return e.latest.Sub(e.earliest) }

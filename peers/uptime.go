package peers

import "time"

// maxStartError is the error of an estimate from which a peer is asked for its uptime again.
const maxStartError = 100 * time.Millisecond

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

// error returns by how much the estimate may be late.
func (e startEstimate) error() time.Duration { return e.latest.Sub(e.earliest) }

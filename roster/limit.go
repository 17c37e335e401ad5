package roster

import (
	"time"
)

const (
	// limitShare is the share of an endpoint's limit that the entries together send at, and
	// callLimitShare that of the calls of the stages. The dispatcher makes these alone; while another
	// entry takes its place both may.
	limitShare     = 0.9
	callLimitShare = 0.7
	// bookingLimitShare is the share of an engine's limit that the dispatcher books. fallbackLimitShare is
	// left for requests that the booked engine did not take; fallbackSenders entries may send these.
	bookingLimitShare  = 0.6
	fallbackLimitShare = 0.25
	fallbackSenders    = 3
	// minLimit replaces lower limits, in requests per second: without any request the entries would
	// not notice that a limit has ended.
	minLimit = 0.1
	// minLimitSenders and limitSendersPerRate bound the number of entries that send to an endpoint with
	// a limit. Each of them may send one request at any time, so that the number grows with the limit.
	minLimitSenders     = 4
	limitSendersPerRate = 1.5
	// maxRateLimit is far above any rate that one endpoint serves, in requests per second.
	maxRateLimit = 1e9
	// limitTTL is how long a limit is kept that no answer has confirmed, limitRefreshInterval the time
	// after which an unchanged limit is sent to the peers again.
	limitTTL             = 10 * time.Minute
	limitRefreshInterval = 2 * time.Minute
	// minLimitChange is the relative change of a limit from which it is sent to the peers.
	minLimitChange = 0.1
)

// RateLimit is the number of requests per second that an endpoint accepts from all entries together.
type RateLimit struct {
	// Active is false if the endpoint states no rate limit.
	Active    bool
	PerSecond float64
}

// sameAs reports whether two limits do not differ enough to send the change to the peers.
func (l RateLimit) sameAs(other RateLimit) bool {
	if l.Active != other.Active {
		return false
	}
	return max(l.PerSecond, other.PerSecond)*(1-minLimitChange) <= min(l.PerSecond, other.PerSecond)
}

// sharedRate is a rate of requests to one endpoint that several entries share. Each of the senders
// keeps the same time between its requests, so that no messages are needed for a request; the entries
// agree on the senders by rank.
type sharedRate struct {
	// perSecond is the rate of all senders together.
	perSecond float64
	senders   int
}

// spacing returns the minimum time between two requests of one sender.
func (s sharedRate) spacing() time.Duration {
	return time.Duration(float64(time.Second) * float64(s.senders) / s.perSecond)
}

// interval returns the minimum time between two requests at a share of the limit.
func (l RateLimit) interval(share float64) time.Duration {
	return time.Duration(float64(time.Second) / (max(l.PerSecond, minLimit) * share))
}

// rateOf returns the rate that the entries share for a limit of an endpoint.
func (r *Roster) rateOf(m *member, l RateLimit) sharedRate {
	perSecond := max(l.PerSecond, minLimit)
	if s := r.services[m.Service]; s != nil && s.Engine {
		return sharedRate{perSecond: perSecond * fallbackLimitShare, senders: min(r.entryCount, fallbackSenders)}
	}
	return sharedRate{
		perSecond: perSecond * limitShare,
		senders:   min(r.entryCount, minLimitSenders+int(perSecond*limitSendersPerRate)),
	}
}

// limit returns the rate limit that a member states.
func (m *member) limit(now time.Time) RateLimit {
	if now.Sub(m.limitAt) > limitTTL {
		return RateLimit{}
	}
	return m.rateLimit
}

// recordLimit records the limit that a response states. The response to a request that was sent before
// the known limit was stated does not end that limit: it may have been overtaken.
func (r *Roster) recordLimit(now time.Time, m *member, sentAt time.Time, l RateLimit) (changed bool) {
	if !l.Active && m.rateLimit.Active && sentAt.Before(m.limitAt) {
		return false
	}
	return r.setLimit(m, l, now)
}

// setLimit sets the limit that a member stated at a time, and makes it a notice to the peers if it has
// changed or was last sent to them long ago. It reports whether it has changed.
func (r *Roster) setLimit(m *member, l RateLimit, at time.Time) (changed bool) {
	changed = !l.sameAs(m.noticedLimit)
	if changed || l.Active && at.Sub(m.limitNoticedAt) > limitRefreshInterval {
		m.noticedLimit, m.limitNoticedAt = l, at
		r.notice(m)
	}
	m.rateLimit, m.limitAt = l, at
	return changed
}

// sendDelay returns the time until this entry may send the next request to a member: its turn in the
// rates that the entries share while the endpoint is cold or has a limit.
func (r *Roster) sendDelay(now time.Time, m *member) time.Duration {
	delay := r.coldDelay(now, m)
	if l := m.limit(now); l.Active {
		delay = max(delay, r.delayAt(now, m, r.rateOf(m, l)))
	}
	return delay
}

// coldDelay is like sendDelay, but for the cold rate alone.
func (r *Roster) coldDelay(now time.Time, m *member) time.Duration {
	if !r.cold(now, m) {
		return 0
	}
	return r.delayAt(now, m, sharedRate{
		perSecond: r.services[m.Service].ColdRate * coldRateShare, senders: min(r.entryCount, maxColdSenders),
	})
}

// delayAt returns the time until this entry may send the next request to a member at a shared rate. An entry
// that is not among the senders has to wait for as long as a sender does after a request.
func (r *Roster) delayAt(now time.Time, m *member, rate sharedRate) time.Duration {
	if r.rank(m) >= rate.senders {
		return rate.spacing()
	}
	return m.lastSend.Add(rate.spacing()).Sub(now)
}

// CallIntervals returns the minimum time between two calls of the stages for each endpoint of a service
// that states a rate limit.
func (r *Roster) CallIntervals(now time.Time, service string) map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	intervals := make(map[string]time.Duration)
	for _, m := range r.byService[service] {
		if l := m.limit(now); l.Active {
			intervals[m.ID] = l.interval(callLimitShare)
		}
	}
	return intervals
}

// HasRateLimit reports whether an endpoint states a rate limit.
func (r *Roster) HasRateLimit(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	return m != nil && m.limit(now).Active
}

// LimitedCount returns the number of endpoints that state a rate limit.
func (r *Roster) LimitedCount(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.members {
		if m.limit(now).Active {
			n++
		}
	}
	return n
}

package roster

import (
	"cmp"
	"slices"
	"time"
)

// noticeTransit is added to the age of what a notice states, once for each entry that passes it on, so
// that a notice that returns to its origin does not count as newer there.
const noticeTransit = 50 * time.Millisecond

const (
	// minColdChange is the difference between two stated cold times that the peers need not know: the
	// time that responses and notices take.
	minColdChange = time.Second
	// maxStatedCold bounds the cold time that a peer's notice may state.
	maxStatedCold = time.Hour
)

// Notice is what an endpoint demanded of all entries, as one entry tells the others.
type Notice struct {
	Endpoint    string       `json:"endpoint"`
	Incarnation int64        `json:"incarnation,omitempty"`
	Limit       *LimitNotice `json:"limit,omitempty"`
	Leaving     bool         `json:"leaving,omitempty"`
	// ColdMS is how much longer the endpoint remains cold, in milliseconds.
	ColdMS int64 `json:"cold_ms,omitempty"`
}

// LimitNotice is the rate limit that an endpoint stated.
type LimitNotice struct {
	Active    bool    `json:"active,omitempty"`
	PerSecond float64 `json:"per_second,omitempty"`
	// AgeMS is the time since the endpoint stated it, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// notice makes a member's demands a notice to the peers. The caller holds mu.
func (r *Roster) notice(m *member) {
	r.noticeCount++
	m.noticeNumber = r.noticeCount
}

// NoticesSince returns the notices after the one with the number after, at most limit of them in the
// order of their numbers, and the number of the last. Each endpoint has one notice, which gets a new
// number when it changes.
func (r *Roster) NoticesSince(now time.Time, after uint64, limit int) (list []Notice, last uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.noticeCount <= after {
		return nil, after
	}
	var members []*member
	for _, m := range r.members {
		if m.noticeNumber > after {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.noticeNumber, b.noticeNumber) })
	if len(members) <= limit {
		last = r.noticeCount
	} else {
		members = members[:limit]
		last = members[limit-1].noticeNumber
	}
	for _, m := range members {
		list = append(list, m.message(now))
	}
	return list, last
}

// message returns the member's notice.
func (m *member) message(now time.Time) Notice {
	n := Notice{Endpoint: m.ID, Incarnation: m.Incarnation, Leaving: m.leaving, ColdMS: max(m.statedColdUntil.Sub(now), 0).Milliseconds()}
	if !m.limitAt.IsZero() {
		n.Limit = &LimitNotice{
			Active: m.rateLimit.Active, PerSecond: m.rateLimit.PerSecond, AgeMS: (now.Sub(m.limitAt) + noticeTransit).Milliseconds(),
		}
	}
	return n
}

// MergeNotices takes in the notices of a peer and reports whether any of them has changed what is known.
// Notices of unknown endpoints and of other incarnations are dropped.
func (r *Roster) MergeNotices(now time.Time, list []Notice) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range list {
		m := r.members[n.Endpoint]
		if m == nil || m.Incarnation != n.Incarnation {
			continue
		}
		if n.Limit != nil && r.mergeLimit(now, m, *n.Limit) {
			changed = true
		}
		if n.Leaving && r.setLeaving(m) {
			changed = true
		}
		if remaining := time.Duration(min(n.ColdMS, maxStatedCold.Milliseconds())) * time.Millisecond; remaining > 0 && r.setCold(m, now.Add(remaining)) {
			changed = true
		}
	}
	return changed
}

// setCold records that a member has stated to be cold until a time, and makes that a notice to the peers if
// it is later by minColdChange or more than the one stated before. It reports whether it is.
func (r *Roster) setCold(m *member, until time.Time) (changed bool) {
	m.coldUntil = laterOf(m.coldUntil, until)
	if until.Sub(m.statedColdUntil) < minColdChange {
		return false
	}
	m.statedColdUntil = until
	r.notice(m)
	return true
}

// setLeaving records that a member leaves and makes it a notice to the peers. It reports whether that was
// not known before. The notice needs the incarnation, as the endpoint's next life may use the same ID.
func (r *Roster) setLeaving(m *member) (changed bool) {
	changed = !m.leaving
	m.leaving = true
	if changed && m.Incarnation != 0 {
		r.notice(m)
	}
	return changed
}

// mergeLimit takes in the limit that a peer knows of a member, if it is newer than what is known here.
// If what is known here is newer, it becomes a notice: a response that states no rate limit is none by itself.
// The caller holds mu.
func (r *Roster) mergeLimit(now time.Time, m *member, n LimitNotice) (changed bool) {
	l := RateLimit{Active: n.Active, PerSecond: min(n.PerSecond, maxRateLimit)}
	age := min(max(n.AgeMS, 0), limitTTL.Milliseconds())
	at := now.Add(-time.Duration(age) * time.Millisecond)
	switch {
	case n.PerSecond < 0:
		return false
	case at.After(m.limitAt):
		return r.setLimit(m, l, at)
	case m.limitAt.Sub(at) > 2*noticeTransit && !l.sameAs(m.rateLimit):
		r.notice(m)
	}
	return false
}

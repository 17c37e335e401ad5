package suspect

import (
	"cmp"
	"time"

	"github.com/azurelead/azurelead/link"
)

// mark is what is known of one request. Marks of one request are totally
// ordered, and merging keeps the higher one, so that the order and the number
// of deliveries do not matter.
type mark struct {
	// epoch grows with each good run; a higher epoch overrules all counts
	// that were made before it.
	epoch   uint64
	proven  int
	crashes int
	expires time.Time
	// changed is when the mark last rose here.
	changed time.Time
}

// compare orders marks by what they say, their expiry left aside.
func (m mark) compare(o mark) int {
	return cmp.Or(
		cmp.Compare(m.epoch, o.epoch),
		cmp.Compare(m.proven, o.proven),
		cmp.Compare(m.crashes, o.crashes),
	)
}

// merge joins a peer's mark with the own one. Of equal marks the earlier
// expiry stands: each delivery adds the time that it took, and two peers that
// took the later one would keep a mark alive for ever.
func (m mark) merge(peer mark) mark {
	switch m.compare(peer) {
	case -1:
		return peer
	case 0:
		if peer.expires.Before(m.expires) {
			m.expires = peer.expires
		}
	}
	return m
}

// afterCrash counts a crash with the request in flight, alone or among others.
func (m mark) afterCrash(alone bool, now time.Time, o Options) mark {
	m.crashes++
	m.expires = now.Add(o.MarkTTL)
	if alone {
		m.proven++
	}
	if m.proven >= provenCrashLimit {
		m.expires = now.Add(o.RefusalTTL)
	}
	m.changed = now
	return m
}

// afterSuccess is the mark after a good run. It lives as long as a mark that it
// overrules may still be under way.
func (m mark) afterSuccess(now time.Time, o Options) mark {
	return mark{epoch: m.epoch + 1, expires: now.Add(o.MarkTTL), changed: now}
}

// verdict decides what may be done with the request.
func (m mark) verdict(now time.Time) Verdict {
	switch {
	case !now.Before(m.expires) || m.crashes == 0:
		return Allowed
	case m.proven >= provenCrashLimit:
		return Refused
	}
	return Alone
}

func (m mark) message(digest string, now time.Time) link.Suspect {
	return link.Suspect{
		Digest:    digest,
		Epoch:     m.epoch,
		Crashes:   m.crashes,
		Proven:    m.proven,
		ExpiresMS: m.expires.Sub(now).Milliseconds(),
	}
}

// markFromMessage returns a peer's mark. What a peer says about time is bounded by what
// a crash seen here would give.
func markFromMessage(s link.Suspect, now time.Time, o Options) mark {
	left := time.Duration(s.ExpiresMS) * time.Millisecond
	left = min(max(left, 0), max(o.MarkTTL, o.RefusalTTL))
	return mark{
		epoch:   s.Epoch,
		proven:  max(s.Proven, 0),
		crashes: max(s.Crashes, 0),
		expires: now.Add(left),
		changed: now,
	}
}

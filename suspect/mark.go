package suspect

import (
	"cmp"
	"time"

	"github.com/azurelead/azurelead/link"
)

// mark is the crash record of one request. The marks of a request are totally ordered, and
// merging keeps the higher one, so that the order and the number of deliveries do not
// matter.
type mark struct {
	// epoch is incremented by each successful run; a higher epoch overrides all counts
	// of lower ones.
	epoch uint64
	// proven counts the crashes with the request alone in flight, crashes all crashes
	// with it in flight.
	proven  int
	crashes int
	expires time.Time
	// changed is when the mark last changed in this process.
	changed time.Time
}

// compare orders marks by their epoch and counts. It ignores when they expire.
func (m mark) compare(other mark) int {
	return cmp.Or(
		cmp.Compare(m.epoch, other.epoch),
		cmp.Compare(m.proven, other.proven),
		cmp.Compare(m.crashes, other.crashes),
	)
}

// merge returns the higher of this mark and a peer's. Of equal marks it keeps the earlier
// expiry: each delivery adds the time that it took, so two peers that kept the later
// expiry would keep a mark alive for ever.
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

// afterCrash returns the mark after a crash with the request in flight, alone or among
// others.
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

// afterSuccess returns the mark after a successful run. It is kept for as long as a mark
// that it overrides may still be received.
func (m mark) afterSuccess(now time.Time, o Options) mark {
	return mark{epoch: m.epoch + 1, expires: now.Add(o.MarkTTL), changed: now}
}

// verdict returns how the request may be run.
func (m mark) verdict(now time.Time) Verdict {
	switch {
	case !now.Before(m.expires) || m.crashes == 0:
		return Allowed
	case m.proven >= provenCrashLimit:
		return Refused
	}
	return Alone
}

// message returns the mark as it is sent to peers.
func (m mark) message(digest string, now time.Time) link.Suspect {
	return link.Suspect{
		Digest:       digest,
		Epoch:        m.epoch,
		Crashes:      m.crashes,
		CrashesAlone: m.proven,
		ExpiresInMS:  m.expires.Sub(now).Milliseconds(),
	}
}

// markFromMessage returns a mark received from a peer. Its remaining lifetime is bounded by
// that of a mark for a crash seen by this process.
func markFromMessage(s link.Suspect, now time.Time, o Options) mark {
	ttl := time.Duration(s.ExpiresInMS) * time.Millisecond
	ttl = min(max(ttl, 0), max(o.MarkTTL, o.RefusalTTL))
	return mark{
		epoch:   s.Epoch,
		proven:  max(s.CrashesAlone, 0),
		crashes: max(s.Crashes, 0),
		expires: now.Add(ttl),
		changed: now,
	}
}

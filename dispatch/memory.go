package dispatch

import (
	"time"

	"github.com/azurelead/azurelead/catalog"
)

// freeMemory returns the memory that is left for results, in bytes.
func (e *endpoint) freeMemory(now time.Time, p *pool) int64 {
	if now.Before(e.fullUntil) {
		return 0
	}
	free := int64(usableMemoryShare*float64(p.limits.ResultMemory)) - e.storedBytes - e.reservedBytes
	return free - e.untracked.bytes
}

// storeResult records a stored result. It may be recorded already if its job was
// abandoned and submitted again; it then counts once.
func (e *endpoint) storeResult(handle string, bytes int64, expires time.Time) {
	e.removeResult(handle)
	e.results[handle] = storedResult{bytes: bytes, expires: expires}
	e.storedBytes += bytes
}

// removeResult removes a result from the record of stored results.
func (e *endpoint) removeResult(handle string) {
	if h, found := e.results[handle]; found {
		e.storedBytes -= h.bytes
		delete(e.results, handle)
	}
}

// expireResults removes the results that the endpoint no longer stores.
func (e *endpoint) expireResults(now time.Time) {
	for handle, h := range e.results {
		if now.After(h.expires) {
			e.removeResult(handle)
		}
	}
}

// markFull records that the endpoint had no memory for a result. It gets no tasks until it has
// reported free memory or fullTimeout has passed.
func (e *endpoint) markFull(now time.Time) {
	e.fullUntil = now.Add(fullTimeout)
	e.queryMemory = true
}

// untrackedMemory is the size of the stored results that the dispatcher does not know of: those
// of an earlier dispatcher, or results that are larger than declared.
type untrackedMemory struct {
	bytes int64
	// since is when there first were untracked results, confirmedAt when the endpoint last
	// reported any.
	since, confirmedAt time.Time
}

func (u *untrackedMemory) set(now time.Time, bytes int64) {
	if u.bytes == 0 {
		u.since = now
	}
	u.bytes, u.confirmedAt = max(bytes, 0), now
}

// refreshUntracked asks the endpoint again if it last reported untracked results a while ago, and
// drops them after the time for which endpoints store results.
func (e *endpoint) refreshUntracked(now time.Time, ttl time.Duration) {
	u := &e.untracked
	switch {
	case u.bytes == 0:
	case now.Sub(u.since) > ttl:
		u.bytes = 0
	case now.Sub(u.confirmedAt) > untrackedRefreshInterval:
		u.confirmedAt = now
		e.queryMemory = true
	}
}

const (
	// fullTimeout is about the time in which the results at an endpoint are read.
	fullTimeout = 400 * time.Millisecond
	// untrackedRefreshInterval is the time after which an endpoint with untracked results is asked
	// for its free memory again.
	untrackedRefreshInterval = 250 * time.Millisecond
	// reportTimeout is how long an endpoint whose memory is not known gets no calls. It is a few
	// round trips.
	reportTimeout = 50 * time.Millisecond
)

// ForgetMemory makes all endpoints be asked for their free memory before they get further calls,
// because another dispatcher may have used them. The load that it answers is a restart of all
// entries: the results of the requests that were lost fill the memory for seconds, and every call
// that finds it full takes nearly as long as a useful one.
func (d *Dispatcher) ForgetMemory(now time.Time) {
	for _, p := range d.pools {
		for _, e := range p.usableEndpoints {
			e.queryMemory, e.reportDue = true, now.Add(reportTimeout)
		}
	}
}

// TakeMemoryQueries returns the endpoints whose free memory is not known. The caller is to ask them
// for it.
func (d *Dispatcher) TakeMemoryQueries() []catalog.Endpoint {
	var list []catalog.Endpoint
	for _, p := range d.pools {
		for _, e := range p.endpoints {
			if e.queryMemory && e.usable {
				list = append(list, e.Endpoint)
			}
			e.queryMemory = false
		}
	}
	return list
}

// SetFreeMemory records the free memory for results that an endpoint has reported, in bytes: at least
// free, and less than limit. The middle is taken.
func (d *Dispatcher) SetFreeMemory(now time.Time, service, id string, free, limit int64) {
	p := d.pools[service]
	if p == nil || p.endpoints[id] == nil {
		return
	}
	e := p.endpoints[id]
	e.untracked.set(now, p.limits.ResultMemory-e.storedBytes-e.reservedBytes-(free+limit)/2)
	e.reportDue = time.Time{}
	if free > 0 {
		e.fullUntil = time.Time{}
	}
}

// memoryDelay estimates the time until the endpoint has memory for a group's results.
func (e *endpoint) memoryDelay(now time.Time, p *pool, g *group) time.Duration {
	if e.freeMemory(now, p) >= min(g.totalBytes(), int64(p.limits.Batch)*g.resultBytes) {
		return 0
	}
	return p.limits.CallTime
}

package agent

import "time"

// waiter is a call that waits for a slot.
type waiter struct {
	organisation string
	weight       int
	priority     int
	alone        bool
	// deadline is the time after which the result of the call is useless.
	deadline time.Time
	seq      uint64
	// granted delivers the decision to the goroutine of the call.
	granted chan grant
}

// grant is the decision about a waiter. It may run if refusal is nil.
type grant struct{ refusal *refusal }

// queue is a weighted fair queue of waiters. It serves higher priorities first and, among equal
// priorities, the organisation with the lowest usage for its weight. Its owner locks it and bounds
// its length.
type queue struct {
	waiters []*waiter
	seq     uint64
	// usage is the number of calls that each organisation was granted, divided by its weight.
	usage map[string]float64
	// virtualTime is the usage of the organisation that was served last. An organisation that was
	// idle continues from there, so that it does not accumulate credit.
	virtualTime float64
}

// maxTrackedOrganisations bounds the number of organisations whose usage is kept.
const maxTrackedOrganisations = 1024

func newQueue() *queue { return &queue{usage: map[string]float64{}} }

func (q *queue) len() int { return len(q.waiters) }

func (q *queue) push(w *waiter) {
	q.seq++
	w.seq = q.seq
	q.waiters = append(q.waiters, w)
}

// remove removes w and reports whether it was still queued.
func (q *queue) remove(w *waiter) bool {
	for i, x := range q.waiters {
		if x == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// next returns the waiter to serve next, or nil.
func (q *queue) next() *waiter {
	var best *waiter
	for _, w := range q.waiters {
		if best == nil || q.less(w, best) {
			best = w
		}
	}
	return best
}

func (q *queue) less(a, b *waiter) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if sa, sb := q.usageOf(a.organisation), q.usageOf(b.organisation); sa != sb {
		return sa < sb
	}
	return a.seq < b.seq
}

func (q *queue) usageOf(organisation string) float64 {
	return max(q.usage[organisation], q.virtualTime)
}

// charge adds one call to the usage of an organisation.
func (q *queue) charge(organisation string, weight int) {
	usage := q.usageOf(organisation)
	q.virtualTime = usage
	if len(q.usage) >= maxTrackedOrganisations {
		clear(q.usage)
	}
	q.usage[organisation] = usage + 1/float64(max(weight, 1))
}

// expired removes and returns the waiters whose deadline has passed.
func (q *queue) expired(now time.Time) []*waiter {
	var out []*waiter
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if now.Before(w.deadline) {
			kept = append(kept, w)
		} else {
			out = append(out, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
	return out
}

// drain removes and returns all waiters.
func (q *queue) drain() []*waiter {
	out := q.waiters
	q.waiters = nil
	return out
}

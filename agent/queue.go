package agent

import "time"

// waiter is one call that waits for a slot.
type waiter struct {
	organisation string
	weight       int
	priority     int
	alone        bool
	// deadline is when the call is of no use any more.
	deadline time.Time
	seq      uint64
	// granted carries the outcome to the call's goroutine.
	granted chan grant
}

// grant tells a waiter that it may run, or why not.
type grant struct{ refusal *refusal }

// queue holds the waiters. It serves higher priorities first and, among equal
// ones, the organisation that has had the least for its weight. It is pure and
// bounded by its owner.
type queue struct {
	waiters []*waiter
	seq     uint64
	// served is the work given to each organisation, divided by its weight.
	served map[string]float64
	// floor is the service of the last organisation served; one that was away
	// starts there, so that it cannot save up its share.
	floor float64
}

// maxServed bounds how many organisations' shares are kept.
const maxServed = 1024

func newQueue() *queue { return &queue{served: map[string]float64{}} }

func (q *queue) len() int { return len(q.waiters) }

func (q *queue) push(w *waiter) {
	q.seq++
	w.seq = q.seq
	q.waiters = append(q.waiters, w)
}

// remove takes w out and reports whether it was still waiting.
func (q *queue) remove(w *waiter) bool {
	for i, x := range q.waiters {
		if x == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// head returns the waiter to serve next, or nil.
func (q *queue) head() *waiter {
	var best *waiter
	for _, w := range q.waiters {
		if best == nil || q.before(w, best) {
			best = w
		}
	}
	return best
}

func (q *queue) before(a, b *waiter) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if sa, sb := q.share(a.organisation), q.share(b.organisation); sa != sb {
		return sa < sb
	}
	return a.seq < b.seq
}

func (q *queue) share(organisation string) float64 {
	return max(q.served[organisation], q.floor)
}

// charge counts one call to its organisation.
func (q *queue) charge(organisation string, weight int) {
	share := q.share(organisation)
	q.floor = share
	if len(q.served) >= maxServed {
		clear(q.served)
	}
	q.served[organisation] = share + 1/float64(max(weight, 1))
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

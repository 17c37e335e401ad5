package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/link"
)

// refusal says why a call was not admitted. A refused call never ran.
type refusal struct {
	code   contract.Code
	detail string
	// after is when room is expected again; 0 is not known.
	after time.Duration
}

// minRetryAfter is the least time after which a refused caller may come back.
const minRetryAfter = 5 * time.Millisecond

// changeRetryAfter is when to come back to an endpoint that carries out an order.
const changeRetryAfter = time.Second

// retryAfterDown is when a caller may ask again for an endpoint that is down.
const retryAfterDown = time.Second

// serviceWeight is the weight of a new answer in the mean service time.
const serviceWeight = 0.2

// gate is the state in which an agent takes no new work.
type gate struct {
	leaving bool
	out     bool
	// changing is set while the endpoint is drained for an order.
	changing bool
}

// admission holds the endpoint's limit against all entries together: it is the
// one place that sees their whole load.
type admission struct {
	now func() time.Time

	mu         sync.Mutex
	limiter    *limiter
	queue      *queue
	queueLimit int
	running    int
	alone      bool
	service    time.Duration
	gate       gate
	// model is what the endpoint serves; empty means any.
	model string
}

func newAdmission(l *limiter, queueLimit int, now func() time.Time) *admission {
	return &admission{now: now, limiter: l, queue: newQueue(), queueLimit: queueLimit}
}

// acquire waits for a slot. It refuses at once what cannot start in time.
func (a *admission) acquire(ctx context.Context, w *waiter) *refusal {
	a.mu.Lock()
	if r := a.enqueueLocked(w); r != nil {
		a.mu.Unlock()
		return r
	}
	a.dispatchLocked()
	a.mu.Unlock()
	select {
	case g := <-w.granted:
		return g.refusal
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.remove(w) {
		a.dispatchLocked()
		return endedEarly(ctx)
	}
	// The grant crossed the end of the wait.
	g := <-w.granted
	if g.refusal == nil {
		a.releaseLocked(w)
		return endedEarly(ctx)
	}
	return g.refusal
}

// endedEarly refuses a call whose context ended before it was handed over.
func endedEarly(ctx context.Context) *refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &refusal{code: contract.CodeDeadlineExceeded, detail: "deadline passed while it waited"}
	}
	return &refusal{code: contract.CodeCancelled, detail: "cancelled while it waited"}
}

func (a *admission) enqueueLocked(w *waiter) *refusal {
	if r := a.gate.refusal(); r != nil {
		return r
	}
	if a.limiter.down {
		return endpointDown()
	}
	now := a.now()
	a.expireLocked(now)
	wait := a.waitLocked(now)
	if a.queue.len() >= a.queueLimit && !a.freeLocked(now) {
		return &refusal{contract.CodeOverloaded, "queue is full", max(wait, minRetryAfter)}
	}
	if left := w.deadline.Sub(now); wait >= left {
		return &refusal{contract.CodeOverloaded, "cannot start in time", max(wait-left, minRetryAfter)}
	}
	w.granted = make(chan grant, 1)
	a.queue.push(w)
	return nil
}

func (a *admission) freeLocked(now time.Time) bool {
	return !a.alone && a.queue.len() == 0 && a.running < a.limiter.allowed(now)
}

// waitLocked estimates when one more call would start.
func (a *admission) waitLocked(now time.Time) time.Duration {
	allowed := a.limiter.allowed(now)
	ahead := a.running + a.queue.len() + 1 - allowed
	if ahead <= 0 {
		return 0
	}
	return a.service * time.Duration(ahead) / time.Duration(max(allowed, 1))
}

// dispatchLocked hands free slots to waiters.
func (a *admission) dispatchLocked() {
	now := a.now()
	a.expireLocked(now)
	for !a.alone {
		w := a.queue.head()
		if w == nil || a.running >= a.limiter.allowed(now) || w.alone && a.running > 0 {
			return
		}
		a.queue.remove(w)
		a.queue.charge(w.organisation, w.weight)
		a.running++
		a.alone = w.alone
		w.granted <- grant{}
	}
}

func (a *admission) expireLocked(now time.Time) {
	for _, w := range a.queue.expired(now) {
		w.granted <- grant{&refusal{contract.CodeDeadlineExceeded, "deadline passed while it waited", 0}}
	}
}

// release gives a slot back.
func (a *admission) release(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseLocked(w)
}

func (a *admission) releaseLocked(w *waiter) {
	a.running--
	if w.alone {
		a.alone = false
	}
	a.dispatchLocked()
}

// answered takes the outcome of a call that still holds its slot.
func (a *admission) answered(good bool, latency, service time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if good {
		if a.service == 0 {
			a.service = service
		}
		a.service += time.Duration(serviceWeight * float64(service-a.service))
	}
	a.limiter.answer(good, latency, a.running)
	a.dispatchLocked()
}

// endpointDown refuses at once: an endpoint that fails every call quickly must
// not draw more of them by looking idle.
func endpointDown() *refusal {
	return &refusal{contract.CodeNoEndpoint, "endpoint does not answer", retryAfterDown}
}

// setDown takes the endpoint for dead until its next report. What waits is
// refused, so that it runs elsewhere. It reports whether this was news.
func (a *admission) setDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limiter.down {
		return false
	}
	a.limiter.turnCold(ColdCrash)
	a.limiter.down = true
	for _, w := range a.queue.drain() {
		w.granted <- grant{endpointDown()}
	}
	return true
}

// doubt holds new calls back until the next report.
func (a *admission) doubt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.doubted = true
}

// turnCold takes the endpoint for cold.
func (a *admission) turnCold(why ColdReason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.turnCold(why)
}

// isDown reports whether nobody listens at the endpoint's address.
func (a *admission) isDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.down
}

// health takes the endpoint's report.
func (a *admission) health(h endpoint.Health, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.health(a.now(), h, err, a.running)
	a.dispatchLocked()
}

// set takes changed settings.
func (a *admission) set(l Limits, queueLimit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queueLimit = queueLimit
	a.limiter.setLimits(l)
	a.dispatchLocked()
}

// setGate opens or closes the agent to new work. What waits is refused.
func (a *admission) setGate(change func(*gate)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.gate)
	r := a.gate.refusal()
	if r == nil {
		return
	}
	for _, w := range a.queue.drain() {
		w.granted <- grant{r}
	}
}

func (g gate) refusal() *refusal {
	switch {
	case g.leaving:
		return &refusal{code: contract.CodeShuttingDown, detail: "agent takes no new work"}
	case g.out:
		return &refusal{code: contract.CodeDataCentreOut, detail: "data centre is taken out"}
	case g.changing:
		return &refusal{contract.CodeOverloaded, "endpoint carries out an order", changeRetryAfter}
	}
	return nil
}

// load returns what replies tell the entries.
func (a *admission) load() link.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	limit := a.limiter.allowed(now)
	if a.gate.changing {
		limit = 0
	}
	return link.Load{
		Limit:         limit,
		Model:         a.model,
		InFlight:      a.running + a.queue.len(),
		QueueUS:       a.waitLocked(now).Microseconds(),
		ServiceUS:     a.service.Microseconds(),
		Cold:          a.limiter.cold,
		Leaving:       a.gate.leaving,
		DataCentreOut: a.gate.out,
		Down:          a.limiter.down,
	}
}

func (a *admission) setModel(model string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.model = model
}

// poke hands out slots that time alone has freed.
func (a *admission) poke() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatchLocked()
}

// coldTurns returns how often and why the endpoint was last taken for cold, and
// whether calls of a former agent may still run.
func (a *admission) coldTurns() (turns int, why ColdReason, foreign bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.turns, a.limiter.reason, a.limiter.foreign > 0
}

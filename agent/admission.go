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

// refusal is the reason for which a call was not admitted. A refused call never ran.
type refusal struct {
	code   contract.Code
	detail string
	// retryAfter is the time after which capacity is expected; 0 if it is not known.
	retryAfter time.Duration
}

// minRetryAfter is the shortest retry delay that is given to a refused caller.
const minRetryAfter = 5 * time.Millisecond

// orderRetryAfter is the retry delay while the endpoint carries out an order.
const orderRetryAfter = time.Second

// downRetryAfter is the retry delay while the endpoint is down.
const downRetryAfter = time.Second

// serviceTimeWeight is the weight of a new sample in the moving average of the service time.
const serviceTimeWeight = 0.2

// gate holds the conditions under which an agent takes no new work.
type gate struct {
	leaving       bool
	dataCentreOut bool
	// draining is set while the endpoint is drained for an order.
	draining bool
}

// admission enforces the endpoint's concurrency limit. It does so across all entries, since only
// the agent sees their combined load.
type admission struct {
	now func() time.Time

	mu          sync.Mutex
	limiter     *limiter
	queue       *queue
	queueLimit  int
	running     int
	alone       bool
	serviceTime time.Duration
	gate        gate
	// model is the model that the endpoint serves; empty means any.
	model string
}

func newAdmission(l *limiter, queueLimit int, now func() time.Time) *admission {
	return &admission{now: now, limiter: l, queue: newQueue(), queueLimit: queueLimit}
}

// acquire waits for a slot. A call that cannot start before its deadline is refused at once.
func (a *admission) acquire(ctx context.Context, w *waiter) *refusal {
	a.mu.Lock()
	if r := a.enqueueLocked(w); r != nil {
		a.mu.Unlock()
		return r
	}
	a.dispatchLocked()
	a.mu.Unlock()
	select {
	case decision := <-w.granted:
		return decision.refusal
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.remove(w) {
		a.dispatchLocked()
		return contextRefusal(ctx)
	}
	// The grant was sent at the same time as the context ended.
	decision := <-w.granted
	if decision.refusal == nil {
		a.releaseLocked(w)
		return contextRefusal(ctx)
	}
	return decision.refusal
}

// contextRefusal refuses a call whose context ended before the call was sent to the endpoint.
func contextRefusal(ctx context.Context) *refusal {
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
		return refuseEndpointDown()
	}
	now := a.now()
	a.expireLocked(now)
	delay := a.queueDelayLocked(now)
	if a.queue.len() >= a.queueLimit && !a.hasFreeSlotLocked(now) {
		return &refusal{contract.CodeOverloaded, "queue is full", max(delay, minRetryAfter)}
	}
	if remaining := w.deadline.Sub(now); delay >= remaining {
		return &refusal{contract.CodeOverloaded, "cannot start in time", max(delay-remaining, minRetryAfter)}
	}
	w.granted = make(chan grant, 1)
	a.queue.push(w)
	return nil
}

func (a *admission) hasFreeSlotLocked(now time.Time) bool {
	return !a.alone && a.queue.len() == 0 && a.running < a.limiter.allowed(now)
}

// queueDelayLocked estimates the time until one more call would start.
func (a *admission) queueDelayLocked(now time.Time) time.Duration {
	allowed := a.limiter.allowed(now)
	ahead := a.running + a.queue.len() + 1 - allowed
	if ahead <= 0 {
		return 0
	}
	return a.serviceTime * time.Duration(ahead) / time.Duration(max(allowed, 1))
}

// dispatchLocked assigns free slots to queued calls.
func (a *admission) dispatchLocked() {
	now := a.now()
	a.expireLocked(now)
	for !a.alone {
		w := a.queue.next()
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

// release returns a slot.
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

// recordResult records the outcome of a call that still holds its slot.
func (a *admission) recordResult(success bool, latency, serviceTime time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if success {
		if a.serviceTime == 0 {
			a.serviceTime = serviceTime
		}
		a.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-a.serviceTime))
	}
	a.limiter.observe(success, latency, a.running)
	a.dispatchLocked()
}

// refuseEndpointDown returns the refusal for an endpoint that is down. Calls are refused at once,
// because an endpoint that fails every call quickly would otherwise look idle and attract more of
// them.
func refuseEndpointDown() *refusal {
	return &refusal{contract.CodeNoEndpoint, "endpoint does not answer", downRetryAfter}
}

// setDown marks the endpoint as down until its next report. It refuses all queued calls, so that
// they run elsewhere. It reports whether the endpoint was up before.
func (a *admission) setDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limiter.down {
		return false
	}
	a.limiter.markCold(ColdCrash)
	a.limiter.down = true
	for _, w := range a.queue.drain() {
		w.granted <- grant{refuseEndpointDown()}
	}
	return true
}

// suspectRestart admits no new calls until the endpoint's next report.
func (a *admission) suspectRestart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.restartSuspected = true
}

// markCold marks the endpoint as cold.
func (a *admission) markCold(reason ColdReason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.markCold(reason)
}

// isDown reports whether the endpoint was marked as down.
func (a *admission) isDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.down
}

// updateHealth applies a health report of the endpoint, or the failed attempt to get one.
func (a *admission) updateHealth(h endpoint.Health, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.applyReport(a.now(), h, err, a.running)
	a.dispatchLocked()
}

// configure applies changed settings.
func (a *admission) configure(l Limits, queueLimit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queueLimit = queueLimit
	a.limiter.setLimits(l)
	a.dispatchLocked()
}

// updateGate changes the gate. If the agent then takes no new work, it refuses all queued calls.
func (a *admission) updateGate(update func(*gate)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	update(&a.gate)
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
	case g.dataCentreOut:
		return &refusal{code: contract.CodeDataCentreOut, detail: "data centre is taken out"}
	case g.draining:
		return &refusal{contract.CodeOverloaded, "endpoint carries out an order", orderRetryAfter}
	}
	return nil
}

// load returns the load that is reported to entries.
func (a *admission) load() link.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	limit := a.limiter.allowed(now)
	if a.gate.draining {
		limit = 0
	}
	return link.Load{
		Limit:         limit,
		Model:         a.model,
		InFlight:      a.running + a.queue.len(),
		QueueUS:       a.queueDelayLocked(now).Microseconds(),
		ServiceUS:     a.serviceTime.Microseconds(),
		Cold:          a.limiter.cold,
		Leaving:       a.gate.leaving,
		DataCentreOut: a.gate.dataCentreOut,
		Down:          a.limiter.down,
	}
}

func (a *admission) setModel(model string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.model = model
}

// dispatch assigns slots that have become free by the passing of time alone.
func (a *admission) dispatch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatchLocked()
}

// coldState returns how often the endpoint has been marked as cold, the reason for the last time,
// and whether calls of the preceding agent process may still be running.
func (a *admission) coldState() (count int, reason ColdReason, predecessorCalls bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.coldCount, a.limiter.reason, a.limiter.predecessorCalls > 0
}

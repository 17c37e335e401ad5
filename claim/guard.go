package claim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/azurelead/azurelead/platform"
)

// breaker fails calls fast while the store is known to be down, and lets one
// probe through after each pause.
type breaker struct {
	limit    int
	pause    time.Duration
	failures int
	reopen   time.Time
	probing  bool
}

// allow reports whether a call may be sent now.
func (b *breaker) allow(now time.Time) bool {
	if b.failures < b.limit {
		return true
	}
	if b.probing || now.Before(b.reopen) {
		return false
	}
	b.probing = true
	return true
}

// open reports whether a call would be refused now.
func (b *breaker) open(now time.Time) bool {
	return b.failures >= b.limit && (b.probing || now.Before(b.reopen))
}

// done records how a call that was allowed ended. jitter is in [0, 1): it
// keeps the probes of many processes from falling together.
func (b *breaker) done(now time.Time, ok bool, jitter float64) {
	b.probing = false
	if ok {
		b.failures = 0
		return
	}
	b.failures++
	b.reopen = now.Add(time.Duration(float64(b.pause) * (0.5 + jitter)))
}

// guard is a platform.Store whose calls are budgeted, bounded in time and
// failed fast while the store is down.
type guard struct {
	store   platform.Store
	limiter *rate.Limiter
	timeout time.Duration
	metrics *metrics

	mu      sync.Mutex
	breaker breaker
}

func newGuard(o Options, m *metrics) *guard {
	return &guard{
		store:   o.Store,
		limiter: rate.NewLimiter(rate.Limit(o.CallsPerSecond), o.CallBurst),
		timeout: o.CallTimeout,
		metrics: m,
		breaker: breaker{limit: o.BreakerFailures, pause: o.BreakerProbeInterval},
	}
}

// down reports whether calls fail at once now.
func (g *guard) down() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.breaker.open(time.Now())
}

func (g *guard) get(ctx context.Context, key string) (o platform.Object, err error) {
	err = g.do(ctx, "get", func(ctx context.Context) error {
		o, err = g.store.Get(ctx, key)
		return err
	})
	return o, err
}

func (g *guard) put(ctx context.Context, key string, value json.RawMessage, ifVersion uint64) (v uint64, err error) {
	g.metrics.bytes.Add(float64(len(value)))
	err = g.do(ctx, "put", func(ctx context.Context) error {
		v, err = g.store.Put(ctx, key, value, ifVersion)
		return err
	})
	return v, err
}

func (g *guard) delete(ctx context.Context, key string, ifVersion uint64) error {
	return g.do(ctx, "delete", func(ctx context.Context) error {
		return g.store.Delete(ctx, key, ifVersion)
	})
}

func (g *guard) do(ctx context.Context, call string, f func(context.Context) error) error {
	if err := g.enter(ctx); err != nil {
		g.metrics.calls.WithLabelValues(call, "not_sent").Inc()
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	err := f(ctx)
	ok := err == nil || settled(err)
	g.metrics.calls.WithLabelValues(call, label(ok)).Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.breaker.done(time.Now(), ok, rand.Float64())
	g.metrics.down.Set(boolGauge(g.breaker.failures >= g.breaker.limit))
	return err
}

// enter waits for the call's share of the budget.
func (g *guard) enter(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	if err := g.limiter.Wait(wait); err != nil {
		return notSent.New("over the budget of store calls")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.breaker.allow(time.Now()) {
		return notSent.New("the store is down")
	}
	return nil
}

// settled reports whether the store answered: the effect of the call is known.
func settled(err error) bool {
	return platform.Conflict.Has(err) || platform.NotFound.Has(err) || platform.TooLarge.Has(err)
}

// untouched reports whether a failed call certainly had no effect.
func untouched(err error) bool {
	return notSent.Has(err) || platform.RateLimited.Has(err) || settled(err)
}

func label(ok bool) string {
	if ok {
		return "answered"
	}
	return "failed"
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

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

// breaker is a circuit breaker. It rejects calls while the store is known to be down,
// and admits one probe after each probe interval.
type breaker struct {
	threshold     int
	probeInterval time.Duration
	failures      int
	nextProbe     time.Time
	probing       bool
}

// allow reports whether a call may be sent now. A call that is allowed while the breaker
// is open is the probe.
func (b *breaker) allow(now time.Time) bool {
	if b.failures < b.threshold {
		return true
	}
	if b.probing || now.Before(b.nextProbe) {
		return false
	}
	b.probing = true
	return true
}

// open reports whether a call would be rejected now.
func (b *breaker) open(now time.Time) bool {
	return b.failures >= b.threshold && (b.probing || now.Before(b.nextProbe))
}

// record records the result of a call that was allowed. jitter is in [0, 1) and
// prevents many processes from sending their probes at the same time.
func (b *breaker) record(now time.Time, ok bool, jitter float64) {
	b.probing = false
	if ok {
		b.failures = 0
		return
	}
	b.failures++
	b.nextProbe = now.Add(time.Duration(float64(b.probeInterval) * (0.5 + jitter)))
}

// storeClient calls a platform.Store with a rate limit, a timeout for each call, and a
// circuit breaker.
type storeClient struct {
	store   platform.Store
	limiter *rate.Limiter
	timeout time.Duration
	metrics *metrics

	mu      sync.Mutex
	breaker breaker
}

func newStoreClient(o Options, m *metrics) *storeClient {
	return &storeClient{
		store:   o.Store,
		limiter: rate.NewLimiter(rate.Limit(o.CallsPerSecond), o.CallBurst),
		timeout: o.CallTimeout,
		metrics: m,
		breaker: breaker{threshold: o.BreakerFailures, probeInterval: o.BreakerProbeInterval},
	}
}

// storeDown reports whether calls are rejected now because the store is down.
func (c *storeClient) storeDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.open(time.Now())
}

func (c *storeClient) get(ctx context.Context, key string) (o platform.Object, err error) {
	err = c.call(ctx, "get", func(ctx context.Context) error {
		o, err = c.store.Get(ctx, key)
		return err
	})
	return o, err
}

func (c *storeClient) put(ctx context.Context, key string, value json.RawMessage, ifVersion uint64) (v uint64, err error) {
	c.metrics.writtenBytes.Add(float64(len(value)))
	err = c.call(ctx, "put", func(ctx context.Context) error {
		v, err = c.store.Put(ctx, key, value, ifVersion)
		return err
	})
	return v, err
}

func (c *storeClient) delete(ctx context.Context, key string, ifVersion uint64) error {
	return c.call(ctx, "delete", func(ctx context.Context) error {
		return c.store.Delete(ctx, key, ifVersion)
	})
}

func (c *storeClient) call(ctx context.Context, method string, f func(context.Context) error) error {
	if err := c.admit(ctx); err != nil {
		c.metrics.calls.WithLabelValues(method, "not_sent").Inc()
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	err := f(ctx)
	ok := err == nil || answered(err)
	c.metrics.calls.WithLabelValues(method, resultLabel(ok)).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.record(time.Now(), ok, rand.Float64())
	c.metrics.storeDown.Set(boolGauge(c.breaker.failures >= c.breaker.threshold))
	return err
}

// admit waits until the rate limit permits a call. It returns an error if that takes
// longer than the timeout of a call, or if the breaker is open.
func (c *storeClient) admit(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.limiter.Wait(waitCtx); err != nil {
		return notSent.New("over the budget of store calls")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.breaker.allow(time.Now()) {
		return notSent.New("the store is down")
	}
	return nil
}

// answered reports whether err is a response of the store, so that the effect of the
// call is known.
func answered(err error) bool {
	return platform.Conflict.Has(err) || platform.NotFound.Has(err) || platform.TooLarge.Has(err)
}

// hadNoEffect reports whether err proves that the failed call had no effect.
func hadNoEffect(err error) bool {
	return notSent.Has(err) || platform.RateLimited.Has(err) || answered(err)
}

func resultLabel(ok bool) string {
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

package order

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/lease"
	"github.com/azurelead/azurelead/platform"
)

// Agents reaches the agents of engines.
type Agents interface {
	Report(ctx context.Context, i platform.Instance, fence uint64) (Report, *contract.Problem)
	Order(ctx context.Context, i platform.Instance, o Order) *contract.Problem
}

// Group is one pool of engines in one data centre with what is wanted there.
type Group struct {
	Instances []platform.Instance
	Wishes    []Wish
}

// Demand is what the settings ask for.
type Demand struct {
	Groups []Group
	// MaxLoads bounds the loads in progress in the whole fleet, so that they
	// stay under the weight store's rate.
	MaxLoads int
	// Settings is the version that the demand is of.
	Settings uint64
}

// Wanted gives the demand of the settings in force.
type Wanted func(ctx context.Context) (Demand, error)

// DoerOptions configures a Doer.
type DoerOptions struct {
	Lease  *lease.Lease
	Agents Agents
	Wanted Wanted
	// CallTimeout bounds one call of an agent.
	CallTimeout time.Duration
	Registerer  prometheus.Registerer
	Logger      *slog.Logger
}

type doerMetrics struct {
	orders *prometheus.CounterVec
	leader prometheus.Gauge
}

func newDoerMetrics(r prometheus.Registerer) *doerMetrics {
	m := &doerMetrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_orders_total",
			Help: "Orders issued to engines, by kind and result.",
		}, []string{"kind", "result"}),
		leader: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "azurelead_orders_lease_held",
			Help: "1 while this process holds the lease of the orders.",
		}),
	}
	if r != nil {
		r.MustRegister(m.orders, m.leader)
	}
	return m
}

// Doer issues orders while it holds the lease. One goroutine uses it.
type Doer struct {
	o       DoerOptions
	m       *doerMetrics
	holding bool
}

// NewDoer returns a doer that has not tried for the lease yet.
func NewDoer(o DoerOptions) *Doer {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return &Doer{o: o, m: newDoerMetrics(o.Registerer)}
}

// Holding reports whether the last round held the lease.
func (d *Doer) Holding() bool { return d.holding }

// Stop gives the lease up, if it is held.
func (d *Doer) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), d.o.CallTimeout)
	defer cancel()
	_ = d.o.Lease.Release(ctx) // after a failure the lease lapses
	d.note(false, 0)
}

// Round renews or tries for the lease and, when this process holds it, issues
// the orders that one look at the engines calls for.
func (d *Doer) Round(ctx context.Context) {
	_ = d.o.Lease.Tick(ctx) // the store may be down; a term that still stands is used up
	fence, ok := d.o.Lease.Fence()
	d.note(ok, fence)
	if !ok {
		return
	}
	demand, err := d.o.Wanted(ctx)
	if err != nil {
		return
	}
	reports := d.reports(ctx, demand.Groups, fence)
	loads := demand.MaxLoads - busyCount(reports)
	for i, g := range demand.Groups {
		orders := Plan(Input{Wishes: g.Wishes, Engines: reports[i], Loads: loads})
		loads -= len(orders)
		d.issue(ctx, g, orders, demand.Settings)
	}
}

func (d *Doer) note(holding bool, fence uint64) {
	if holding == d.holding {
		return
	}
	d.holding = holding
	d.m.leader.Set(0)
	if holding {
		d.m.leader.Set(1)
	}
	d.o.Logger.Info("orders lease", "held", holding, "fence", fence)
}

// reports asks every engine. An engine that cannot be asked is left out: it
// gets no order, and what it served is not counted as a copy.
func (d *Doer) reports(ctx context.Context, groups []Group, fence uint64) [][]Report {
	all := make([][]Report, len(groups))
	for i, g := range groups {
		for _, instance := range g.Instances {
			callCtx, cancel := context.WithTimeout(ctx, d.o.CallTimeout)
			r, p := d.o.Agents.Report(callCtx, instance, fence)
			cancel()
			if p == nil {
				all[i] = append(all[i], r)
			}
		}
	}
	return all
}

func busyCount(reports [][]Report) int {
	n := 0
	for _, group := range reports {
		for _, r := range group {
			if r.busy() {
				n++
			}
		}
	}
	return n
}

// issue sends the orders. It asks for the fencing number again before each
// one, since this process may have been paused past its term in between.
func (d *Doer) issue(ctx context.Context, g Group, orders []Order, settings uint64) {
	for _, o := range orders {
		fence, ok := d.o.Lease.Fence()
		if !ok {
			return
		}
		o.ID = uuid.NewString()
		o.Fence = fence
		o.Settings = settings
		d.m.orders.WithLabelValues(string(o.Kind), d.send(ctx, g, o)).Inc()
	}
}

func (d *Doer) send(ctx context.Context, g Group, o Order) string {
	for _, instance := range g.Instances {
		if instance.Name != o.Instance {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, d.o.CallTimeout)
		defer cancel()
		if p := d.o.Agents.Order(callCtx, instance, o); p != nil {
			return string(p.Code)
		}
		return "accepted"
	}
	return "gone"
}

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
	Desired   []DesiredModel
}

// Demand is what the settings ask for.
type Demand struct {
	Groups []Group
	// MaxLoads bounds the loads in progress in the whole fleet, so that they
	// stay under the weight store's rate.
	MaxLoads int
	// SettingsVersion is the version that the demand is of.
	SettingsVersion uint64
}

// DemandFunc gives the demand of the settings in force.
type DemandFunc func(ctx context.Context) (Demand, error)

// ControllerOptions configures a Controller.
type ControllerOptions struct {
	Lease      *lease.Lease
	Agents     Agents
	ReadDemand DemandFunc
	// CallTimeout bounds one call of an agent.
	CallTimeout time.Duration
	Registerer  prometheus.Registerer
	Logger      *slog.Logger
}

type controllerMetrics struct {
	orders *prometheus.CounterVec
	leader prometheus.Gauge
}

func newControllerMetrics(r prometheus.Registerer) *controllerMetrics {
	m := &controllerMetrics{
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

// Controller issues orders while it holds the lease. One goroutine uses it.
type Controller struct {
	o       ControllerOptions
	m       *controllerMetrics
	holding bool
}

// NewController returns a controller that has not tried for the lease yet.
func NewController(o ControllerOptions) *Controller {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return &Controller{o: o, m: newControllerMetrics(o.Registerer)}
}

// HoldsLease reports whether the last round held the lease.
func (c *Controller) HoldsLease() bool { return c.holding }

// Stop gives the lease up, if it is held.
func (c *Controller) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), c.o.CallTimeout)
	defer cancel()
	_ = c.o.Lease.Release(ctx) // after a failure the lease lapses
	c.note(false, 0)
}

// Reconcile renews or tries for the lease and, when this process holds it, issues
// the orders that one look at the engines calls for.
func (c *Controller) Reconcile(ctx context.Context) {
	_ = c.o.Lease.Tick(ctx) // the store may be down; a term that still stands is used up
	fence, ok := c.o.Lease.Fence()
	c.note(ok, fence)
	if !ok {
		return
	}
	demand, err := c.o.ReadDemand(ctx)
	if err != nil {
		return
	}
	reports := c.reports(ctx, demand.Groups, fence)
	loads := demand.MaxLoads - busyCount(reports)
	for i, g := range demand.Groups {
		orders := Plan(PlanInput{Desired: g.Desired, Engines: reports[i], LoadBudget: loads})
		loads -= len(orders)
		c.issue(ctx, g, orders, demand.SettingsVersion)
	}
}

func (c *Controller) note(holding bool, fence uint64) {
	if holding == c.holding {
		return
	}
	c.holding = holding
	c.m.leader.Set(0)
	if holding {
		c.m.leader.Set(1)
	}
	c.o.Logger.Info("orders lease", "held", holding, "fence", fence)
}

// reports asks every engine. An engine that cannot be asked is left out: it
// gets no order, and what it served is not counted as a copy.
func (c *Controller) reports(ctx context.Context, groups []Group, fence uint64) [][]Report {
	all := make([][]Report, len(groups))
	for i, g := range groups {
		for _, instance := range g.Instances {
			callCtx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
			r, p := c.o.Agents.Report(callCtx, instance, fence)
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
func (c *Controller) issue(ctx context.Context, g Group, orders []Order, settings uint64) {
	for _, o := range orders {
		fence, ok := c.o.Lease.Fence()
		if !ok {
			return
		}
		o.ID = uuid.NewString()
		o.Fence = fence
		o.SettingsVersion = settings
		c.m.orders.WithLabelValues(string(o.Kind), c.send(ctx, g, o)).Inc()
	}
}

func (c *Controller) send(ctx context.Context, g Group, o Order) string {
	for _, instance := range g.Instances {
		if instance.Name != o.Instance {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, c.o.CallTimeout)
		defer cancel()
		if p := c.o.Agents.Order(callCtx, instance, o); p != nil {
			return string(p.Code)
		}
		return "accepted"
	}
	return "gone"
}

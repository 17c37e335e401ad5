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

// Agents sends requests to the agents of engines.
type Agents interface {
	Report(ctx context.Context, i platform.Instance, fence uint64) (Report, *contract.Problem)
	Order(ctx context.Context, i platform.Instance, o Order) *contract.Problem
}

// Group is one pool of engines in one data centre, with the models that are desired there.
type Group struct {
	Instances []platform.Instance
	Desired   []DesiredModel
}

// Demand is what the settings specify for all groups.
type Demand struct {
	Groups []Group
	// MaxLoads is the largest number of loads in progress in the whole fleet. It keeps
	// them within the weight store's rate.
	MaxLoads int
	// SettingsVersion is the version of the settings that the demand is read from.
	SettingsVersion uint64
}

// DemandFunc returns the demand of the settings in force.
type DemandFunc func(ctx context.Context) (Demand, error)

// ControllerOptions configures a Controller.
type ControllerOptions struct {
	Lease      *lease.Lease
	Agents     Agents
	ReadDemand DemandFunc
	// CallTimeout bounds one call to an agent.
	CallTimeout time.Duration
	Registerer  prometheus.Registerer
	Logger      *slog.Logger
}

type controllerMetrics struct {
	orders     *prometheus.CounterVec
	leaseGauge prometheus.Gauge
}

func newControllerMetrics(r prometheus.Registerer) *controllerMetrics {
	m := &controllerMetrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "azurelead_orders_total",
			Help: "Orders issued to engines, by kind and result.",
		}, []string{"kind", "result"}),
		leaseGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "azurelead_orders_lease_held",
			Help: "1 while this process holds the lease of the orders.",
		}),
	}
	if r != nil {
		r.MustRegister(m.orders, m.leaseGauge)
	}
	return m
}

// Controller issues orders while it holds the lease. It is not safe for concurrent use.
type Controller struct {
	options   ControllerOptions
	metrics   *controllerMetrics
	leaseHeld bool
}

// NewController returns a controller that does not hold the lease yet.
func NewController(options ControllerOptions) *Controller {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Controller{options: options, metrics: newControllerMetrics(options.Registerer)}
}

// HoldsLease reports whether the lease was held in the last call of Reconcile.
func (c *Controller) HoldsLease() bool { return c.leaseHeld }

// Stop releases the lease if it is held.
func (c *Controller) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.CallTimeout)
	defer cancel()
	_ = c.options.Lease.Release(ctx) // after a failure the lease expires
	c.setLeaseHeld(false, 0)
}

// Reconcile renews the lease or tries to acquire it. If this process holds the lease, it
// reads the state of all engines once and issues the orders that follow from it.
func (c *Controller) Reconcile(ctx context.Context) {
	_ = c.options.Lease.Tick(ctx) // if the store is down, the current term remains valid until it ends
	fence, ok := c.options.Lease.Fence()
	c.setLeaseHeld(ok, fence)
	if !ok {
		return
	}
	demand, err := c.options.ReadDemand(ctx)
	if err != nil {
		return
	}
	reports := c.collectReports(ctx, demand.Groups, fence)
	loadBudget := demand.MaxLoads - busyCount(reports)
	for i, g := range demand.Groups {
		orders := Plan(PlanInput{Desired: g.Desired, Engines: reports[i], LoadBudget: loadBudget})
		loadBudget -= len(orders)
		c.issue(ctx, g, orders, demand.SettingsVersion)
	}
}

func (c *Controller) setLeaseHeld(held bool, fence uint64) {
	if held == c.leaseHeld {
		return
	}
	c.leaseHeld = held
	c.metrics.leaseGauge.Set(0)
	if held {
		c.metrics.leaseGauge.Set(1)
	}
	c.options.Logger.Info("orders lease state changed", "held", held, "fence", fence)
}

// collectReports requests a report from every engine's agent. An engine without a report
// is left out: it gets no order and is not counted as a copy of its model.
func (c *Controller) collectReports(ctx context.Context, groups []Group, fence uint64) [][]Report {
	reports := make([][]Report, len(groups))
	for i, g := range groups {
		for _, instance := range g.Instances {
			callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
			r, p := c.options.Agents.Report(callCtx, instance, fence)
			cancel()
			if p == nil {
				reports[i] = append(reports[i], r)
			}
		}
	}
	return reports
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

// issue sends the orders. It reads the fencing number again before each order, since
// this process may have been paused until after the end of its term.
func (c *Controller) issue(ctx context.Context, g Group, orders []Order, settingsVersion uint64) {
	for _, o := range orders {
		fence, ok := c.options.Lease.Fence()
		if !ok {
			return
		}
		o.ID = uuid.NewString()
		o.Fence = fence
		o.SettingsVersion = settingsVersion
		c.metrics.orders.WithLabelValues(string(o.Kind), c.send(ctx, g, o)).Inc()
	}
}

func (c *Controller) send(ctx context.Context, g Group, o Order) string {
	for _, instance := range g.Instances {
		if instance.Name != o.Instance {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
		defer cancel()
		if p := c.options.Agents.Order(callCtx, instance, o); p != nil {
			return string(p.Code)
		}
		return "accepted"
	}
	return "gone"
}

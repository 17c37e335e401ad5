package agentdaemon

import (
	"context"
	"slices"
	"time"

	"github.com/azurelead/azurelead/endpoint"
	"github.com/azurelead/azurelead/lease"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/membership"
	"github.com/azurelead/azurelead/order"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/platform"
)

const (
	// ordersLease is the key of the lease that allows its holder to issue orders.
	ordersLease = "leases/orders"
	// leaseTerm and leaseMargin bound the time without a controller after the previous one has
	// failed.
	leaseTerm   = 12 * time.Second
	leaseMargin = 2 * time.Second
	// orderInterval is the interval between two rounds of the controller.
	orderInterval = 3 * time.Second
	// orderCallTimeout bounds one call of the controller to an agent.
	orderCallTimeout = 2 * time.Second
	// orderTimeout bounds the execution of one order, including draining the endpoint and loading
	// the model.
	orderTimeout = 10 * time.Minute
	// candidatesTTL is how long the candidates are cached. It limits the calls to the platform,
	// because every agent of an engine reads the list of instances to find them.
	candidatesTTL = 30 * time.Second
	// controllerCandidates is the number of agents that compete for the lease, so that the number
	// of store calls does not grow with the fleet.
	controllerCandidates = 3
)

// openOrders sets up the executor, which carries out orders for this agent's engine, and the
// controller, which issues orders while this agent holds the lease.
func (d *Daemon) openOrders(engine *endpoint.Engine, linkOptions link.ClientOptions) {
	d.executor = order.NewExecutor(order.ExecutorOptions{
		Instance: d.config.Name, AgentBoot: d.node.Agent().Boot(),
		Guard:  order.NewGuard(order.LeaseFenceSource{Store: d.platform, Key: ordersLease}),
		Engine: order.HTTPEngine{Driver: engine}, Drainer: d.node.Agent(), Timeout: orderTimeout,
	})
	d.node.Handle(link.MethodOrder, d.executor.Handle)
	d.agentClient = &order.AgentClient{Options: linkOptions}
	d.controller = order.NewController(order.ControllerOptions{
		Lease: lease.New(lease.Options{
			Store: d.platform, Key: ordersLease, Holder: d.node.Agent().Boot(), Term: leaseTerm, Margin: leaseMargin,
		}),
		Agents: d.agentClient, ReadDemand: d.demand, CallTimeout: orderCallTimeout,
		Registerer: d.registry, Logger: d.logger,
	})
}

// runOrders runs the controller while this agent is one of the candidates, and keeps the model that
// its engine serves up to date for entries.
func (d *Daemon) runOrders(ctx context.Context, engine *endpoint.Engine) {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	defer d.agentClient.Close()
	for {
		d.reportModel(ctx, engine)
		if d.isCandidate(ctx) {
			d.controller.Reconcile(ctx)
		} else {
			d.controller.Stop()
		}
		select {
		case <-ctx.Done():
			d.controller.Stop()
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) reportModel(ctx context.Context, engine *endpoint.Engine) {
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	if s, err := engine.Serving(ctx); err == nil {
		d.node.Agent().SetModel(s.Model)
	}
}

// isCandidate reports whether this agent is one of those that compete for the lease. If the
// settings name no desired model, there is nothing to order.
func (d *Daemon) isCandidate(ctx context.Context) bool {
	if !d.hasDesiredModels() {
		return false
	}
	if time.Since(d.candidates.readAt) > candidatesTTL || !d.candidates.listed {
		d.refreshCandidates(ctx)
	}
	return slices.Contains(d.candidates.names, d.config.Name)
}

// candidates are the agents that compete for the lease, as last read.
type candidates struct {
	names []string
	// listed is set once the platform's list contains this instance.
	listed bool
	readAt time.Time
}

// refreshCandidates reads the candidates from the platform's list. If the list cannot be read, the
// previous candidates stay: a lease holder continues for its term.
func (d *Daemon) refreshCandidates(ctx context.Context) {
	instances, err := d.platform.Instances(ctx)
	if err != nil {
		return
	}
	d.candidates = candidates{
		names:  selectCandidates(instances),
		listed: slices.ContainsFunc(instances, func(i platform.Instance) bool { return i.Name == d.config.Name }),
		readAt: time.Now(),
	}
}

func (d *Daemon) hasDesiredModels() bool {
	s := d.follower.Current()
	if s == nil {
		return false
	}
	for _, c := range s.Document.DataCentres {
		for _, p := range c.Pools {
			if len(p.Models) > 0 {
				return true
			}
		}
	}
	return false
}

// selectCandidates returns the candidates among the live agents of engines.
func selectCandidates(instances []platform.Instance) []string {
	var names []string
	for _, i := range instances {
		if i.Kind == pipeline.Generate && i.State == platform.Live {
			names = append(names, i.Name)
		}
	}
	return membership.RendezvousTop(ordersLease, names, controllerCandidates)
}

// demand returns the deployment that the settings ask for.
func (d *Daemon) demand(ctx context.Context) (order.Demand, error) {
	s := d.follower.Current()
	if s == nil {
		return order.Demand{}, Error.New("no settings received yet")
	}
	instances, err := d.platform.Instances(ctx)
	if err != nil {
		return order.Demand{}, err
	}
	return order.Demand{
		Groups: order.GroupsOf(s, instances), MaxLoads: max(s.Document.MaxLoads, 1), SettingsVersion: s.Version,
	}, nil
}

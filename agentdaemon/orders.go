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
	// ordersLease is the key of the lease under which orders are issued.
	ordersLease = "leases/orders"
	// leaseTerm and leaseMargin bound the time without a controller after one died.
	leaseTerm   = 12 * time.Second
	leaseMargin = 2 * time.Second
	// orderInterval is the time between two rounds of the controller.
	orderInterval = 3 * time.Second
	// orderCallTimeout bounds one call of an agent by the controller.
	orderCallTimeout = 2 * time.Second
	// orderTimeout bounds one order with its drain and load.
	orderTimeout = 10 * time.Minute
	// candidatesAge is how long the choice of candidates stands, since every
	// agent of an engine reads the platform's list for it.
	candidatesAge = 30 * time.Second
	// controllerCandidates is how many agents try for the lease, so that the calls
	// to the store do not grow with the fleet.
	controllerCandidates = 3
)

// openOrders sets up the agent's part in orders: carrying them out for its own
// engine, and issuing them when it holds the lease.
func (d *Daemon) openOrders(driver *endpoint.Engine, links link.ClientOptions) {
	d.executor = order.NewExecutor(order.ExecutorOptions{
		Instance: d.c.Name, AgentBoot: d.node.Agent().Boot(),
		Guard:  order.NewGuard(order.LeaseFenceSource{Store: d.platform, Key: ordersLease}),
		Engine: order.HTTPEngine{Driver: driver}, Drainer: d.node.Agent(), Timeout: orderTimeout,
	})
	d.node.Handle(link.MethodOrder, d.executor.Handle)
	d.links = &order.AgentClient{Options: links}
	d.controller = order.NewController(order.ControllerOptions{
		Lease: lease.New(lease.Options{
			Store: d.platform, Key: ordersLease, Holder: d.node.Agent().Boot(), Term: leaseTerm, Margin: leaseMargin,
		}),
		Agents: d.links, ReadDemand: d.wanted, CallTimeout: orderCallTimeout,
		Registerer: d.registry, Logger: d.logger,
	})
}

// runOrders issues orders while this agent is one of the candidates, and keeps
// entries informed of the model that its engine serves.
func (d *Daemon) runOrders(ctx context.Context, driver *endpoint.Engine) {
	t := time.NewTicker(orderInterval)
	defer t.Stop()
	defer d.links.Close()
	for {
		d.noteModel(ctx, driver)
		if d.isCandidate(ctx) {
			d.controller.Reconcile(ctx)
		} else {
			d.controller.Stop()
		}
		select {
		case <-ctx.Done():
			d.controller.Stop()
			return
		case <-t.C:
		}
	}
}

func (d *Daemon) noteModel(ctx context.Context, driver *endpoint.Engine) {
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	if s, err := driver.Serving(ctx); err == nil {
		d.node.Agent().SetModel(s.Model)
	}
}

// isCandidate reports whether this agent is one of the few that try for the
// lease. Without any desired model in the settings there is nothing to order.
func (d *Daemon) isCandidate(ctx context.Context) bool {
	if !d.hasDesiredModels() {
		return false
	}
	if time.Since(d.candidates.readAt) > candidatesAge || !d.candidates.listed {
		d.readCandidates(ctx)
	}
	return slices.Contains(d.candidates.names, d.c.Name)
}

// candidates are the agents that try for the lease, as last read.
type candidates struct {
	names []string
	// listed is set once the list contains this instance.
	listed bool
	readAt time.Time
}

// readCandidates keeps the former candidates while the list cannot be read: a
// holder goes on while its term stands.
func (d *Daemon) readCandidates(ctx context.Context) {
	list, err := d.platform.Instances(ctx)
	if err != nil {
		return
	}
	d.candidates = candidates{
		names:  controllers(list),
		listed: slices.ContainsFunc(list, func(i platform.Instance) bool { return i.Name == d.c.Name }),
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

// controllers returns the candidates among the engines' agents.
func controllers(list []platform.Instance) []string {
	var names []string
	for _, i := range list {
		if i.Kind == pipeline.Generate && i.State == platform.Live {
			names = append(names, i.Name)
		}
	}
	return membership.RendezvousTop(ordersLease, names, controllerCandidates)
}

// wanted gives the controller what the settings ask for.
func (d *Daemon) wanted(ctx context.Context) (order.Demand, error) {
	s := d.follower.Current()
	if s == nil {
		return order.Demand{}, Error.New("no settings yet")
	}
	list, err := d.platform.Instances(ctx)
	if err != nil {
		return order.Demand{}, err
	}
	return order.Demand{
		Groups: order.GroupsOf(s, list), MaxLoads: max(s.Document.MaxLoads, 1), SettingsVersion: s.Version,
	}, nil
}

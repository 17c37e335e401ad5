package gatewaydaemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/canary"
	"github.com/azurelead/azurelead/follow"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/rollout"
)

// newRollouts returns the tracker of roll-outs, or nil if the settings allow no exposure to undecided versions.
func (d *daemon) newRollouts(incarnation string, reg prometheus.Registerer) *canary.Tracker {
	e := rollout.Exposure{Share: d.settings.ExposureShare, Slack: d.settings.ExposureSlack}
	if !e.Enabled() {
		return nil
	}
	return canary.New(canary.Options{
		Exposure: e, Incarnation: incarnation, Roster: d.roster, Store: d.store, Exchange: d.exchangeRollouts,
		EntryCount: func() int { _, n := d.entryNames(); return n },
		OnChange:   func() { d.coordinator.InvalidateEndpoints() }, Logger: d.logger, Metrics: canary.NewMetrics(reg),
	})
}

// followedKinds are the kinds of objects that this entry follows.
func (d *daemon) followedKinds() []string {
	kinds := []string{fleet.KindConfiguration, fleet.KindEndpoints, fleet.KindEvacuations}
	if d.rollouts != nil {
		kinds = append(kinds, fleet.KindRollouts)
	}
	return kinds
}

// exchangeRollouts implements canary.Exchange.
func (d *daemon) exchangeRollouts(ctx context.Context, reports []rollout.Report) ([]rollout.Direction, bool, error) {
	link := d.mesh.Dispatcher(ctx, nil)
	if link == nil {
		return nil, ctx.Err() == nil, ctx.Err()
	}
	directions, err := link.ReportRollouts(ctx, reports)
	return directions, false, err
}

// decideRollouts takes in the reports of another entry while this one dispatches.
func (d *daemon) decideRollouts(incarnation string, reports []rollout.Report) []rollout.Direction {
	if d.rollouts == nil {
		return nil
	}
	return d.rollouts.Decide(time.Now(), incarnation, reports)
}

// applyRollouts takes in the orders in the store. An object that holds none is skipped.
func (d *daemon) applyRollouts(now time.Time, c follow.Change) {
	var orders []canary.StoredOrder
	for name, o := range c.Objects {
		order, err := fleet.DecodeRollout(o)
		if err != nil {
			d.logger.Warn("skipped invalid roll-out object", "service", name, "revision", o.Revision, "error", err)
			continue
		}
		orders = append(orders, order)
	}
	d.rollouts.SetOrders(now, orders, c.Restored)
}

package canary

import (
	"context"
	"time"

	"github.com/azurelead/azurelead/rollout"
)

const (
	// minInterval is the shortest time between two reports. A bad version is rejected by all entries within about two of
	// them after its answers show it. With many entries the time grows by intervalPerEntry for each, up to maxInterval, as one
	// of them reads all reports.
	minInterval      = 250 * time.Millisecond
	intervalPerEntry = 2500 * time.Microsecond
	maxInterval      = time.Second
	// exchangeTimeout bounds one exchange with the dispatching entry.
	exchangeTimeout = 900 * time.Millisecond
	// writeTimeout bounds one write of a status, writeInterval is the time between two tries: a write without an answer
	// may have been done, which the followed object shows.
	writeTimeout  = time.Second
	writeInterval = 500 * time.Millisecond
)

// Run reports to the dispatching entry, follows its directions, and carries out the decisions while that is this entry,
// until ctx is done.
func (t *Tracker) Run(ctx context.Context) {
	timer := time.NewTimer(minInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			t.step(ctx)
			timer.Reset(t.interval())
		}
	}
}

func (t *Tracker) interval() time.Duration {
	return min(max(time.Duration(t.o.EntryCount())*intervalPerEntry, minInterval), maxInterval)
}

// step makes one exchange with the dispatching entry if there are undecided orders.
func (t *Tracker) step(ctx context.Context) {
	if !t.active.Load() {
		return
	}
	now := time.Now()
	reports := t.reports(now)
	if len(reports) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	directions, local, err := t.o.Exchange(ctx, reports)
	if err != nil {
		t.o.Logger.Info("roll-outs not reported", "error", err)
	}
	if local {
		directions = t.Decide(now, t.o.Incarnation, reports)
	}
	t.follow(time.Now(), directions)
	t.decideAlone(time.Now())
	if local {
		t.writeStatuses(ctx)
	}
}

// reports returns what this entry knows of the orders that the store does not show as decided.
func (t *Tracker) reports(now time.Time) []rollout.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []rollout.Report
	for _, o := range t.orders {
		if o.State.Final() {
			continue
		}
		t.pickCanaries(now, o)
		o.reported = o.answers.Rows()
		list = append(list, rollout.Report{
			Service: o.Service, Target: o.Target, AgeMS: now.Sub(o.seenAt).Milliseconds(), Verdict: o.verdict, InFlight: o.inFlight,
			Rows: rollout.Changed(o.reported, o.acknowledged), Partial: o.acknowledged != nil,
		})
		o.acknowledged = nil // until it is known that the report has arrived
	}
	return list
}

// Decide takes in the reports of an entry and returns its directions. It is called at the dispatching entry.
func (t *Tracker) Decide(now time.Time, incarnation string, reports []rollout.Report) []rollout.Direction {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []rollout.Direction
	for _, r := range reports {
		o := t.orders[r.Service]
		if o == nil || o.Target != r.Target {
			continue // one of the two entries does not know the latest order yet
		}
		d := t.deciders[r.Service]
		if d == nil {
			d = rollout.NewDecider(o.Order, t.o.Exposure, now)
			t.deciders[r.Service] = d
		}
		known := d.Report(now, incarnation, r)
		verdict, reason := d.Decide(now, o.capacity)
		if verdict == rollout.RolledBack {
			t.reject(now, o, reason)
		}
		list = append(list, rollout.Direction{Service: r.Service, Target: r.Target, Share: d.Share(now, o.capacity), Verdict: verdict, WantsAll: !known})
	}
	return list
}

// follow carries out the directions of the dispatching entry.
func (t *Tracker) follow(now time.Time, directions []rollout.Direction) {
	changed := false
	t.mu.Lock()
	for _, d := range directions {
		o := t.orders[d.Service]
		if o == nil || o.Target != d.Target {
			continue
		}
		o.directedAt = now
		if !d.WantsAll {
			o.acknowledged = o.reported
		}
		wasOpen := o.limiter.Open()
		o.limiter.SetShare(d.Share)
		changed = changed || wasOpen != o.limiter.Open()
		t.o.Metrics.Share.WithLabelValues(o.Service).Set(d.Share)
		if d.Verdict == rollout.RolledBack {
			t.reject(now, o, "by the dispatching entry")
			changed = true
		}
	}
	t.mu.Unlock()
	if changed {
		t.o.OnChange()
	}
}

// decideAlone goes back to the share of a trial, and judges by this entry's own answers, for the orders about which the
// dispatching entry has not reported recently.
func (t *Tracker) decideAlone(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.orders {
		if o.isDecided() || now.Sub(o.directedAt) <= directionTTL {
			continue
		}
		o.limiter.SetShare(t.o.Exposure.TrialShare())
		if reason, bad := o.judge.Judge(now, o.answers.Rows(), o.capacity.New); bad {
			t.reject(now, o, "by this entry's own answers: "+reason)
		}
	}
}

// pendingStatus is a status that the store does not show yet.
type pendingStatus struct {
	StoredOrder
	state  rollout.State
	reason string
}

// writeStatuses writes the statuses that the store does not show yet.
func (t *Tracker) writeStatuses(ctx context.Context) {
	for _, p := range t.pendingStatuses(time.Now()) {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := t.o.Store.PutRolloutStatus(callCtx, p.Service, p.Revision, p.state, p.Target)
		cancel()
		t.o.Logger.Info("roll-out status written", "service", p.Service, "target", p.Target, "state", string(p.state), "reason", p.reason, "error", err)
	}
}

func (t *Tracker) pendingStatuses(now time.Time) []pendingStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []pendingStatus
	for service, o := range t.orders {
		state, reason := rollout.Serving, "ordered"
		if d := t.deciders[service]; d != nil {
			if verdict, why := d.Decide(now, o.capacity); verdict != "" {
				state, reason = verdict, why
			}
		}
		switch {
		case o.isDecided():
			state, reason = o.decided, "decided before the store was restored"
		case o.verdict == rollout.RolledBack:
			state = rollout.RolledBack
		}
		if o.State == state || o.State.Final() || now.Sub(t.writtenAt[service]) < writeInterval {
			continue
		}
		t.writtenAt[service] = now
		list = append(list, pendingStatus{StoredOrder: o.StoredOrder, state: state, reason: reason})
	}
	return list
}

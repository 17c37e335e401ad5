package dispatch

import "time"

// Submit admits a job, or refuses it before any of its work is done.
func (d *Dispatcher) Submit(now time.Time, j Job) Admission {
	if old := d.jobs[j.ID]; old != nil {
		// The same request came again after its entry lost the link.
		d.endJob(now, old)
	}
	n := newJob(j)
	if missing := d.unavailableService(n); missing != "" {
		return Admission{Reason: "no endpoint of " + missing, RetryAfter: noEndpointRetryAfter}
	}
	d.adoptPriorResults(n)
	v := d.enginePools[n.Prompt.Service].scorer(now, n.Prompt)
	n.dataCentre = d.bestDataCentre(now, n, v)
	n.firstEventDelay = v.firstEventDelay(n.Target)
	forecast := d.forecast(now, n)
	a := Admission{Forecast: forecast, FirstEventDelay: n.firstEventDelay}
	end := now.Add(forecast + n.firstEventDelay)
	latest := j.Deadline.Add(-admissionMargin)
	if j.Retry {
		latest = j.Deadline.Add(-admissionMargin / 2)
	}
	if end.After(latest) {
		a.Reason = "the stages are expected to end after the deadline"
		a.RetryAfter = max(end.Sub(latest), minRetryAfter)
		return a
	}
	a.Admitted = true
	d.jobs[j.ID] = n
	for _, g := range n.groups {
		if g != nil {
			d.pools[g.service].enqueue(now, g)
			d.trackPriorResults(now, g)
		}
	}
	if n.done() {
		d.completeJob(now, n)
	}
	return a
}

// adoptPriorResults takes the results that another dispatcher had made for a job.
func (d *Dispatcher) adoptPriorResults(j *job) {
	for _, m := range j.PriorResults {
		if m.Stage < 0 || m.Stage >= len(j.groups) || j.groups[m.Stage] == nil {
			continue
		}
		g := j.groups[m.Stage]
		e := d.pools[g.service].endpoints[m.Endpoint]
		if e == nil || !e.usable {
			continue // what it held is gone, or may be any moment
		}
		for i, index := range m.Tasks {
			if index < 0 || index >= len(g.tasks) || i >= len(m.Handles) {
				continue
			}
			t := &g.tasks[index]
			if t.state != taskDone {
				g.waiting--
			}
			t.state, t.handle, t.endpoint = taskDone, m.Handles[i], m.Endpoint
		}
	}
	for _, g := range j.groups {
		if g != nil && !g.output && j.consumed(g.stage) {
			// The other dispatcher gave them up, and nobody reads them any more.
			for i := range g.tasks {
				g.tasks[i].state, g.tasks[i].handle = taskDone, ""
			}
			g.waiting = 0
		}
	}
}

// trackPriorResults books the results that a group came with at their endpoints.
func (d *Dispatcher) trackPriorResults(now time.Time, g *group) {
	p := d.pools[g.service]
	for _, t := range g.tasks {
		if t.handle != "" {
			p.endpoints[t.endpoint].storeResult(t.handle, g.resultBytes, now.Add(p.limits.ResultTTL))
		}
	}
}

const (
	// noEndpointRetryAfter is about the time in which a crashed endpoint is back.
	noEndpointRetryAfter = time.Second
	// minRetryAfter keeps a refused client from coming back before anything changed.
	minRetryAfter = 200 * time.Millisecond
)

func (d *Dispatcher) unavailableService(j *job) string {
	for _, g := range j.groups {
		if g == nil {
			continue
		}
		if p := d.pools[g.service]; p == nil || len(p.usableEndpoints) == 0 {
			return g.service
		}
	}
	return ""
}

// forecast is the time until the last stage's results under what waits now and
// what is expected to come before the job meanwhile.
func (d *Dispatcher) forecast(now time.Time, j *job) time.Duration {
	f := d.forecastFor(now, j, false)
	if now.Add(f + j.firstEventDelay).After(j.Target.Add(lateGrace)) {
		return max(f, d.forecastFor(now, j, true))
	}
	return f
}

func (d *Dispatcher) forecastFor(now time.Time, j *job, late bool) time.Duration {
	ends := make([]time.Duration, len(j.groups))
	var longest time.Duration
	for i, g := range j.groups {
		if g == nil {
			continue
		}
		var start time.Duration
		for _, before := range g.dependsOn {
			start = max(start, ends[before])
		}
		if g.done() {
			continue
		}
		p := d.pools[g.service]
		// Work that waits now is done while the stages before this one run.
		start = max(start, p.rankQueueDelay(now, j.Rank, late))
		ends[i] = start + p.callTime(g.waiting)
		longest = max(longest, ends[i])
	}
	return longest
}

package dispatch

import "time"

// Submit admits a job, or refuses it before any of its tasks run.
func (d *Dispatcher) Submit(now time.Time, j Job) Admission {
	if old := d.jobs[j.JobID()]; old != nil {
		// The entry lost the link and has submitted the request again.
		d.endJob(now, old)
	}
	pending := newJob(j)
	if unavailable := d.unavailableService(pending); unavailable != "" {
		return Admission{Reason: "no endpoint of " + unavailable, Unavailable: unavailable, RetryAfter: noEndpointRetryAfter}
	}
	if p := d.enginePools[pending.Prompt.Service]; p != nil && p.kvCacheTokens > 0 && pending.Prompt.Tokens > p.kvCacheTokens {
		return Admission{Reason: "the prompt is longer than the cache of any engine", RetryAfter: maxRetryAfter}
	}
	d.adoptPriorResults(pending)
	scorer := d.enginePools[pending.Prompt.Service].newScorer(now, pending.Prompt)
	pending.dataCentre = d.bestDataCentre(now, pending, scorer)
	pending.firstEventDelay = scorer.forecastFirstEvent(pending.Target)
	forecast := d.forecast(now, pending)
	a := Admission{Forecast: forecast, FirstEventDelay: pending.firstEventDelay}
	limited := scorer.nextTurn()
	turnDelay := limited.delayUntilTurn(now, forecast)
	end := now.Add(forecast + turnDelay + pending.firstEventDelay)
	latest := j.Deadline.Add(-marginOf(j))
	if end.After(latest) {
		a.Reason = "the stages are expected to end after the deadline"
		a.RetryAfter = min(max(end.Sub(latest), minRetryAfter), maxRetryAfter)
		return a
	}
	if excess := turnDelay - maxTurnDelay(j); excess > 0 {
		a.Reason = "the limits of the engines leave no turn"
		a.RetryAfter = min(max(excess, minRetryAfter), maxRetryAfter)
		return a
	}
	a.Admitted = true
	pending.reservation = limited.reserve(now, forecast)
	d.jobs[j.JobID()] = pending
	for _, g := range pending.groups {
		if g != nil {
			d.pools[g.service].enqueue(now, g)
			d.trackPriorResults(now, g)
		}
	}
	if pending.done() {
		d.completeJob(now, pending)
	}
	return a
}

// marginOf returns the time before its deadline that is kept free for a job. It is shorter for clients that have come
// back, and for stages that run again: a refusal then ends a stream that may have begun.
func marginOf(j Job) time.Duration {
	if j.Retry || j.Run > 0 {
		return admissionMargin / 2
	}
	return admissionMargin
}

// adoptPriorResults marks the tasks as done whose results an earlier dispatcher
// obtained. Unknown stages, tasks and endpoints are ignored.
func (d *Dispatcher) adoptPriorResults(j *job) {
	for _, prior := range j.PriorResults {
		if prior.Stage < 0 || prior.Stage >= len(j.groups) || j.groups[prior.Stage] == nil {
			continue
		}
		g := j.groups[prior.Stage]
		e := d.pools[g.service].endpoints[prior.Endpoint]
		if e == nil || !e.usable {
			continue // its results are lost or may be lost at any moment
		}
		for i, index := range prior.Tasks {
			if index < 0 || index >= len(g.tasks) || i >= len(prior.Handles) {
				continue
			}
			t := &g.tasks[index]
			if t.state != taskDone {
				g.waiting--
			}
			t.state, t.handle, t.endpoint = taskDone, prior.Handles[i], prior.Endpoint
		}
	}
	for _, g := range j.groups {
		if g != nil && !g.output && j.consumed(g.stage) {
			// The earlier dispatcher freed these results, and no task reads them any more.
			for i := range g.tasks {
				g.tasks[i].state, g.tasks[i].handle = taskDone, ""
			}
			g.waiting = 0
		}
	}
}

// trackPriorResults records the adopted results of a group at their endpoints.
func (d *Dispatcher) trackPriorResults(now time.Time, g *group) {
	p := d.pools[g.service]
	for _, t := range g.tasks {
		if t.handle != "" {
			p.endpoints[t.endpoint].storeResult(t.handle, g.resultBytes, now.Add(p.limits.ResultTTL))
		}
	}
}

const (
	// noEndpointRetryAfter is about the time that a crashed endpoint takes to restart.
	noEndpointRetryAfter = time.Second
	// minRetryAfter keeps a refused client from retrying before the load has changed.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is longer than any client waits. The forecast for a job that cannot be done in its time says nothing
	// beyond that.
	maxRetryAfter = 30 * time.Second
)

// unavailableService returns the name of a service that the job needs and that has no
// usable endpoint, or an empty string if there is none.
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

// forecast returns the expected time until the last stage's results. It accounts for
// the present backlog and for the tasks that are expected to arrive and run first. If
// the job would miss its target, its tasks are sorted last, and the forecast assumes
// that tasks of all ranks run first.
func (d *Dispatcher) forecast(now time.Time, j *job) time.Duration {
	duration := d.forecastFor(now, j, false)
	if now.Add(duration + j.firstEventDelay).After(j.Target.Add(lateGrace)) {
		return max(duration, d.forecastFor(now, j, true))
	}
	return duration
}

// forecastFor returns the forecast of a job that is assumed to miss its target (late) or
// to meet it.
func (d *Dispatcher) forecastFor(now time.Time, j *job, late bool) time.Duration {
	ends := make([]time.Duration, len(j.groups))
	var longest time.Duration
	for i, g := range j.groups {
		if g == nil {
			continue
		}
		var start time.Duration
		for _, dep := range g.dependsOn {
			start = max(start, ends[dep])
		}
		if g.done() {
			continue
		}
		p := d.pools[g.service]
		// The present backlog is worked off while earlier stages of the job run, so that
		// the two times do not add up.
		start = max(start, p.rankQueueDelay(now, j.Rank, late))
		ends[i] = start + p.callTime(g.waiting)
		longest = max(longest, ends[i])
	}
	return longest
}

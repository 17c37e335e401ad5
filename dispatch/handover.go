package dispatch

import "time"

// HandOver ends the dispatching of all jobs in progress, because another entry has been elected:
// two dispatchers would fill the same endpoints without knowing of each other's calls and results.
// No further call is started for the jobs. Each ends with a result that has HandedOver set as soon as
// none of its calls is running any more; a job whose last results arrive until then ends as usual.
// The results stay stored for the next dispatcher.
func (d *Dispatcher) HandOver(now time.Time) {
	for _, j := range d.jobs {
		if j.complete || j.handingOver {
			continue
		}
		j.handingOver = true
		for _, g := range j.groups {
			if g != nil {
				d.pools[g.service].discard(g)
			}
		}
		d.finishHandOver(now, j)
	}
}

// finishHandOver ends a job that is being handed over if none of its calls is running.
func (d *Dispatcher) finishHandOver(now time.Time, j *job) {
	if !j.handingOver || j.ended || j.complete || j.running() {
		return
	}
	// Results that were not taken yet go with the job's result.
	d.jobResults = append(d.jobResults, JobResult{ID: j.JobID(), HandedOver: true, StageResults: d.stageResults[j.JobID()]})
	d.removeJob(now, j)
}

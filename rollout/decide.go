package rollout

import (
	"time"
)

const (
	// reportTTL is how long the word of an entry about its requests in progress counts.
	reportTTL = 2 * time.Second
	// minTrialAnswers is the number of answers of the new version without which a service does not move.
	minTrialAnswers = 20
	// minCapacityShare is the least number of servers of the new version for each earlier one.
	minCapacityShare = 0.5
	// minDrainTime is the time in which all entries hear that all requests go to the new version, and report what they
	// have in progress at the earlier servers since.
	minDrainTime = 750 * time.Millisecond
	// minReportingShare is the share of entries that must have reported recently before a service moves: an entry that has just
	// taken over, or is cut off, knows neither what the new version has answered nor what runs at the earlier ones.
	minReportingShare = 0.6
	// judgeInterval is the shortest time between two sums of the reports, which hundreds of entries send.
	judgeInterval = 200 * time.Millisecond
)

// Report is what one entry knows of an undecided roll-out.
type Report struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// AgeMS is the time since the entry has known the order, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Verdict is RolledBack if the entry has rejected the new version itself or has received that verdict.
	Verdict State `json:"verdict,omitempty"`
	// InFlight is the number of the entry's requests at servers of earlier versions.
	InFlight int   `json:"in_flight"`
	Rows     []Row `json:"rows,omitempty"`
	// Partial is set if Rows are only those that have changed since the entry's last report.
	Partial bool `json:"partial,omitempty"`
}

// Direction tells an entry how to go on with a roll-out.
type Direction struct {
	Service string  `json:"service"`
	Target  string  `json:"target"`
	Share   float64 `json:"share"`
	// Verdict is empty while the roll-out is undecided.
	Verdict State `json:"verdict,omitempty"`
	// WantsAll asks for a report that is not partial, as the deciding entry does not know the ones before.
	WantsAll bool `json:"wants_all,omitempty"`
}

// Capacity is the number of servers that may get work, and of entries that send it.
type Capacity struct {
	New, Earlier, Entries int
}

// Decider decides one roll-out from the reports of all entries. Any entry can take over as decider: reports hold all
// answers since the order, so that the new one knows them within one interval.
type Decider struct {
	order    Order
	exposure Exposure
	// startedAt is when the order was given, as far as is known.
	startedAt time.Time
	reports   map[string]*entryReport
	judge     Judge
	// judgedAt is when the reports were last summed up: the requests in progress at earlier versions, and those
	// answered.
	judgedAt time.Time
	inFlight int
	// reporting is the number of entries with a recent report.
	reporting int
	sent      Sent
	// drainingSince is when all requests began to go to the new version; zero if they do not.
	drainingSince time.Time
	verdict       State
	reason        string
}

// entryReport is what an incarnation of an entry has reported.
type entryReport struct {
	rows     map[Source]Tally
	inFlight int
	at       time.Time
}

// NewDecider returns a decider without reports.
func NewDecider(o Order, e Exposure, now time.Time) *Decider {
	return &Decider{order: o, exposure: e, startedAt: now, reports: make(map[string]*entryReport)}
}

// Report takes in the report of an incarnation of an entry. It returns false if that is partial and the ones before are not
// known.
func (d *Decider) Report(now time.Time, incarnation string, r Report) bool {
	e := d.reports[incarnation]
	if e == nil && r.Partial {
		return false
	}
	if e == nil || !r.Partial {
		e = &entryReport{rows: make(map[Source]Tally)}
		d.reports[incarnation] = e
	}
	for _, row := range r.Rows {
		e.rows[row.Source] = row.Tally
	}
	e.inFlight, e.at = r.InFlight, now
	if started := now.Add(-time.Duration(r.AgeMS) * time.Millisecond); started.Before(d.startedAt) {
		d.startedAt = started
	}
	if r.Verdict == RolledBack && d.verdict == "" {
		d.verdict, d.reason = RolledBack, "found by an entry"
	}
	return true
}

// Decide updates and returns the verdict, which is empty while the roll-out is undecided. Once set, a verdict is final.
func (d *Decider) Decide(now time.Time, c Capacity) (verdict State, reason string) {
	if d.verdict != "" || now.Sub(d.judgedAt) < judgeInterval {
		return d.verdict, d.reason
	}
	d.judgedAt = now
	rows := d.sum(now)
	if reason, bad := d.judge.Judge(now, rows, c.New); bad {
		d.verdict, d.reason = RolledBack, reason
		return d.verdict, d.reason
	}
	age := now.Sub(d.startedAt)
	if d.Share(now, c) >= 1 {
		if d.drainingSince.IsZero() {
			d.drainingSince = now
		}
	} else {
		d.drainingSince = time.Time{}
	}
	idle := d.inFlight == 0 && !d.drainingSince.IsZero() && now.Sub(d.drainingSince) >= minDrainTime
	switch {
	case age >= d.order.moveEnd() && d.judge.LastingDoubts() != "":
		d.verdict, d.reason = RolledBack, "in doubt until the end: "+d.judge.LastingDoubts()
	case d.mayMove(c) && (age >= d.order.moveEnd() || idle):
		d.verdict, d.reason = Succeeded, "no sign that the version is bad"
	}
	return d.verdict, d.reason
}

// Share returns the share of requests that the new version gets now. A service moves to a version that was accepted, and
// to one about which too little is known only as late as what a bad version may get allows.
func (d *Decider) Share(now time.Time, c Capacity) float64 {
	age := now.Sub(d.startedAt)
	b := d.order.budget(age, d.exposure, d.sent)
	switch {
	case !d.mayMove(c):
	case d.judge.Accepts() && age >= d.order.drainStart(), d.order.coversMove(age, b) && age >= d.order.moveStart():
		return 1
	case d.judge.Accepts() && age >= d.order.moveStart():
		return pulseShare
	}
	return d.order.trialShare(age, d.exposure, b)
}

// mayMove reports whether the service may move: most entries have reported, and the new version has answered, without
// doubts, and has enough servers. Doubts about the latest answers do not count against all that show that it is good.
func (d *Decider) mayMove(c Capacity) bool {
	doubtful := d.judge.LastingDoubts() != "" || d.judge.Doubts() != "" && !d.judge.Accepts()
	return float64(d.reporting) >= minReportingShare*float64(c.Entries) && d.sent.New >= minTrialAnswers && !doubtful && float64(c.New) >= minCapacityShare*float64(c.Earlier)
}

// sum returns the answers that all entries have reported, and sets what else the decision needs of the reports.
func (d *Decider) sum(now time.Time) (rows []Row) {
	d.inFlight, d.reporting, d.sent = 0, 0, Sent{}
	total := make(map[Source]Tally)
	for _, r := range d.reports {
		if now.Sub(r.at) <= reportTTL {
			d.reporting++
			d.inFlight += r.inFlight
		}
		for source, t := range r.rows {
			total[source] = total[source].plus(t)
		}
	}
	for source, t := range total {
		rows = append(rows, Row{Source: source, Tally: t})
		d.sent.All += t.Answers
		if source.Endpoint != "" {
			d.sent.New += t.Answers
		}
	}
	return rows
}

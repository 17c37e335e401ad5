package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tally counts answers.
type Tally struct {
	Answers int64 `json:"answers"`
	Failed  int64 `json:"failed,omitempty"`
	// Timed counts the answers whose time counts, Slow those of them that took much longer than is usual for the
	// earlier versions.
	Timed int64 `json:"timed,omitempty"`
	Slow  int64 `json:"slow,omitempty"`
}

func (t Tally) plus(o Tally) Tally {
	return Tally{Answers: t.Answers + o.Answers, Failed: t.Failed + o.Failed, Timed: t.Timed + o.Timed, Slow: t.Slow + o.Slow}
}

func (t Tally) minus(o Tally) Tally {
	return Tally{Answers: t.Answers - o.Answers, Failed: t.Failed - o.Failed, Timed: t.Timed - o.Timed, Slow: t.Slow - o.Slow}
}

// Source is where answers came from.
type Source struct {
	// Route is the route of the requests; empty for stage calls.
	Route string `json:"route,omitempty"`
	// Endpoint is a server of the new version; empty for all servers of earlier versions.
	Endpoint string `json:"endpoint,omitempty"`
}

// Row holds the answers of one source since the order.
type Row struct {
	Source
	Tally
}

// Answer is the outcome of a request to a server of the service.
type Answer struct {
	Source
	// Failed is set if the server failed, or its answer was lost.
	Failed bool
	// Latency is the time to the answer; 0 if it does not count, as that of a server that has just started.
	Latency time.Duration
}

const (
	// slowFactor is the multiple of the usual latency from which an answer counts as slow.
	slowFactor = 2
	// usualWeight is the weight of the latest answer in the usual latency.
	usualWeight = 0.1
	// minUsual is the number of answers of earlier versions from which their usual latency is known.
	minUsual = 3
)

// Recorder counts the answers that one entry gets while a roll-out is undecided.
type Recorder struct {
	tallies map[Source]Tally
	// usual is the usual latency of the earlier versions by route.
	usual map[string]*usualLatency
}

// usualLatency is a moving geometric mean of latencies.
type usualLatency struct {
	count int
	log   float64
}

// NewRecorder returns a recorder without answers.
func NewRecorder() *Recorder {
	return &Recorder{tallies: make(map[Source]Tally), usual: make(map[string]*usualLatency)}
}

// Record counts an answer.
func (r *Recorder) Record(a Answer) {
	t := Tally{Answers: 1}
	switch {
	case a.Failed:
		t.Failed = 1
	case a.Latency > 0:
		t.Timed, t.Slow = r.timed(a)
	}
	r.tallies[a.Source] = r.tallies[a.Source].plus(t)
}

// timed compares the latency of an answer with what is usual. It returns zeros as long as that is not known.
func (r *Recorder) timed(a Answer) (timed, slow int64) {
	u := r.usual[a.Route]
	if u == nil {
		u = &usualLatency{}
		r.usual[a.Route] = u
	}
	log := math.Log(a.Latency.Seconds())
	if u.count >= minUsual {
		timed = 1
		if log > u.log+math.Log(slowFactor) {
			slow = 1
		}
	}
	if a.Endpoint == "" {
		u.count++
		u.log += max(usualWeight, 1/float64(u.count)) * (log - u.log)
	}
	return timed, slow
}

// Changed returns the rows that differ from those that were known.
func Changed(rows, known []Row) []Row {
	tallies := make(map[Source]Tally, len(known))
	for _, r := range known {
		tallies[r.Source] = r.Tally
	}
	return slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return tallies[r.Source] == r.Tally })
}

// Rows returns the answers so far, in the order of their sources.
func (r *Recorder) Rows() []Row {
	rows := make([]Row, 0, len(r.tallies))
	for s, t := range r.tallies {
		rows = append(rows, Row{Source: s, Tally: t})
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Endpoint, b.Endpoint)) })
	return rows
}

package entry

import (
	"sync"
	"time"
)

const (
	// fastQuantile of the remaining stages is what a request needs at least;
	// with less time left it is refused at once.
	fastQuantile = 10
	// usualQuantile of a stage's duration is kept back for it while earlier
	// stages run.
	usualQuantile = 50
	// hedgeQuantile of a stage's duration passes before a hedge is sent.
	hedgeQuantile = 95
	// probeEvery is how often a request that seems too late runs all the same,
	// so that the estimates follow a pipeline that has become faster.
	probeEvery = time.Second
)

// StageTimes are a stage's recent durations.
type StageTimes struct{ Fast, Median time.Duration }

// Plan splits what is left of a deadline between the stages still to run.
type Plan struct {
	// Budget bounds the next stage.
	Budget time.Duration
	// Feasible is false when even the fast stages would not finish in time.
	Feasible bool
	// MinDuration is the least time that the stages take.
	MinDuration time.Duration
}

// SplitDeadline plans the first of the remaining stages: it gets what is left
// less the usual time of the later ones, and at least its proportional share.
func SplitDeadline(left time.Duration, remaining []StageTimes) Plan {
	var need, usual, later time.Duration
	for i, s := range remaining {
		need += s.Fast
		usual += s.Median
		if i > 0 {
			later += s.Median
		}
	}
	p := Plan{MinDuration: need, Feasible: left > 0 && need <= left, Budget: left}
	if len(remaining) <= 1 || usual == 0 {
		return p
	}
	share := time.Duration(float64(left) * float64(remaining[0].Median) / float64(usual))
	p.Budget = min(left, max(left-later, share))
	return p
}

// stageKey names stages whose durations are alike.
type stageKey struct {
	pipeline, stage string
	// size is the binary order of magnitude of the tokens that may be generated.
	size int
}

// latencies keeps an estimator for every stage.
type latencies struct {
	mu     sync.RWMutex
	stages map[stageKey]*LatencyEstimator
	probe  sync.Mutex
	probed map[string]time.Time
}

func newLatencies() *latencies {
	return &latencies{stages: make(map[stageKey]*LatencyEstimator), probed: make(map[string]time.Time)}
}

func (l *latencies) of(k stageKey, now time.Time) *LatencyEstimator {
	l.mu.RLock()
	e := l.stages[k]
	l.mu.RUnlock()
	if e != nil {
		return e
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e = l.stages[k]; e == nil {
		e = NewLatencyEstimator(now)
		l.stages[k] = e
	}
	return e
}

func (l *latencies) times(k stageKey, now time.Time) StageTimes {
	e := l.of(k, now)
	return StageTimes{Fast: e.Quantile(now, fastQuantile), Median: e.Quantile(now, usualQuantile)}
}

// mayProbe lets one late request of a pipeline through now and then.
func (l *latencies) mayProbe(pipeline string, now time.Time) bool {
	l.probe.Lock()
	defer l.probe.Unlock()
	if now.Sub(l.probed[pipeline]) < probeEvery {
		return false
	}
	l.probed[pipeline] = now
	return true
}

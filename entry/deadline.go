package entry

import (
	"sync"
	"time"
)

const (
	// fastPercentile of the remaining stages' durations is the least time that a request
	// needs. With less time left it is refused at once.
	fastPercentile = 10
	// medianPercentile of a stage's duration is reserved for it while earlier stages run.
	medianPercentile = 50
	// hedgePercentile of a stage's duration is the delay before a hedge is sent.
	hedgePercentile = 95
	// probeInterval is how often a pipeline may run a request that is expected to be late,
	// so that the estimates follow a pipeline that has become faster.
	probeInterval = time.Second
)

// StageTimes are the 10th and 50th percentiles of a stage's recent durations.
type StageTimes struct{ Fast, Median time.Duration }

// Plan splits the time left until a deadline between the remaining stages.
type Plan struct {
	// Budget is the time limit of the next stage.
	Budget time.Duration
	// Feasible is false if even the fast times of the stages exceed the time left.
	Feasible bool
	// MinDuration is the sum of the fast times of the remaining stages.
	MinDuration time.Duration
}

// SplitDeadline plans the first of the remaining stages. It gets the time left minus
// the medians of the later stages, and at least its proportional share.
func SplitDeadline(left time.Duration, remaining []StageTimes) Plan {
	var minDuration, medianSum, laterMedianSum time.Duration
	for i, s := range remaining {
		minDuration += s.Fast
		medianSum += s.Median
		if i > 0 {
			laterMedianSum += s.Median
		}
	}
	p := Plan{MinDuration: minDuration, Feasible: left > 0 && minDuration <= left, Budget: left}
	if len(remaining) <= 1 || medianSum == 0 {
		return p
	}
	share := time.Duration(float64(left) * float64(remaining[0].Median) / float64(medianSum))
	p.Budget = min(left, max(left-laterMedianSum, share))
	return p
}

// stageKey groups calls of a stage whose durations are comparable.
type stageKey struct {
	pipeline, stage string
	// tokenMagnitude is the bit length of the limit on generated tokens.
	tokenMagnitude int
}

// latencies holds a latency estimator per stage.
type latencies struct {
	mu        sync.RWMutex
	stages    map[stageKey]*LatencyEstimator
	probeMu   sync.Mutex
	lastProbe map[string]time.Time
}

func newLatencies() *latencies {
	return &latencies{stages: make(map[stageKey]*LatencyEstimator), lastProbe: make(map[string]time.Time)}
}

func (l *latencies) estimator(k stageKey, now time.Time) *LatencyEstimator {
	l.mu.RLock()
	est := l.stages[k]
	l.mu.RUnlock()
	if est != nil {
		return est
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if est = l.stages[k]; est == nil {
		est = NewLatencyEstimator(now)
		l.stages[k] = est
	}
	return est
}

func (l *latencies) stageTimes(k stageKey, now time.Time) StageTimes {
	est := l.estimator(k, now)
	return StageTimes{Fast: est.Quantile(now, fastPercentile), Median: est.Quantile(now, medianPercentile)}
}

// allowProbe reports whether a request that is expected to be late may run, at most
// once per probeInterval and pipeline.
func (l *latencies) allowProbe(pipeline string, now time.Time) bool {
	l.probeMu.Lock()
	defer l.probeMu.Unlock()
	if now.Sub(l.lastProbe[pipeline]) < probeInterval {
		return false
	}
	l.lastProbe[pipeline] = now
	return true
}

package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest duration that is recorded; longer ones count as maxLatency.
	maxLatency = 2 * time.Minute
	// latencySignificantDigits is the precision of the histograms.
	latencySignificantDigits = 1
	// latencyWindowCount and latencyWindowLength bound how long a sample counts.
	latencyWindowCount  = 3
	latencyWindowLength = 5 * time.Second
	// latencyMergeInterval is how long the merged histogram of the windows is reused.
	latencyMergeInterval = 250 * time.Millisecond
	// latencyMinSamples is the fewest samples that give an estimate.
	latencyMinSamples = 8
)

// LatencyEstimator estimates quantiles of a stage's recent durations. Samples expire,
// so the estimate does not keep reflecting the past of a stage that has recovered or
// has not been called.
type LatencyEstimator struct {
	mu        sync.Mutex
	windows   *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	merged    *hdrhistogram.Histogram
	mergedAt  time.Time
}

// NewLatencyEstimator returns an estimator without samples.
func NewLatencyEstimator(now time.Time) *LatencyEstimator {
	return &LatencyEstimator{
		windows:   hdrhistogram.NewWindowed(latencyWindowCount, 1, maxLatency.Microseconds(), latencySignificantDigits),
		rotatedAt: now,
	}
}

// Record adds a sample.
func (l *LatencyEstimator) Record(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	_ = l.windows.Current.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// Quantile returns the q-th percentile (0 to 100), or 0 if there are too few samples.
// It may be out of date by latencyMergeInterval.
func (l *LatencyEstimator) Quantile(now time.Time, q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	if l.merged == nil || now.Sub(l.mergedAt) >= latencyMergeInterval {
		l.merged = l.windows.Merge()
		l.mergedAt = now
	}
	if l.merged.TotalCount() < latencyMinSamples {
		return 0
	}
	return time.Duration(l.merged.ValueAtQuantile(q)) * time.Microsecond
}

// rotate drops expired windows.
func (l *LatencyEstimator) rotate(now time.Time) {
	elapsed := now.Sub(l.rotatedAt)
	if elapsed < latencyWindowLength {
		return
	}
	for range min(int(elapsed/latencyWindowLength), latencyWindowCount) {
		l.windows.Rotate()
	}
	l.rotatedAt = now
	l.merged = nil
}

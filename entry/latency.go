package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyMax is the longest time that estimates tell apart.
	latencyMax = 2 * time.Minute
	// latencyDigits are the significant digits of estimates.
	latencyDigits = 1
	// latencyWindows and latencyWindow bound how long a sample counts.
	latencyWindows = 3
	latencyWindow  = 5 * time.Second
	// latencyRefresh is how long a merged view of the windows is used.
	latencyRefresh = 250 * time.Millisecond
	// latencyMinSamples is the fewest samples that make an estimate.
	latencyMinSamples = 8
)

// LatencyEstimator estimates the quantiles of a stage's recent durations. Samples age
// out, so that a stage that has recovered, or that nothing ran on, is not
// judged by its past.
type LatencyEstimator struct {
	mu       sync.Mutex
	windows  *hdrhistogram.WindowedHistogram
	rotated  time.Time
	merged   *hdrhistogram.Histogram
	mergedAt time.Time
}

// NewLatencyEstimator returns an estimator without samples.
func NewLatencyEstimator(now time.Time) *LatencyEstimator {
	return &LatencyEstimator{
		windows: hdrhistogram.NewWindowed(latencyWindows, 1, latencyMax.Microseconds(), latencyDigits),
		rotated: now,
	}
}

// Record takes one duration.
func (l *LatencyEstimator) Record(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	_ = l.windows.Current.RecordValue(min(max(d, time.Microsecond), latencyMax).Microseconds())
}

// Quantile returns the q-th percentile (0 to 100), or 0 when there are too few
// samples. The view may be latencyRefresh old.
func (l *LatencyEstimator) Quantile(now time.Time, q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	if l.merged == nil || now.Sub(l.mergedAt) >= latencyRefresh {
		l.merged = l.windows.Merge()
		l.mergedAt = now
	}
	if l.merged.TotalCount() < latencyMinSamples {
		return 0
	}
	return time.Duration(l.merged.ValueAtQuantile(q)) * time.Microsecond
}

// rotate drops the windows that have ended.
func (l *LatencyEstimator) rotate(now time.Time) {
	elapsed := now.Sub(l.rotated)
	if elapsed < latencyWindow {
		return
	}
	for range min(int(elapsed/latencyWindow), latencyWindows) {
		l.windows.Rotate()
	}
	l.rotated = now
	l.merged = nil
}

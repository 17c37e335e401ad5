package retrybudget

import (
	"testing"

	"pgregory.net/rapid"
)

// For any sequence of first attempts and failures, retries must not exceed their
// share of the first attempts plus the overdraft. When every attempt fails, they
// must stay within the share alone after the first few attempts.
func TestRetryBudgetBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		minFailures := rapid.IntRange(0, 1).Draw(t, "least failures")
		firstAttempts, retries := 0, 0
		for _, failures := range rapid.SliceOfN(rapid.IntRange(minFailures, 5), 1, 400).Draw(t, "failures") {
			b.Deposit(percent)
			firstAttempts++
			for range failures {
				if b.TryWithdraw() {
					retries++
				}
			}
		}
		share := float64(firstAttempts*percent) / 100
		if float64(retries) > share+defaultOverdraft+1e-6 {
			t.Fatalf("%d retries for %d first attempts at %d%%", retries, firstAttempts, percent)
		}
		if allFail := minFailures > 0 && share > 2*defaultOverdraft+1; allFail && float64(retries) > share {
			t.Fatalf("%d retries for %d first attempts at %d%%, all of which failed", retries, firstAttempts, percent)
		}
	})
}

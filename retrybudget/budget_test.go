package retrybudget

import (
	"testing"

	"pgregory.net/rapid"
)

// However first attempts and failures are mixed, retries stay within their
// share of the first attempts and what may be overdrawn. Where every attempt
// fails, they stay within the share alone once there are a few.
func TestRetryBudgetBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		least := rapid.IntRange(0, 1).Draw(t, "least failures")
		firsts, retries := 0, 0
		for _, failures := range rapid.SliceOfN(rapid.IntRange(least, 5), 1, 400).Draw(t, "failures") {
			b.Deposit(percent)
			firsts++
			for range failures {
				if b.TryWithdraw() {
					retries++
				}
			}
		}
		share := float64(firsts*percent) / 100
		if float64(retries) > share+defaultOverdraft+1e-6 {
			t.Fatalf("%d retries for %d first attempts at %d%%", retries, firsts, percent)
		}
		if allFail := least > 0 && share > 2*defaultOverdraft+1; allFail && float64(retries) > share {
			t.Fatalf("%d retries for %d first attempts at %d%%, which all failed", retries, firsts, percent)
		}
	})
}

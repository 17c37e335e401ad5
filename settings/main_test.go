package settings

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of property tests, so that each run checks the same cases, and detects
// leaked goroutines.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

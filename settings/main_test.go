package settings

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of property tests, so that each run judges the same
// cases, and looks for goroutines left behind.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

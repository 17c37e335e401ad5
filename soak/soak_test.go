package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds are played on every run; those that broke a promise once stay here with
// their cause.
var seeds = []uint64{1, 2}

func TestSeeds(t *testing.T) {
	gateway := filepath.Join(t.TempDir(), "azurelead-gateway")
	if out, err := exec.Command("go", "build", "-o", gateway, "github.com/azurelead/azurelead/cmd/azurelead-gateway").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, seed := range seeds {
		report, err := Run(t.Context(), Options{Gateway: gateway, Seed: seed, Entries: 3, Duration: 5 * time.Second, LogDir: t.ArtifactDir()})
		if err != nil {
			t.Fatal(err)
		}
		for _, broken := range report.Violations {
			t.Errorf("seed %d: %s", seed, broken)
		}
		if report.Served == 0 {
			t.Errorf("seed %d served nothing: %+v", seed, report)
		}
	}
}

// A run that cannot start says so and leaves nothing behind to wait for.
func TestProgramThatIsNotThere(t *testing.T) {
	_, err := Run(t.Context(), Options{Gateway: filepath.Join(t.TempDir(), "none"), Seed: 1, Entries: 2, Duration: time.Second})
	if err == nil {
		t.Error("no error")
	}
}

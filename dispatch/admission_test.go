package dispatch

import (
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
)

// A stream whose engine has been silent for 1.5 s has 0.48 s left, and its stages have to run again. They were refused,
// with the margin of a new request, although the forecast is a third of that time.
func TestStagesThatRunAgainAreAdmittedInTime(t *testing.T) {
	now := time.Unix(0, 0)
	cases := []struct {
		name     string
		run      int
		retry    bool
		left     time.Duration
		admitted bool
	}{
		{"new request", 0, false, 480 * time.Millisecond, false},
		{"new request with time", 0, false, 600 * time.Millisecond, true},
		{"returning client", 0, true, 480 * time.Millisecond, true},
		{"stages that run again", 1, false, 480 * time.Millisecond, true},
		{"stages that run again, too late", 1, false, 320 * time.Millisecond, false},
	}
	for _, c := range cases {
		d := New(Options{})
		d.SetService("portal", portalLimits)
		d.SetEndpoints("portal", []catalog.Endpoint{{ID: "portal-1", Service: "portal", DataCentre: "a"}})
		j := largeResultJob("a", now, 1)
		j.Run, j.Retry, j.Deadline = c.run, c.retry, now.Add(c.left)
		if a := d.Submit(now, j); a.Admitted != c.admitted {
			t.Errorf("%s: %+v, want admitted %t", c.name, a, c.admitted)
		}
	}
}

package roster

import (
	"testing"
	"time"
)

// A service is known to have mixed versions from the start of the second one until some time after the end
// of the first one.
func TestMixedVersions(t *testing.T) {
	const window = time.Minute
	list := makeEndpoints(2, "a")
	list[0].Version, list[1].Version = "v1", "v2"
	r := newRoster(list[:1])
	steps := []struct {
		at         time.Duration
		first, end int // the listed endpoints
		now        bool
		recently   bool
	}{
		{0, 0, 1, false, false},
		{time.Second, 0, 2, true, true},
		{time.Hour, 0, 2, true, true},
		{time.Hour + time.Second, 1, 2, false, true},
		{time.Hour + window, 1, 2, false, true},
		{time.Hour + 2*time.Second + window, 1, 2, false, false},
	}
	for _, s := range steps {
		now := epoch.Add(s.at)
		r.SetEndpoints(now, list[s.first:s.end], Continuous)
		now = now.Add(time.Millisecond)
		for window, want := range map[time.Duration]bool{0: s.now, window: s.recently} {
			if got, services := r.HasMixedVersions(now, "llm", window), r.MixedServices(now, window); got != want || (len(services) == 1) != want {
				t.Errorf("after %v: mixed within %v: %t, services %v, want %t", s.at, window, got, services, want)
			}
		}
	}
}

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

// What a record says of a service counts as listed when it was read, for a window, and as known for a window before.
func TestRestoredVersions(t *testing.T) {
	const window = time.Minute
	list := makeEndpoints(1, "a")
	list[0].Version = "v2"
	r := New(nil)
	if got := r.VersionsKnownFor(epoch); got != 0 {
		t.Errorf("nothing is known, but the versions for %v", got)
	}
	r.SetEndpoints(epoch, list, Continuous)
	if got := r.VersionsKnownFor(epoch.Add(time.Second)); got != time.Second {
		t.Errorf("the versions are known for %v, want 1s", got)
	}
	r.RestoreVersions(epoch.Add(time.Second), window, map[string][]string{"llm": {"v1"}})
	if got := r.VersionsKnownFor(epoch.Add(time.Second)); got != window {
		t.Errorf("the versions are known for %v, want %v", got, window)
	}
	for after, want := range map[time.Duration]int{time.Second: 2, time.Second + window: 2, 2*time.Second + window: 1} {
		now := epoch.Add(after)
		if got := r.RecentVersions(now, window)["llm"]; len(got) != want || r.HasMixedVersions(now, "llm", window) != (want == 2) {
			t.Errorf("after %v: versions %v, mixed %t, want %d", after, got, r.HasMixedVersions(now, "llm", window), want)
		}
	}
}

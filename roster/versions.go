package roster

import (
	"maps"
	"time"
)

// versionMemory is how long the versions of endpoints that are no longer listed are remembered.
const versionMemory = 10 * time.Minute

// recordVersions records the software versions of the listed endpoints. The caller holds mu.
func (r *Roster) recordVersions(now time.Time) {
	for service, members := range r.byService {
		listedAt := r.versionListedAt[service]
		if listedAt == nil {
			listedAt = make(map[string]time.Time)
			r.versionListedAt[service] = listedAt
		}
		for _, m := range members {
			listedAt[m.Version] = now
		}
		maps.DeleteFunc(listedAt, func(_ string, at time.Time) bool { return now.Sub(at) > versionMemory })
	}
}

// HasMixedVersions reports whether a service has endpoints of several software versions, or had any within
// the time window before now, of at most versionMemory.
func (r *Roster) HasMixedVersions(now time.Time, service string, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasMixedVersions(now, service, window)
}

// hasMixedVersions is HasMixedVersions for callers that hold mu.
func (r *Roster) hasMixedVersions(now time.Time, service string, window time.Duration) bool {
	versions := make(map[string]bool)
	for _, m := range r.byService[service] {
		versions[m.Version] = true
	}
	for version, at := range r.versionListedAt[service] {
		if now.Sub(at) <= window {
			versions[version] = true
		}
	}
	return len(versions) > 1
}

// MixedServices returns the services for which HasMixedVersions holds, in no order.
func (r *Roster) MixedServices(now time.Time, window time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var services []string
	for service := range r.versionListedAt {
		if r.hasMixedVersions(now, service, window) {
			services = append(services, service)
		}
	}
	return services
}

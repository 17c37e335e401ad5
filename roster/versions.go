package roster

import (
	"maps"
	"slices"
	"time"
)

// versionMemory is how long the versions of endpoints that are no longer listed are remembered.
const versionMemory = 10 * time.Minute

// recordVersions records the software versions of the listed endpoints. The caller holds mu.
func (r *Roster) recordVersions(now time.Time) {
	for service, members := range r.byService {
		listedAt := r.versionsOf(service)
		for _, m := range members {
			listedAt[m.Version] = now
		}
		maps.DeleteFunc(listedAt, func(_ string, at time.Time) bool { return now.Sub(at) > versionMemory })
	}
}

// versionsOf returns when a service last had each version. The caller holds mu.
func (r *Roster) versionsOf(service string) map[string]time.Time {
	listedAt := r.versionListedAt[service]
	if listedAt == nil {
		listedAt = make(map[string]time.Time)
		r.versionListedAt[service] = listedAt
	}
	return listedAt
}

// RestoreVersions adds the versions that services had within the time window before now according to a
// record, which holds all of them. As the record does not say when, they count as listed now.
func (r *Roster) RestoreVersions(now time.Time, window time.Duration, recorded map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, versions := range recorded {
		listedAt := r.versionsOf(service)
		for _, v := range versions {
			listedAt[v] = now
		}
	}
	if since := now.Add(-window); r.versionsKnownSince.IsZero() || since.Before(r.versionsKnownSince) {
		r.versionsKnownSince = since
	}
}

// VersionsKnownFor returns the length of the time before now for which the versions that services had are known,
// from lists of endpoints or from a record.
func (r *Roster) VersionsKnownFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.versionsKnownSince.IsZero() {
		return 0
	}
	return now.Sub(r.versionsKnownSince)
}

// RecentVersions returns the sorted versions that each service has, or had within the time window before now, of
// at most versionMemory.
func (r *Roster) RecentVersions(now time.Time, window time.Duration) map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := make(map[string][]string)
	for service := range r.versionListedAt {
		if versions := r.recentVersions(now, service, window); len(versions) > 0 {
			recent[service] = slices.Sorted(maps.Keys(versions))
		}
	}
	return recent
}

// HasMixedVersions reports whether a service has endpoints of several software versions, or had any within
// the time window before now, of at most versionMemory.
func (r *Roster) HasMixedVersions(now time.Time, service string, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.recentVersions(now, service, window)) > 1
}

// OnlyVersion returns the version that a service has, or had within the time window before now, if there is one. It
// reports mixed if there are several.
func (r *Roster) OnlyVersion(now time.Time, service string, window time.Duration) (only string, mixed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.recentVersions(now, service, window)
	if len(recent) > 1 {
		return "", true
	}
	for version := range recent {
		only = version
	}
	return only, false
}

// recentVersions returns the versions that a service has, or had within the time window before now. The caller
// holds mu.
func (r *Roster) recentVersions(now time.Time, service string, window time.Duration) map[string]bool {
	versions := make(map[string]bool)
	for _, m := range r.byService[service] {
		versions[m.Version] = true
	}
	for version, at := range r.versionListedAt[service] {
		if now.Sub(at) <= window {
			versions[version] = true
		}
	}
	return versions
}

// MixedServices returns the services for which HasMixedVersions holds, in no order.
func (r *Roster) MixedServices(now time.Time, window time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var services []string
	for service := range r.versionListedAt {
		if len(r.recentVersions(now, service, window)) > 1 {
			services = append(services, service)
		}
	}
	return services
}

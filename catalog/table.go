package catalog

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table looks up routes by host and path, and organisations by key, in a compiled configuration.
type Table struct {
	*Configuration
	// byHost lists the routes of each host, those with the longest prefix first.
	byHost map[string][]*Route
	byKey  map[string]*Organisation
}

// Compile prepares a configuration for look-ups. The configuration must not be changed afterwards.
func Compile(c *Configuration) *Table {
	t := &Table{Configuration: c, byHost: make(map[string][]*Route), byKey: make(map[string]*Organisation)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.byKey[key] = &c.Organisations[i]
		}
	}
	return t
}

// Route returns the route of the host with the longest prefix of path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that a key belongs to, or nil.
func (t *Table) Organisation(key string) *Organisation { return t.byKey[key] }

// Service picks the service of a request according to the route's weights. The same seed picks the
// same service until the weights change.
func (r *Route) Service(seed string) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 || len(r.Services) == 1 {
		return r.Services[0].Service
	}
	point := int(xxhash.Sum64String(seed) % uint64(total))
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// routeRanks is the number of ranks of requests whose organisations have the same priority.
const routeRanks = 4

// Rank returns the place of a request in the order of urgency; 0 is the most urgent. The priority of the
// organisation, if it has one, takes precedence over that of the route. Requests of the same priority
// are ordered by the priorities of their routes.
func Rank(r *Route, o *Organisation) int {
	priority := r.Priority
	if o != nil && o.Priority != nil {
		priority = *o.Priority
	}
	return priority*routeRanks + min(max(r.Priority, 0), routeRanks-1)
}

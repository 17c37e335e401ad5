// Package configcheck checks a configuration of the users' platform before it is sent: errors, declarations that can never
// match, limits that contradict each other, and the differences from the version in force. It performs no I/O.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/azurelead/azurelead/catalog"
)

// Severity says how bad a finding is.
type Severity string

// A finding is an Error if the configuration would not behave as it declares, otherwise a Warning.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path names the declaration, such as routes[2].timeout.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// HasErrors reports whether any finding is an error.
func HasErrors(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Severity == Error })
}

// checker collects findings.
type checker struct {
	config   *catalog.Configuration
	findings []Finding
	// used holds the services that routes and stages name.
	used map[string]bool
}

func (c *checker) add(s Severity, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Path: path, Message: fmt.Sprintf(format, args...)})
}

// Check returns the faults of a configuration, errors first.
func Check(config *catalog.Configuration) []Finding {
	c := &checker{config: config, used: make(map[string]bool)}
	if config.Version < 1 {
		c.add(Error, "version", "%d is not above 0", config.Version)
	}
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	c.checkLimits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return c.findings
}

func (c *checker) checkRoutes() {
	type place struct{ host, prefix string }
	first := make(map[place]int)
	names := make(map[string]int)
	for i := range c.config.Routes {
		r, path := &c.config.Routes[i], fmt.Sprintf("routes[%d]", i)
		if j, found := first[place{r.Host, r.PathPrefix}]; found {
			c.add(Error, path, "can never match: routes[%d] has the same host and prefix", j)
		} else {
			first[place{r.Host, r.PathPrefix}] = i
		}
		if j, found := names[r.Name]; found && r.Name != "" {
			c.add(Warning, path+".name", "%q is also the name of routes[%d], so that metrics and logs do not tell them apart", r.Name, j)
		}
		names[r.Name] = i
		c.checkRoute(r, path)
	}
}

func (c *checker) checkRoute(r *catalog.Route, path string) {
	if r.Host == "" {
		c.add(Error, path+".host", "is empty, and no request has an empty host")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(Error, path+".path prefix", "%q does not begin and end with a slash", r.PathPrefix)
	}
	c.checkSplit(r, path)
	c.checkTimes(r, path)
	if r.MaxAttempts > 1 && !r.Repeatable() {
		c.add(Warning, path+".attempts", "%d are never used, as its requests run at most once", r.MaxAttempts)
	}
	for i, s := range r.Stages {
		c.checkStage(r, i, s, fmt.Sprintf("%s.stages[%d]", path, i))
	}
}

func (c *checker) checkSplit(r *catalog.Route, path string) {
	total := 0
	for i, s := range r.Services {
		c.checkServiceName(s.Service, fmt.Sprintf("%s.services[%d]", path, i))
		switch {
		case s.Weight < 0:
			c.add(Error, fmt.Sprintf("%s.services[%d].weight", path, i), "%d is below 0", s.Weight)
		case s.Weight == 0 && len(r.Services) > 1:
			c.add(Warning, fmt.Sprintf("%s.services[%d].weight", path, i), "is 0: %s never gets a request of the route", s.Service)
		}
		total += max(s.Weight, 0)
	}
	if total == 0 && len(r.Services) > 1 {
		c.add(Error, path+".services", "all weights are 0: all requests go to %s", r.Services[0].Service)
	}
}

func (c *checker) checkServiceName(name, path string) {
	c.used[name] = true
	if c.config.Services[name] == nil {
		c.add(Error, path, "service %q is not declared", name)
	}
}

// checkTimes checks the times of a route against each other.
func (c *checker) checkTimes(r *catalog.Route, path string) {
	if r.Timeout <= 0 {
		c.add(Error, path+".timeout", "%v is not above 0", r.Timeout)
		return
	}
	if r.LatencyTarget > r.Timeout {
		c.add(Error, path+".latency target", "%v is longer than the timeout of %v", r.LatencyTarget, r.Timeout)
	}
	if r.EventGapTarget > r.Timeout {
		c.add(Error, path+".event gap target", "%v is longer than the timeout of %v", r.EventGapTarget, r.Timeout)
	}
	if n := time.Duration(r.MaxAttempts); r.Repeatable() && n > 1 && r.LatencyTarget > 0 && n*r.LatencyTarget > r.Timeout {
		c.add(Warning, path+".attempts", "%d of %v each do not fit into the timeout of %v", r.MaxAttempts, r.LatencyTarget, r.Timeout)
	}
	switch stages := c.stageTime(r); {
	case stages > r.Timeout:
		c.add(Error, path+".timeout", "%v is shorter than the calls of its stages, which take %v", r.Timeout, stages)
	case r.LatencyTarget > 0 && stages > r.LatencyTarget:
		c.add(Warning, path+".latency target", "%v is shorter than the calls of its stages, which take %v", r.LatencyTarget, stages)
	}
	if r.Kind == catalog.Streaming && r.EventGapTarget == 0 {
		c.add(Warning, path+".event gap target", "is not set, so that no pause of a stream is too long")
	}
	if r.Kind != catalog.Streaming && r.Resumable {
		c.add(Warning, path+".resumable", "has no effect, as the route does not stream")
	}
}

// stageTime returns the declared time of the longest chain of a route's stages, with one task in each.
func (c *checker) stageTime(r *catalog.Route) (longest time.Duration) {
	ends := make([]time.Duration, len(r.Stages))
	for i, s := range r.Stages {
		var start time.Duration
		for _, after := range s.After {
			if after >= 0 && after < i {
				start = max(start, ends[after])
			}
		}
		ends[i] = start
		if service := c.config.Services[s.Service]; service != nil && service.Stages != nil {
			ends[i] += service.Stages.CallTime + service.Stages.TaskTime
		}
		longest = max(longest, ends[i])
	}
	return longest
}

func (c *checker) checkStage(r *catalog.Route, i int, s catalog.Stage, path string) {
	c.checkServiceName(s.Service, path+".service")
	service := c.config.Services[s.Service]
	if service != nil && service.Stages == nil {
		c.add(Error, path+".service", "service %q runs no stages", s.Service)
	}
	for _, after := range s.After {
		if after < 0 || after >= len(r.Stages) || after >= i {
			c.add(Error, path+".after", "stage %d is none before this one", after)
		}
	}
	if service != nil && service.Stages != nil && s.ResultBytes > service.Stages.ResultMemory {
		c.add(Error, path+".bytes", "a result of %d bytes does not fit into the %d bytes of an endpoint of %s", s.ResultBytes, service.Stages.ResultMemory, s.Service)
	}
}

func (c *checker) checkServices() {
	for _, name := range sortedKeys(c.config.Services) {
		s, path := c.config.Services[name], "services."+name
		if name == "" {
			c.add(Error, "services", "a service has no name")
		}
		if !c.used[name] {
			c.add(Warning, path, "is never used: no route and no stage names it")
		}
		if s.ColdPeriod > 0 && s.ColdRate == 0 {
			c.add(Warning, path+".cold rate", "is 0: cold endpoints get requests without a limit")
		}
		if s.Engine && s.KVCacheTokens <= 0 {
			c.add(Error, path+".KV cache", "an engine without room for tokens takes no request")
		}
		if l := s.Stages; l != nil && (l.CallTime <= 0 || l.ResultMemory <= 0) {
			c.add(Error, path+".stages", "a call takes %v and results have %d bytes; both must be above 0", l.CallTime, l.ResultMemory)
		}
	}
}

func (c *checker) checkOrganisations() {
	names, owners := make(map[string]int), make(map[string]int)
	for i, o := range c.config.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		if o.Name == "" {
			c.add(Error, path+".name", "is empty")
		}
		if j, found := names[o.Name]; found {
			c.add(Error, path+".name", "%q is also the name of organisations[%d]", o.Name, j)
		}
		names[o.Name] = i
		if len(o.Keys) == 0 {
			c.add(Warning, path+".keys", "%s has none: no request can be its own", o.Name)
		}
		for k, key := range o.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, k)
			if j, found := owners[key]; found {
				c.add(Error, keyPath, "is also a key of organisations[%d], which never matches with it", j)
			}
			owners[key] = i
			if key == "" || strings.TrimSpace(key) != key {
				c.add(Error, keyPath, "is empty or has spaces around it, and no request carries such a key")
			}
		}
		c.checkRegions(o, path)
	}
	if len(c.config.Organisations) > 0 {
		return
	}
	for i, r := range c.config.Routes {
		if r.Public {
			c.add(Warning, fmt.Sprintf("routes[%d].public", i), "has no effect, as no organisations are declared")
		}
	}
}

// checkRegions finds routes that an organisation can never use, as no region may serve both.
func (c *checker) checkRegions(o catalog.Organisation, path string) {
	for i, r := range c.config.Routes {
		if len(o.Regions) == 0 || len(r.Regions) == 0 {
			continue
		}
		if !slices.ContainsFunc(r.Regions, func(region string) bool { return slices.Contains(o.Regions, region) }) {
			c.add(Warning, path+".regions", "none of them may serve routes[%d]: the organisation's requests there are refused", i)
		}
	}
}

// usualHeaderBytes is the size of the headers that a client's request carries beside its host and path.
const usualHeaderBytes = 1024

func (c *checker) checkLimits() {
	l := c.config.Limits
	for _, limit := range []struct {
		path  string
		value int64
	}{
		{"header bytes", int64(l.HeaderBytes)}, {"body bytes", l.BodyBytes}, {"header timeout", int64(l.HeaderTimeout)}, {"idle timeout", int64(l.IdleTimeout)},
	} {
		if limit.value < 0 {
			c.add(Error, "limits."+limit.path, "is below 0")
		}
	}
	for i, r := range c.config.Routes {
		if need := len(r.Host) + len(r.PathPrefix) + usualHeaderBytes; l.HeaderBytes > 0 && need > l.HeaderBytes {
			c.add(Warning, "limits.header bytes", "%d are too few for routes[%d], whose requests need some %d", l.HeaderBytes, i, need)
			break
		}
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Warning, "limits.header timeout", "%v is longer than the idle timeout of %v", l.HeaderTimeout, l.IdleTimeout)
	}
}

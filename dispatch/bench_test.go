package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
)

// BenchmarkRequest measures the time that a dispatcher spends on one request, from its
// submission to its release. The sizes are those of one deployment and of larger ones,
// whose request rate grows with the number of endpoints.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{1, 5, 15} {
		b.Run(fmt.Sprintf("engines=%d", 38*size), func(b *testing.B) {
			sim := newSimulation(b)
			dataCentres := []string{"a", "b", "c", "d"}
			sim.addService("portal", portalLimits, 9*size, dataCentres...)
			sim.addService("desk", deskLimits, 15*size, dataCentres...)
			sim.addService("notify", notifyLimits, 18*size, dataCentres...)
			sim.addEngines("llm", 38*size, dataCentres...)
			sim.releaseDelay = 300 * time.Millisecond
			duration := time.Duration(float64(b.N) / float64(37*size) * float64(time.Second))
			sim.submitBurst(1, duration, float64(17*size), float64(20*size))
			b.ResetTimer()
			sim.run(duration + 2*time.Second)
			b.StopTimer()
			b.ReportMetric(float64(len(sim.ended)), "ended")
		})
	}
}

// addEngines declares a service with n model engines, which are spread over the data
// centres in turn.
func (sim *simulation) addEngines(name string, n int, dataCentres ...string) {
	var list []Engine
	for _, e := range endpointsOf(name, n, dataCentres...) {
		list = append(list, Engine{Endpoint: e})
	}
	s := &catalog.Service{Name: name, Engine: true, KVCacheTokens: 500_000, TokenFetchTime: 300 * time.Nanosecond}
	sim.d.SetEngines(s, list)
	sim.engineService = name
}

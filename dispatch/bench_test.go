package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
)

// BenchmarkRequest measures what all decisions on one request cost a dispatcher,
// from its submission to its release: at the size of one deployment, and at that
// of many, whose requests grow with the endpoints.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{1, 5, 15} {
		b.Run(fmt.Sprintf("engines=%d", 38*size), func(b *testing.B) {
			w := newSimulation(b)
			zones := []string{"a", "b", "c", "d"}
			w.addService("portal", portalLimits, 9*size, zones...)
			w.addService("desk", deskLimits, 15*size, zones...)
			w.addService("notify", notifyLimits, 18*size, zones...)
			w.addEngines("llm", 38*size, zones...)
			w.releaseDelay = 300 * time.Millisecond
			length := time.Duration(float64(b.N) / float64(37*size) * float64(time.Second))
			w.submitBurst(1, length, float64(17*size), float64(20*size))
			b.ResetTimer()
			w.run(length + 2*time.Second)
			b.StopTimer()
			b.ReportMetric(float64(len(w.ended)), "ended")
		})
	}
}

// addEngines declares a service of model addEngines in turn in the data centres.
func (w *simulation) addEngines(name string, n int, dataCentres ...string) {
	var list []Engine
	for _, e := range endpointsOf(name, n, dataCentres...) {
		list = append(list, Engine{Endpoint: e})
	}
	s := &catalog.Service{Name: name, Engine: true, KVCacheTokens: 500_000, TokenFetchTime: 300 * time.Nanosecond}
	w.d.SetEngines(s, list)
	w.engineService = name
}

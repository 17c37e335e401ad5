package itest

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurelead/azurelead/client"
	"github.com/azurelead/azurelead/entry"
	"github.com/azurelead/azurelead/pipeline"
)

const rollOutSettings = `
request: {max_deadline: 30s, max_tokens: 40}
endpoint: {cold_limit: 2, max_limit: 16, ramp_answers: 2}
max_loads: 1
pipelines:
  chat: {stages: [{name: answer, kind: generate, pool: engines, model: helper}]}
`

// rollOutSettingsFor returns settings that request the version of the model on the engines.
func rollOutSettingsFor(version string) string {
	return rollOutSettings + `
data_centres:
  north: {pools: {engines: {models: [{model: helper, version: ` + version + `, min_copies: 4}]}}}
`
}

// openLoad sends requests at a fixed rate, whether or not earlier ones were answered, and returns the
// share that was answered completely within the deadline.
func openLoad(b *testing.B, f *fleet, e *process, name string, perSecond int, duration time.Duration) float64 {
	b.Helper()
	const deadline = 2 * time.Second
	c := client.Client{URL: "http://" + e.addr}
	var onTime atomic.Int64
	var wg sync.WaitGroup
	n := int(duration.Seconds()) * perSecond
	for i := range n {
		time.Sleep(time.Second / time.Duration(perSecond))
		wg.Go(func() {
			started := time.Now()
			_, err := c.Do(b.Context(), client.Request{
				Token: fleetToken, Pipeline: "chat", Deadline: deadline,
				Body: entry.Body{Question: fmt.Sprint(name, " ", i), MaxTokens: 40},
			}, nil)
			if err == nil && time.Since(started) <= deadline {
				onTime.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(onTime.Load()) / float64(n)
}

// BenchmarkRollOut measures the share of requests answered within the deadline twice in the same run:
// before the engines of a fleet change to another model version, and during the change.
func BenchmarkRollOut(b *testing.B) {
	for _, perSecond := range []int{30, 60} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) { rollOut(b, perSecond) })
	}
}

func rollOut(b *testing.B, perSecond int) {
	for range b.N {
		f := newFleet(b, rollOutSettingsFor("v1"))
		var engines []string
		for i := range 4 {
			engine := f.start(fmt.Sprint("engine", i), "azurelead-standin", "engine", "--step", "10ms", "--batch", "16",
				"--cold-limit", "2", "--cold-answers", "8", "--load-time", "2s").addr
			engines = append(engines, engine)
			f.startAgent(fmt.Sprint("e", i), "engines", pipeline.Generate, engine)
		}
		e := f.startEntry("entry1")
		for _, addr := range engines {
			f.awaitStat(addr, "orders.accepted", "2")
		}
		f.awaitAnswer(e, "chat", entry.Body{Question: "warm", MaxTokens: 1})
		openLoad(b, f, e, "ramp", perSecond, 8*time.Second)
		steady := openLoad(b, f, e, "still", perSecond, 25*time.Second)
		f.applySettings(rollOutSettingsFor("v2"))
		rolling := openLoad(b, f, e, "rolling", perSecond, 25*time.Second)
		for _, addr := range engines {
			f.awaitStat(addr, "orders.accepted", "4")
		}
		b.ReportMetric(100*steady, "%still")
		b.ReportMetric(100*rolling, "%rolling")
	}
}

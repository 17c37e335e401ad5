package itest

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/azurelead/azurelead/client"
	"github.com/azurelead/azurelead/pipeline"
)

// BenchmarkHops calls a service alternately directly and through an entry and an agent, each a
// separate process, and reports the latency that the two hops add.
func BenchmarkHops(b *testing.B) {
	f := newFleet(b, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service", "--service-time", "1us").addr
	f.startAgent("s1", "stock", pipeline.Service, stock)
	e := f.startEntry("entry1")
	f.awaitAnswer(e, "status", actionBody("await"))
	c := client.Client{URL: "http://" + e.addr}
	var direct, proxied []time.Duration
	n := 0
	for b.Loop() {
		n++
		direct = append(direct, measure(b, func() error { return callDirectly(stock, fmt.Sprint("direct-", n)) }))
		proxied = append(proxied, measure(b, func() error {
			_, err := c.Do(b.Context(), client.Request{
				Token: fleetToken, Pipeline: "status", Deadline: waitTimeout, Body: actionBody(fmt.Sprint("through-", n)),
			}, nil)
			return err
		}))
	}
	for _, q := range []float64{0.5, 0.99} {
		directLatency, proxiedLatency := quantile(direct, q), quantile(proxied, q)
		b.ReportMetric(float64(directLatency.Microseconds()), fmt.Sprintf("direct-p%g-us", q*100))
		b.ReportMetric(float64((proxiedLatency - directLatency).Microseconds()), fmt.Sprintf("added-p%g-us", q*100))
	}
}

// measure returns the duration of the call.
func measure(b *testing.B, call func() error) time.Duration {
	started := time.Now()
	if err := call(); err != nil {
		b.Fatal(err)
	}
	return time.Since(started)
}

// callDirectly calls the service without an entry and an agent.
func callDirectly(addr, reference string) error {
	resp, err := http.Post("http://"+addr+"/op/status", "application/json", bytes.NewReader(actionBody(reference).Action))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func quantile(durations []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[int(q*float64(len(sorted)-1))]
}

// BenchmarkIdleMemory reports the resident memory of an entry and an agent that
// have answered one request.
func BenchmarkIdleMemory(b *testing.B) {
	f := newFleet(b, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service").addr
	agent := f.startAgent("s1", "stock", pipeline.Service, stock)
	e := f.startEntry("entry1")
	f.awaitAnswer(e, "status", actionBody("await"))
	for b.Loop() {
		time.Sleep(5 * time.Second)
	}
	b.ReportMetric(residentMB(b, e), "entry-MB")
	b.ReportMetric(residentMB(b, agent), "agent-MB")
}

// residentMB returns the resident memory of the process in MB.
func residentMB(b *testing.B, p *process) float64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			if err != nil {
				b.Fatal(err)
			}
			return kb / 1024
		}
	}
	b.Fatal("no VmRSS in the status of the process")
	return 0
}

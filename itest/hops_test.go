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

// BenchmarkHops asks a service in turn directly and through an entry and an
// agent, each a process, and reports what the two hops add.
func BenchmarkHops(b *testing.B) {
	f := newFleet(b, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service", "--service-time", "1us").addr
	f.agent("s1", "stock", pipeline.Service, stock)
	e := f.entry("entry1")
	f.await(e, "status", action("await"))
	c := client.Client{URL: "http://" + e.addr}
	var direct, through []time.Duration
	n := 0
	for b.Loop() {
		n++
		direct = append(direct, timed(b, func() error { return askDirectly(stock, fmt.Sprint("direct-", n)) }))
		through = append(through, timed(b, func() error {
			_, err := c.Do(b.Context(), client.Request{
				Token: fleetToken, Pipeline: "status", Deadline: patience, Body: action(fmt.Sprint("through-", n)),
			}, nil)
			return err
		}))
	}
	for _, q := range []float64{0.5, 0.99} {
		d, t := quantile(direct, q), quantile(through, q)
		b.ReportMetric(float64(d.Microseconds()), fmt.Sprintf("direct-p%g-us", q*100))
		b.ReportMetric(float64((t - d).Microseconds()), fmt.Sprintf("added-p%g-us", q*100))
	}
}

func timed(b *testing.B, call func() error) time.Duration {
	started := time.Now()
	if err := call(); err != nil {
		b.Fatal(err)
	}
	return time.Since(started)
}

func askDirectly(addr, reference string) error {
	resp, err := http.Post("http://"+addr+"/op/status", "application/json", bytes.NewReader(action(reference).Action))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func quantile(times []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(q*float64(len(sorted)-1))]
}

// BenchmarkIdleMemory reports the resident memory of an entry and an agent that
// have answered one request.
func BenchmarkIdleMemory(b *testing.B) {
	f := newFleet(b, statusSettings)
	stock := f.start("stock", "azurelead-standin", "service").addr
	agent := f.agent("s1", "stock", pipeline.Service, stock)
	e := f.entry("entry1")
	f.await(e, "status", action("await"))
	for b.Loop() {
		time.Sleep(5 * time.Second)
	}
	b.ReportMetric(resident(b, e), "entry-MB")
	b.ReportMetric(resident(b, agent), "agent-MB")
}

// resident reads a process's resident memory in MB.
func resident(b *testing.B, p *process) float64 {
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
	b.Fatal("no resident memory in the status of the process")
	return 0
}

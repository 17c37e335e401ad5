package load

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "compare the JSON reports of two runs",
		ArgsUsage: "FIRST SECOND",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() != 2 {
				return Error.New("compare needs 2 files, %d given", c.NArg())
			}
			first, err := readReport(c.Args().Get(0))
			if err != nil {
				return err
			}
			second, err := readReport(c.Args().Get(1))
			if err != nil {
				return err
			}
			return Compare(c.Root().Writer, first, second)
		},
	}
}

func readReport(name string) (Report, error) {
	raw, err := os.ReadFile(name)
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	var r Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return Report{}, Error.New("%s: %v", name, err)
	}
	return r, nil
}

// Compare writes the metrics of two reports side by side, with the difference of the second from
// the first.
func Compare(w io.Writer, first, second Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := &printer{w: table}
	p.line("\t%s\t%s\tchange\t", first.Policy, second.Policy)
	for _, m := range metrics() {
		a, b := m.value(first), m.value(second)
		p.line("%s\t%.2f\t%.2f\t%+.2f\t", m.name, a, b, b-a)
	}
	for _, c := range first.Classes {
		a, b := 100*c.Attainment, 100*second.Class(c.Name).Attainment
		p.line("%s attained %%\t%.2f\t%.2f\t%+.2f\t", c.Name, a, b, b-a)
	}
	if p.err != nil {
		return Error.Wrap(p.err)
	}
	return Error.Wrap(table.Flush())
}

// metric is a named figure that is computed from a report.
type metric struct {
	name  string
	value func(Report) float64
}

func metrics() []metric {
	return []metric{
		{"attained %", func(r Report) float64 { return 100 * r.Total.Attainment }},
		{"goodput /s", func(r Report) float64 { return r.Total.Goodput }},
		{"latency p50 ms", func(r Report) float64 { return float64(r.Total.Latency.P50) / microsecondsPerMillisecond }},
		{"latency p99 ms", func(r Report) float64 { return float64(r.Total.Latency.P99) / microsecondsPerMillisecond }},
		{"refusal p99 ms", func(r Report) float64 { return float64(r.RefusalLatency.P99) / microsecondsPerMillisecond }},
		{"endpoint s per answer", func(r Report) float64 { return perAnswer(r, endpointSeconds(r)) }},
		{"engine tokens per answer", func(r Report) float64 { return perAnswer(r, generatedTokens(r)) }},
		{"wasted endpoint %", wastedPercent},
		{"retries %, worst stage", maxRetryPercent},
	}
}

// perAnswer divides a figure by the number of answers in time, taken as at least 1.
func perAnswer(r Report, figure float64) float64 { return figure / float64(max(r.Total.OnTime, 1)) }

func endpointSeconds(r Report) float64 {
	total := 0.0
	for _, s := range r.Stages {
		total += s.EndpointSeconds
	}
	return total
}

func generatedTokens(r Report) float64 {
	total := 0
	for _, s := range r.Stages {
		total += s.GeneratedTokens
	}
	return float64(total)
}

// wastedPercent returns the percentage of the endpoints' time that was spent on requests that were
// not answered in time.
func wastedPercent(r Report) float64 {
	total, wasted := 0.0, 0.0
	for _, s := range r.Stages {
		total += s.EndpointSeconds
		wasted += s.WastedSeconds
	}
	if total == 0 {
		return 0
	}
	return 100 * wasted / total
}

// maxRetryPercent returns the highest ratio of retries to calls of any stage, in per cent.
func maxRetryPercent(r Report) float64 {
	highest := 0.0
	for _, s := range r.Stages {
		highest = max(highest, 100*ratio(s.Retries, s.Calls))
	}
	return highest
}

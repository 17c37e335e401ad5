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
				return Error.New("compare takes two files, not %d", c.NArg())
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

// Compare prints two reports side by side, with the change from the first to
// the second.
func Compare(w io.Writer, first, second Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := &printer{w: t}
	p.line("\t%s\t%s\tchange\t", first.Policy, second.Policy)
	for _, c := range comparisons() {
		a, b := c.of(first), c.of(second)
		p.line("%s\t%.2f\t%.2f\t%+.2f\t", c.name, a, b, b-a)
	}
	for _, c := range first.Classes {
		a, b := 100*c.Attainment, 100*second.Class(c.Name).Attainment
		p.line("%s attained %%\t%.2f\t%.2f\t%+.2f\t", c.Name, a, b, b-a)
	}
	if p.err != nil {
		return Error.Wrap(p.err)
	}
	return Error.Wrap(t.Flush())
}

// comparison is one figure of a report.
type comparison struct {
	name string
	of   func(Report) float64
}

func comparisons() []comparison {
	return []comparison{
		{"attained %", func(r Report) float64 { return 100 * r.Total.Attainment }},
		{"goodput /s", func(r Report) float64 { return r.Total.Goodput }},
		{"latency p50 ms", func(r Report) float64 { return float64(r.Total.Latency.P50) / microsecondsPerMillisecond }},
		{"latency p99 ms", func(r Report) float64 { return float64(r.Total.Latency.P99) / microsecondsPerMillisecond }},
		{"refusal p99 ms", func(r Report) float64 { return float64(r.RefusalLatency.P99) / microsecondsPerMillisecond }},
		{"endpoint s per answer", func(r Report) float64 { return perAnswer(r, endpointSeconds(r)) }},
		{"engine tokens per answer", func(r Report) float64 { return perAnswer(r, generated(r)) }},
		{"wasted endpoint %", wasted},
		{"retries %, worst stage", retried},
	}
}

func perAnswer(r Report, v float64) float64 { return v / float64(max(r.Total.OnTime, 1)) }

func endpointSeconds(r Report) float64 {
	sum := 0.0
	for _, s := range r.Stages {
		sum += s.EndpointSeconds
	}
	return sum
}

func generated(r Report) float64 {
	sum := 0
	for _, s := range r.Stages {
		sum += s.GeneratedTokens
	}
	return float64(sum)
}

// wasted is the part of the endpoints' time that was spent on requests that
// were not answered in time, in per cent.
func wasted(r Report) float64 {
	all, lost := 0.0, 0.0
	for _, s := range r.Stages {
		all += s.EndpointSeconds
		lost += s.WastedSeconds
	}
	if all == 0 {
		return 0
	}
	return 100 * lost / all
}

// retried is retries per first attempt of the stage with the most of them, in
// per cent.
func retried(r Report) float64 {
	most := 0.0
	for _, s := range r.Stages {
		most = max(most, 100*share(s.Retries, s.Calls))
	}
	return most
}

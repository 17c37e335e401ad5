package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const microsecondsPerMillisecond = 1e3

// Print writes a report as text: attainment, cost by stage, service over time, refusals, and the
// fleet's own counters.
func Print(w io.Writer, r Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := &printer{w: table}
	p.line("scenario %s, seed %d, policy %s, %.0f requests/s for %.0f s",
		r.Scenario.Name, r.Scenario.Seed, r.Policy, r.Scenario.Rate, r.Seconds)
	p.line("")
	p.line("END-TO-END ATTAINMENT\tasked\twhole\tlate\trefused\tbroken\tjoined\tattained\tp50 ms\tp99 ms\tfirst token p95 ms\t")
	p.group(r.Total)
	for _, c := range r.Classes {
		p.group(c)
	}
	for _, c := range r.Organisations {
		p.group(c)
	}
	p.line("")
	p.line("COST BY STAGE\tcalls\tattempts\tretries\tredirects\thedges\tendpoint s\twasted s\tprompt\tcached\tgenerated\twasted tokens\t")
	for _, s := range r.Stages {
		p.line("%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t", s.Stage, s.Calls, s.Attempts, s.Retries, s.Redirects,
			s.Hedges, s.EndpointSeconds, s.WastedSeconds, s.PromptTokens, s.CachedTokens, s.GeneratedTokens, s.WastedTokens)
	}
	p.line("")
	p.line("SERVICE OVER TIME\tasked\twhole\trefused\tlost\tretries\t")
	for _, s := range r.Timeline {
		p.line("second %d\t%d\t%d\t%d\t%d\t%d\t", s.Second, s.Requests, s.OnTime, s.Refused, s.LateOrFailed, s.Retries)
	}
	p.line("")
	p.line("refusals: %d, p50 %.1f ms, p99 %.1f ms", r.RefusalLatency.Count,
		float64(r.RefusalLatency.P50)/microsecondsPerMillisecond, float64(r.RefusalLatency.P99)/microsecondsPerMillisecond)
	for _, c := range r.RefusalCounts {
		p.line("  %s (%s)\t%d\t", c.Code, c.Run, c.Count)
	}
	p.fleetStats(r.FleetStats)
	if p.err != nil {
		return Error.Wrap(p.err)
	}
	return Error.Wrap(table.Flush())
}

// printer writes lines and keeps the first error; later lines are dropped.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) group(g GroupReport) {
	p.line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.0f\t%.0f\t%.0f\t", g.Name, g.Requests, g.OnTime, g.Late, g.Refused, g.Failed,
		g.Joined, 100*g.Attainment, float64(g.Latency.P50)/microsecondsPerMillisecond,
		float64(g.Latency.P99)/microsecondsPerMillisecond, float64(g.FirstToken.P95)/microsecondsPerMillisecond)
}

func (p *printer) fleetStats(s FleetStats) {
	p.line("stand-ins: %d tokens generated, %d of them for incomplete calls, %d of %d prompt tokens cached, %d crashes",
		s.GeneratedTokens, s.CancelledTokens, s.CachedTokens, s.PromptTokens, s.Crashes)
	p.line("endpoints marked as cold, by reason: %v", s.ColdMarks)
	p.line("services: %d runs, %d references run more than once", s.ServiceRuns, s.RepeatedReferences)
	p.line("platform: %d reads, %d writes", s.PlatformReads, s.PlatformWrites)
}

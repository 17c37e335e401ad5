package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const microsecondsPerMillisecond = 1e3

// Print writes the three measures of a report for people.
func Print(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := &printer{w: t}
	p.line("scenario %s, seed %d, policy %s, %.0f requests/s for %.0f s",
		r.Scenario.Name, r.Scenario.Seed, r.Policy, r.Scenario.Rate, r.Seconds)
	p.line("")
	p.line("END-TO-END ATTAINMENT\tasked\twhole\tlate\trefused\tbroken\tjoined\tattained\tp50 ms\tp99 ms\tfirst token p95 ms\t")
	p.class(r.Total)
	for _, c := range r.Classes {
		p.class(c)
	}
	for _, c := range r.Organisations {
		p.class(c)
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
	p.truth(r.FleetStats)
	if p.err != nil {
		return Error.Wrap(p.err)
	}
	return Error.Wrap(t.Flush())
}

// printer keeps the first error of many writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) class(c GroupReport) {
	p.line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.0f\t%.0f\t%.0f\t", c.Name, c.Requests, c.OnTime, c.Late, c.Refused, c.Failed,
		c.Joined, 100*c.Attainment, float64(c.Latency.P50)/microsecondsPerMillisecond,
		float64(c.Latency.P99)/microsecondsPerMillisecond, float64(c.FirstToken.P95)/microsecondsPerMillisecond)
}

func (p *printer) truth(t FleetStats) {
	p.line("stand-ins: %d tokens generated, %d of them for calls that were cut short, %d of %d prompt tokens cached, %d crashes",
		t.GeneratedTokens, t.CancelledTokens, t.CachedTokens, t.PromptTokens, t.Crashes)
	p.line("endpoints taken for cold, by reason: %v", t.ColdMarks)
	p.line("services: %d runs, %d references run more than once", t.ServiceRuns, t.RepeatedReferences)
	p.line("platform: %d reads, %d writes", t.PlatformReads, t.PlatformWrites)
}

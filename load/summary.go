package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azurelead/azurelead/contract"
)

const (
	// maxHistogramDuration is the longest duration that histograms record; longer ones count as
	// this one.
	maxHistogramDuration = 10 * time.Minute
	// histogramDigits is the number of significant digits of histograms.
	histogramDigits = 3
	// timelineStep is the width of a timeline bucket.
	timelineStep = time.Second
)

// Report holds the measurements of one run.
type Report struct {
	Scenario Scenario `json:"scenario"`
	// Policy is the name of the policy under which the fleet ran.
	Policy string `json:"policy"`
	// Seconds is the duration of the measurement without the warm-up.
	Seconds float64       `json:"seconds"`
	Total   GroupReport   `json:"total"`
	Classes []GroupReport `json:"classes"`
	// Organisations groups the same requests by organisation.
	Organisations []GroupReport `json:"organisations"`
	Stages        []StageCost   `json:"stages"`
	// RefusalLatency is the time from sending a request to its refusal.
	RefusalLatency Quantiles        `json:"refusals"`
	RefusalCounts  []RefusalCount   `json:"codes"`
	Timeline       []TimelineBucket `json:"timeline"`
	FleetStats     FleetStats       `json:"truth"`
}

// GroupReport summarises the requests of one class or organisation, or of all.
type GroupReport struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	// OnTime, Late, Refused and Failed count the requests by outcome.
	OnTime  int `json:"whole"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"broken"`
	// Joined counts the requests that shared the execution of another caller's request.
	Joined int `json:"joined"`
	// Attainment is the fraction of requests that were answered completely within the deadline.
	Attainment float64 `json:"attainment"`
	// Goodput is the number of complete answers within the deadline per second.
	Goodput float64 `json:"goodput"`
	// Latency covers complete answers within the deadline, FirstToken all streams that sent a
	// token.
	Latency    Quantiles `json:"latency"`
	FirstToken Quantiles `json:"first_token"`
}

// Quantiles holds quantiles of durations, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// TimelineBucket counts the requests that arrived in one second of the measurement.
type TimelineBucket struct {
	Second       int `json:"second"`
	Requests     int `json:"requests"`
	OnTime       int `json:"whole"`
	Refused      int `json:"refused"`
	LateOrFailed int `json:"lost"`
	Retries      int `json:"retries"`
}

// RefusalCount is the number of refusals with one code and run state.
type RefusalCount struct {
	Code  contract.Code     `json:"code"`
	Run   contract.RunState `json:"run"`
	Count int               `json:"n"`
}

// Summarise returns the report of a run.
func Summarise(s Scenario, policy string, samples []Sample, stats FleetStats) Report {
	report := Report{
		Scenario: s, Policy: policy, Seconds: s.Duration.Seconds(),
		Stages: stageCosts(samples), RefusalCounts: countRefusals(samples), Timeline: timeline(s, samples), FleetStats: stats,
	}
	report.Total = newGroupReport("all", samples, report.Seconds)
	report.Classes = groupReports(samples, report.Seconds, func(s Sample) string { return s.Class })
	report.Organisations = groupReports(samples, report.Seconds, func(s Sample) string { return s.Organisation })
	var refusals []time.Duration
	for _, s := range samples {
		if s.Outcome == OutcomeRefused {
			refusals = append(refusals, s.Latency)
		}
	}
	report.RefusalLatency = quantilesOf(refusals)
	return report
}

// Class returns the report of a class, or one without requests if there is none of that name.
func (r Report) Class(name string) GroupReport {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return GroupReport{Name: name}
}

// groupReports groups samples by key and returns the reports of the groups in order of their keys.
func groupReports(samples []Sample, seconds float64, key func(Sample) string) []GroupReport {
	groups := make(map[string][]Sample)
	for _, s := range samples {
		groups[key(s)] = append(groups[key(s)], s)
	}
	var reports []GroupReport
	for name, group := range groups {
		reports = append(reports, newGroupReport(name, group, seconds))
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Name < reports[j].Name })
	return reports
}

func newGroupReport(name string, samples []Sample, seconds float64) GroupReport {
	report := GroupReport{Name: name, Requests: len(samples)}
	var latencies, firstTokens []time.Duration
	for _, s := range samples {
		switch s.Outcome {
		case OutcomeOnTime:
			report.OnTime++
			latencies = append(latencies, s.Latency)
		case OutcomeLate:
			report.Late++
		case OutcomeRefused:
			report.Refused++
		default:
			report.Failed++
		}
		if s.Joined {
			report.Joined++
		}
		if s.FirstToken > 0 {
			firstTokens = append(firstTokens, s.FirstToken)
		}
	}
	report.Attainment = ratio(report.OnTime, report.Requests)
	report.Goodput = float64(report.OnTime) / seconds
	report.Latency, report.FirstToken = quantilesOf(latencies), quantilesOf(firstTokens)
	return report
}

// ratio returns part / whole, or 0 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func quantilesOf(durations []time.Duration) Quantiles {
	microseconds := make([]int64, len(durations))
	for i, d := range durations {
		microseconds[i] = d.Microseconds()
	}
	return quantilesOfMicroseconds(microseconds)
}

func quantilesOfMicroseconds(microseconds []int64) Quantiles {
	histogram := hdrhistogram.New(1, maxHistogramDuration.Microseconds(), histogramDigits)
	for _, v := range microseconds {
		_ = histogram.RecordValue(min(max(v, 1), maxHistogramDuration.Microseconds()))
	}
	return Quantiles{
		Count: histogram.TotalCount(), P50: histogram.ValueAtQuantile(50), P95: histogram.ValueAtQuantile(95),
		P99: histogram.ValueAtQuantile(99), Max: histogram.Max(),
	}
}

// timeline counts the samples by the second of their arrival.
func timeline(s Scenario, samples []Sample) []TimelineBucket {
	buckets := make([]TimelineBucket, int((s.Duration+timelineStep-1)/timelineStep))
	for i := range buckets {
		buckets[i].Second = i
	}
	for _, sample := range samples {
		i := int(sample.At / timelineStep)
		if i < 0 || i >= len(buckets) {
			continue
		}
		buckets[i].Requests++
		for _, stage := range sample.Stages {
			buckets[i].Retries += stage.Retries
		}
		switch sample.Outcome {
		case OutcomeOnTime:
			buckets[i].OnTime++
		case OutcomeRefused:
			buckets[i].Refused++
		default:
			buckets[i].LateOrFailed++
		}
	}
	return buckets
}

// countRefusals counts the refusals by code and run state, most frequent first.
func countRefusals(samples []Sample) []RefusalCount {
	counts := make(map[RefusalCount]int)
	for _, s := range samples {
		if s.Outcome == OutcomeRefused {
			counts[RefusalCount{Code: s.Code, Run: s.Run}]++
		}
	}
	var sorted []RefusalCount
	for key, n := range counts {
		key.Count = n
		sorted = append(sorted, key)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Count != sorted[j].Count {
			return sorted[i].Count > sorted[j].Count
		}
		return sorted[i].Code < sorted[j].Code
	})
	return sorted
}

package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azurelead/azurelead/contract"
)

const (
	// longest is the longest time that histograms tell apart.
	longest = 10 * time.Minute
	// digits are the significant digits of histograms.
	digits = 3
	// slot is the width of the timeline's steps.
	slot = time.Second
)

// Report is what one run measured.
type Report struct {
	Scenario Scenario `json:"scenario"`
	// Policy names the policies under which the fleet ran.
	Policy string `json:"policy"`
	// Seconds is the measured time.
	Seconds float64       `json:"seconds"`
	Total   GroupReport   `json:"total"`
	Classes []GroupReport `json:"classes"`
	// Organisations are reported as classes are.
	Organisations []GroupReport `json:"organisations"`
	Stages        []StageCost   `json:"stages"`
	// RefusalLatency are the times to answer a refusal.
	RefusalLatency Quantiles        `json:"refusals"`
	RefusalCounts  []RefusalCount   `json:"codes"`
	Timeline       []TimelineBucket `json:"timeline"`
	FleetStats     FleetStats       `json:"truth"`
}

// GroupReport is the service that one class or organisation had.
type GroupReport struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	OnTime   int    `json:"whole"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"broken"`
	Joined   int    `json:"joined"`
	// Attainment is the share answered whole within the deadline.
	Attainment float64 `json:"attainment"`
	// Goodput is whole answers per second.
	Goodput float64 `json:"goodput"`
	// Latency is of whole answers in time, FirstToken of streams.
	Latency    Quantiles `json:"latency"`
	FirstToken Quantiles `json:"first_token"`
}

// Quantiles are quantiles of durations, in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// TimelineBucket is one step of the timeline, by time of arrival.
type TimelineBucket struct {
	Second       int `json:"second"`
	Requests     int `json:"requests"`
	OnTime       int `json:"whole"`
	Refused      int `json:"refused"`
	LateOrFailed int `json:"lost"` // late or broken
	Retries      int `json:"retries"`
}

// RefusalCount is how often a code came.
type RefusalCount struct {
	Code  contract.Code     `json:"code"`
	Run   contract.RunState `json:"run"`
	Count int               `json:"n"`
}

// Summarise makes the report of a run.
func Summarise(s Scenario, policy string, samples []Sample, truth FleetStats) Report {
	r := Report{
		Scenario: s, Policy: policy, Seconds: s.Duration.Seconds(),
		Stages: costs(samples), RefusalCounts: codes(samples), Timeline: timeline(s, samples), FleetStats: truth,
	}
	r.Total = classReport("all", samples, r.Seconds)
	r.Classes = grouped(samples, r.Seconds, func(s Sample) string { return s.Class })
	r.Organisations = grouped(samples, r.Seconds, func(s Sample) string { return s.Organisation })
	var refusals []time.Duration
	for _, s := range samples {
		if s.Outcome == OutcomeRefused {
			refusals = append(refusals, s.Latency)
		}
	}
	r.RefusalLatency = timesOf(refusals)
	return r
}

// Class returns the report of a class, or an empty one.
func (r Report) Class(name string) GroupReport {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return GroupReport{Name: name}
}

func grouped(samples []Sample, seconds float64, key func(Sample) string) []GroupReport {
	groups := make(map[string][]Sample)
	for _, s := range samples {
		groups[key(s)] = append(groups[key(s)], s)
	}
	var out []GroupReport
	for name, g := range groups {
		out = append(out, classReport(name, g, seconds))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func classReport(name string, samples []Sample, seconds float64) GroupReport {
	c := GroupReport{Name: name, Requests: len(samples)}
	var latencies, first []time.Duration
	for _, s := range samples {
		switch s.Outcome {
		case OutcomeOnTime:
			c.OnTime++
			latencies = append(latencies, s.Latency)
		case OutcomeLate:
			c.Late++
		case OutcomeRefused:
			c.Refused++
		default:
			c.Failed++
		}
		if s.Joined {
			c.Joined++
		}
		if s.FirstToken > 0 {
			first = append(first, s.FirstToken)
		}
	}
	c.Attainment = share(c.OnTime, c.Requests)
	c.Goodput = float64(c.OnTime) / seconds
	c.Latency, c.FirstToken = timesOf(latencies), timesOf(first)
	return c
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func timesOf(durations []time.Duration) Quantiles {
	us := make([]int64, len(durations))
	for i, d := range durations {
		us[i] = d.Microseconds()
	}
	return timesOfMicroseconds(us)
}

func timesOfMicroseconds(us []int64) Quantiles {
	h := hdrhistogram.New(1, longest.Microseconds(), digits)
	for _, v := range us {
		_ = h.RecordValue(min(max(v, 1), longest.Microseconds()))
	}
	return Quantiles{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

func timeline(s Scenario, samples []Sample) []TimelineBucket {
	slots := make([]TimelineBucket, int((s.Duration+slot-1)/slot))
	for i := range slots {
		slots[i].Second = i
	}
	for _, sample := range samples {
		i := int(sample.At / slot)
		if i < 0 || i >= len(slots) {
			continue
		}
		slots[i].Requests++
		for _, stage := range sample.Stages {
			slots[i].Retries += stage.Retries
		}
		switch sample.Outcome {
		case OutcomeOnTime:
			slots[i].OnTime++
		case OutcomeRefused:
			slots[i].Refused++
		default:
			slots[i].LateOrFailed++
		}
	}
	return slots
}

func codes(samples []Sample) []RefusalCount {
	counts := make(map[RefusalCount]int)
	for _, s := range samples {
		if s.Outcome == OutcomeRefused {
			counts[RefusalCount{Code: s.Code, Run: s.Run}]++
		}
	}
	var out []RefusalCount
	for c, n := range counts {
		c.Count = n
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Count != out[j].Count {
			return out[i].Count > out[j].Count
		}
		return out[i].Code < out[j].Code
	})
	return out
}

package load

import (
	"math/rand/v2"
	"sort"
	"time"
)

// maxDeviceDelay bounds the delay of further devices that ask the same question as the first.
const maxDeviceDelay = 100 * time.Millisecond

// Arrival is a scheduled request.
type Arrival struct {
	// At is the time since the start of the warm-up.
	At time.Duration
	// Class is the index of the class in the scenario.
	Class        int
	Organisation string
	// QuestionNumber identifies the question within its class.
	QuestionNumber int
	// Index identifies the arrival by the order in which arrivals were drawn.
	Index int
}

// Arrivals draws all arrivals of a scenario and returns them in order of time.
func Arrivals(s Scenario) []Arrival {
	g := &arrivalGenerator{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0))}
	end := s.WarmUp + s.Duration
	peak := g.maxBurstFactor()
	for at := g.nextGap(peak); at < end; at += g.nextGap(peak) {
		g.addCandidate(at, peak)
	}
	sort.SliceStable(g.arrivals, func(i, j int) bool { return g.arrivals[i].At < g.arrivals[j].At })
	return g.arrivals
}

// arrivalGenerator draws a Poisson process of variable rate by thinning one of the highest rate.
type arrivalGenerator struct {
	scenario        Scenario
	rng             *rand.Rand
	arrivals        []Arrival
	uniqueQuestions int
}

// nextGap draws the time to the next candidate. A candidate produces as many requests as its class
// has devices.
func (g *arrivalGenerator) nextGap(peak float64) time.Duration {
	shares, weights := 0.0, 0.0
	for _, class := range g.scenario.Classes {
		shares += class.Share
		weights += class.weight()
	}
	rate := g.scenario.Rate * peak * weights / shares
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

// maxBurstFactor returns the largest rate factor of all bursts, and at least 1.
func (g *arrivalGenerator) maxBurstFactor() float64 {
	peak := 1.0
	for _, burst := range g.scenario.Bursts {
		peak = max(peak, burst.Factor)
	}
	return peak
}

// addCandidate draws one candidate of the thinned process with all its devices, and accepts or
// discards it. Accepted and discarded candidates consume the same random numbers, so that a change
// of one class or burst leaves the arrivals of the others unchanged.
func (g *arrivalGenerator) addCandidate(at time.Duration, peak float64) {
	class := g.pickClass()
	c := g.scenario.Classes[class]
	organisation := g.pickOrganisation(c.Organisations)
	question := g.pickQuestion(c)
	accepted := g.rng.Float64()*peak < g.burstFactor(at-g.scenario.WarmUp, organisation)
	for device := range max(c.Devices, 1) {
		delay := time.Duration(0)
		if device > 0 {
			delay = time.Duration(g.rng.Int64N(int64(maxDeviceDelay)))
		}
		if !accepted {
			continue
		}
		g.arrivals = append(g.arrivals, Arrival{
			At: at + delay, Class: class, Organisation: organisation,
			QuestionNumber: question, Index: len(g.arrivals),
		})
	}
}

func (g *arrivalGenerator) pickClass() int {
	total := 0.0
	for _, class := range g.scenario.Classes {
		total += class.weight()
	}
	remaining := g.rng.Float64() * total
	for i, class := range g.scenario.Classes {
		if remaining -= class.weight(); remaining < 0 {
			return i
		}
	}
	return len(g.scenario.Classes) - 1
}

// weight returns the relative frequency with which candidates of the class are drawn. The share
// counts requests, so it is divided by the number of requests that each candidate produces.
func (c Class) weight() float64 { return c.Share / float64(max(c.Devices, 1)) }

func (g *arrivalGenerator) pickOrganisation(weights map[string]float64) string {
	names := make([]string, 0, len(weights))
	total := 0.0
	for name, weight := range weights {
		names = append(names, name)
		total += weight
	}
	sort.Strings(names)
	remaining := g.rng.Float64() * total
	for _, name := range names {
		if remaining -= weights[name]; remaining < 0 {
			return name
		}
	}
	return names[len(names)-1]
}

func (g *arrivalGenerator) pickQuestion(c Class) int {
	number := g.rng.IntN(max(c.Distinct, 1))
	if c.Distinct == 0 {
		g.uniqueQuestions++
		return g.uniqueQuestions
	}
	return number
}

// burstFactor returns the largest factor of the bursts that apply to the organisation at a time
// since the end of the warm-up, and at least 1.
func (g *arrivalGenerator) burstFactor(at time.Duration, organisation string) float64 {
	factor := 1.0
	for _, burst := range g.scenario.Bursts {
		if at < burst.At || at >= burst.At+burst.For || burst.Organisation != "" && burst.Organisation != organisation {
			continue
		}
		factor = max(factor, burst.Factor)
	}
	return factor
}

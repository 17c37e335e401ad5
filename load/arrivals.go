package load

import (
	"math/rand/v2"
	"sort"
	"time"
)

// deviceSpread is the time within which devices ask the same question.
const deviceSpread = 100 * time.Millisecond

// Arrival is one request to come.
type Arrival struct {
	// At counts from the start of the warm-up.
	At           time.Duration
	Class        int
	Organisation string
	// QuestionNumber numbers the question within its class.
	QuestionNumber int
	// Index names the arrival, in the order in which arrivals were drawn.
	Index int
}

// Arrivals draws all arrivals of a scenario, ordered by time.
func Arrivals(s Scenario) []Arrival {
	d := &drawer{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0))}
	end := s.WarmUp + s.Duration
	peak := d.peakFactor()
	for at := d.gap(peak); at < end; at += d.gap(peak) {
		d.candidate(at, peak)
	}
	sort.SliceStable(d.drawn, func(i, j int) bool { return d.drawn[i].At < d.drawn[j].At })
	return d.drawn
}

// drawer draws a Poisson process by thinning one of the highest rate.
type drawer struct {
	scenario Scenario
	rng      *rand.Rand
	drawn    []Arrival
	unique   int
}

// gap draws the time to the next candidate; one candidate brings as many
// requests as its class has devices.
func (d *drawer) gap(peak float64) time.Duration {
	shares, weights := 0.0, 0.0
	for _, c := range d.scenario.Classes {
		shares += c.Share
		weights += c.weight()
	}
	rate := d.scenario.Rate * peak * weights / shares
	return time.Duration(d.rng.ExpFloat64() / rate * float64(time.Second))
}

func (d *drawer) peakFactor() float64 {
	peak := 1.0
	for _, b := range d.scenario.Bursts {
		peak = max(peak, b.Factor)
	}
	return peak
}

// candidate takes one arrival of the thinned process, with all its devices.
// Every candidate draws the same numbers, kept or not, so that a change of one
// class or burst leaves the others as they were.
func (d *drawer) candidate(at time.Duration, peak float64) {
	class := d.pickClass()
	c := d.scenario.Classes[class]
	organisation := d.pickOrganisation(c.Organisations)
	question := d.pickQuestion(c)
	keep := d.rng.Float64()*peak < d.factor(at-d.scenario.WarmUp, organisation)
	for device := range max(c.Devices, 1) {
		late := time.Duration(0)
		if device > 0 {
			late = time.Duration(d.rng.Int64N(int64(deviceSpread)))
		}
		if !keep {
			continue
		}
		d.drawn = append(d.drawn, Arrival{
			At: at + late, Class: class, Organisation: organisation,
			QuestionNumber: question, Index: len(d.drawn),
		})
	}
}

func (d *drawer) pickClass() int {
	sum := 0.0
	for _, c := range d.scenario.Classes {
		sum += c.weight()
	}
	x := d.rng.Float64() * sum
	for i, c := range d.scenario.Classes {
		if x -= c.weight(); x < 0 {
			return i
		}
	}
	return len(d.scenario.Classes) - 1
}

// weight is how often the class is drawn: one whose questions come from several
// devices is drawn as much less often, so that shares are of requests.
func (c Class) weight() float64 { return c.Share / float64(max(c.Devices, 1)) }

func (d *drawer) pickOrganisation(weights map[string]float64) string {
	names := make([]string, 0, len(weights))
	sum := 0.0
	for name, w := range weights {
		names = append(names, name)
		sum += w
	}
	sort.Strings(names)
	x := d.rng.Float64() * sum
	for _, name := range names {
		if x -= weights[name]; x < 0 {
			return name
		}
	}
	return names[len(names)-1]
}

func (d *drawer) pickQuestion(c Class) int {
	n := d.rng.IntN(max(c.Distinct, 1))
	if c.Distinct == 0 {
		d.unique++
		return d.unique
	}
	return n
}

// factor is the product of the bursts that concern the organisation now.
func (d *drawer) factor(at time.Duration, organisation string) float64 {
	f := 1.0
	for _, b := range d.scenario.Bursts {
		if at < b.At || at >= b.At+b.For || b.Organisation != "" && b.Organisation != organisation {
			continue
		}
		f = max(f, b.Factor)
	}
	return f
}

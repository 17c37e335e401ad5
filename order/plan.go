package order

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PlanInput is the input of one planning round: the engines of one pool in one
// data centre, the desired models, and the number of loads that may start.
type PlanInput struct {
	Desired []DesiredModel
	Engines []Report
	// LoadBudget is the number of further loads that the weight store's rate allows now.
	LoadBudget int
}

// Plan returns the orders to issue now, at most in.LoadBudget of them and at most one
// for each engine. It is a pure function of its input: the same reports result in the
// same orders, so that a new holder of the lease continues where the previous one
// stopped, and engines do not flap between two holders.
func Plan(in PlanInput) []Order {
	p := newPlanner(in)
	for _, d := range p.in.Desired {
		p.fillCopies(d)
	}
	for _, d := range p.in.Desired {
		p.loadAdapters(d)
	}
	return p.orders
}

type planner struct {
	in             PlanInput
	unavailable    map[string]bool   // instances that are busy or get an order in this round
	requiredCopies map[targetKey]int // number of copies needed of each target
	orders         []Order
}

func newPlanner(in PlanInput) *planner {
	p := &planner{in: in, unavailable: map[string]bool{}, requiredCopies: map[targetKey]int{}}
	p.in.Engines = slices.DeleteFunc(slices.Clone(in.Engines), func(r Report) bool { return r.Leaving })
	for _, r := range p.in.Engines {
		p.unavailable[r.Instance] = r.busy()
	}
	for _, d := range in.Desired {
		p.requiredCopies[d.Target.key()] = p.copiesNeeded(d)
	}
	return p
}

// targetKey identifies a target regardless of its adapters.
type targetKey struct {
	model   string
	version string
	role    Role
}

func (t Target) key() targetKey { return targetKey{model: t.Model, version: t.Version, role: t.Role} }

// copiesNeeded returns the number of engines that the desired model needs to keep its
// current load below the target utilisation, within the bounds of the settings.
func (p *planner) copiesNeeded(d DesiredModel) int {
	need := d.MinCopies
	if d.TargetUtilisation > 0 {
		need = max(need, p.copiesForLoad(d))
	}
	if d.MaxCopies > 0 {
		need = min(need, d.MaxCopies)
	}
	return need
}

// copiesForLoad returns the number of copies that the model's load requires. It counts
// the load of all versions of the model, since an old version's load moves to the new
// version. The limit of a cold engine is not its capacity, so the capacity of a copy is
// computed from warm engines only.
func (p *planner) copiesForLoad(d DesiredModel) int {
	inFlight, limit, warm := 0, 0, 0
	for _, r := range p.in.Engines {
		if r.Serving.Model != d.Target.Model {
			continue
		}
		inFlight += r.InFlight
		if !r.Cold && !r.busy() {
			limit += r.Limit
			warm++
		}
	}
	if warm == 0 || limit == 0 {
		return 0
	}
	slotsPerCopy := float64(limit) / float64(warm) * float64(d.TargetUtilisation) / 100
	need := int(float64(inFlight) / slotsPerCopy)
	if float64(need)*slotsPerCopy < float64(inFlight) {
		need++
	}
	return need
}

// fillCopies plans loads until the desired model has the required number of copies.
func (p *planner) fillCopies(d DesiredModel) {
	copies := p.countCopies(d.Target)
	for copies < p.requiredCopies[d.Target.key()] && len(p.orders) < p.in.LoadBudget {
		engine, ok := p.cheapestEngine(d)
		if !ok {
			return
		}
		kind := LoadModel
		if engine.Serving.sameWeights(d.Target) {
			kind = ChangeRole
		}
		p.add(engine, kind, d.Target, "")
		copies++
	}
}

// countCopies returns the number of engines that serve the target or are changing to it.
func (p *planner) countCopies(t Target) int {
	n := 0
	for _, r := range p.in.Engines {
		if r.target().key() == t.key() {
			n++
		}
	}
	return n
}

// cheapestEngine returns the engine with the lowest cost of changing it to the desired
// model. The cost is lowest for an engine without a model, then one that needs only
// another role, then one whose model is not desired, then one with an old version, then
// a surplus copy. Among engines of equal cost, it prefers the one with the fewest calls
// in flight.
func (p *planner) cheapestEngine(d DesiredModel) (Report, bool) {
	var candidates []Report
	for _, r := range p.in.Engines {
		if !p.unavailable[r.Instance] && p.mayChange(r, d) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return Report{}, false
	}
	return slices.MinFunc(candidates, func(a, b Report) int {
		return cmp.Or(
			cmp.Compare(p.changeCost(a, d), p.changeCost(b, d)),
			cmp.Compare(a.InFlight, b.InFlight),
			cmp.Compare(xxhash.Sum64String(a.Instance), xxhash.Sum64String(b.Instance)),
		)
	}), true
}

// The costs of changing an engine, lowest first.
const (
	costEmpty = iota
	costRoleChange
	costUnwantedModel
	costOldVersion
	costSurplusCopy
)

func (p *planner) changeCost(r Report, d DesiredModel) int {
	switch {
	case r.Serving.Model == "":
		return costEmpty
	case r.Serving.sameWeights(d.Target):
		return costRoleChange
	case p.requiredCopies[r.Serving.key()] == 0 && !p.modelDesired(r.Serving.Model):
		return costUnwantedModel
	case p.requiredCopies[r.Serving.key()] == 0:
		return costOldVersion
	}
	return costSurplusCopy
}

func (p *planner) modelDesired(model string) bool {
	return slices.ContainsFunc(p.in.Desired, func(d DesiredModel) bool { return d.Target.Model == model })
}

// mayChange reports whether enough copies of what the engine serves remain after it is
// changed. A required copy is never changed, and a copy of an old version stays until
// copies of the new version accept its load.
func (p *planner) mayChange(r Report, d DesiredModel) bool {
	if r.Serving.Model == "" {
		return true
	}
	if r.Serving.key() == d.Target.key() {
		return false
	}
	if p.requiredCopies[r.Serving.key()] > 0 && p.availableCopies(r.Serving) <= p.requiredCopies[r.Serving.key()] {
		return false
	}
	return !p.modelDesired(r.Serving.Model) || p.mayLoseCopy(r)
}

// availableCopies returns the number of engines that serve the target, are not busy and
// get no order in this round.
func (p *planner) availableCopies(t Target) int {
	n := 0
	for _, r := range p.in.Engines {
		if r.Serving.key() == t.key() && !p.unavailable[r.Instance] {
			n++
		}
	}
	return n
}

// mayLoseCopy reports whether the model that r serves can do without r: at least one
// other copy accepts load, and at most one of the required copies is missing. The only
// engine of a pool may always be changed, since there is no other way to change it.
func (p *planner) mayLoseCopy(r Report) bool {
	if len(p.in.Engines) == 1 {
		return true
	}
	required := 0
	for _, d := range p.in.Desired {
		if d.Target.Model == r.Serving.Model {
			required += p.requiredCopies[d.Target.key()]
		}
	}
	accepting := 0
	for _, o := range p.in.Engines {
		if o.Instance != r.Instance && o.Serving.Model == r.Serving.Model && o.acceptsLoad() && !p.unavailable[o.Instance] {
			accepting++
		}
	}
	// Engines that have disappeared must not block the roll-out of the others.
	required = min(required, len(p.in.Engines))
	return accepting >= max(required-1, 1)
}

// loadAdapters plans loads of missing adapters, at most one for each engine and round.
func (p *planner) loadAdapters(d DesiredModel) {
	for _, r := range p.in.Engines {
		if p.unavailable[r.Instance] || r.Serving.key() != d.Target.key() {
			continue
		}
		for _, a := range d.Target.Adapters {
			if !r.Serving.hasAdapter(a) && len(p.orders) < p.in.LoadBudget {
				p.add(r, LoadAdapter, d.Target, a)
				break
			}
		}
	}
}

func (p *planner) add(r Report, k Kind, t Target, adapter string) {
	p.unavailable[r.Instance] = true
	p.orders = append(p.orders, Order{
		Instance: r.Instance, AgentBoot: r.AgentBoot, Kind: k, Target: t, Adapter: adapter,
	})
}

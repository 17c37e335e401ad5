package order

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PlanInput is what one planning round looks at: the engines of one pool in one
// data centre, what is wanted of them, and how many loads may start.
type PlanInput struct {
	Desired []DesiredModel
	Engines []Report
	// LoadBudget is how many more loads the weight store's rate allows now.
	LoadBudget int
}

// Plan returns the changes to start now, at most Loads of them and at most one
// for each engine. It is a pure function of its input: the same reports give
// the same changes, so that a successor continues where its predecessor
// stopped, and engines do not flap between two holders.
func Plan(in PlanInput) []Order {
	p := newPlanner(in)
	for _, w := range p.in.Desired {
		p.fill(w)
	}
	for _, w := range p.in.Desired {
		p.adapt(w)
	}
	return p.orders
}

type planner struct {
	in     PlanInput
	taken  map[string]bool   // instances that have an order or carry one out
	want   map[targetKey]int // copies wanted
	orders []Order
}

func newPlanner(in PlanInput) *planner {
	p := &planner{in: in, taken: map[string]bool{}, want: map[targetKey]int{}}
	p.in.Engines = slices.DeleteFunc(slices.Clone(in.Engines), func(r Report) bool { return r.Leaving })
	for _, r := range p.in.Engines {
		p.taken[r.Instance] = r.busy()
	}
	for _, w := range in.Desired {
		p.want[w.Target.key()] = p.copies(w)
	}
	return p
}

// targetKey identifies a target apart from its adapters.
type targetKey struct {
	model   string
	version string
	role    Role
}

func (t Target) key() targetKey { return targetKey{model: t.Model, version: t.Version, role: t.Role} }

// copies returns how many engines the desired model needs: enough to keep the model's
// present load below the target utilisation, within the operator's bounds.
func (p *planner) copies(w DesiredModel) int {
	need := w.MinCopies
	if w.TargetUtilisation > 0 {
		need = max(need, p.copiesForDemand(w))
	}
	if w.MaxCopies > 0 {
		need = min(need, w.MaxCopies)
	}
	return need
}

// copiesForDemand counts engines of every version of the model, since an old
// version's load comes to the new one. Cold engines' limits are not their
// capacity, so only warm ones tell what a copy bears.
func (p *planner) copiesForDemand(w DesiredModel) int {
	inFlight, limit, warm := 0, 0, 0
	for _, r := range p.in.Engines {
		if r.Serving.Model != w.Target.Model {
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
	perCopy := float64(limit) / float64(warm) * float64(w.TargetUtilisation) / 100
	need := int(float64(inFlight) / perCopy)
	if float64(need)*perCopy < float64(inFlight) {
		need++
	}
	return need
}

// fill starts loads until the desired model has its copies.
func (p *planner) fill(w DesiredModel) {
	have := p.have(w.Target)
	for have < p.want[w.Target.key()] && len(p.orders) < p.in.LoadBudget {
		victim, ok := p.pick(w)
		if !ok {
			return
		}
		kind := LoadModel
		if victim.Serving.sameWeights(w.Target) {
			kind = ChangeRole
		}
		p.add(victim, kind, w.Target, "")
		have++
	}
}

// have counts the engines that serve the target or will do so.
func (p *planner) have(t Target) int {
	n := 0
	for _, r := range p.in.Engines {
		if r.target().key() == t.key() {
			n++
		}
	}
	return n
}

// pick returns the engine that costs least to change: an empty one, then one
// in the wrong role, then one that serves what nobody wants, then one that
// serves more than is wanted.
func (p *planner) pick(w DesiredModel) (Report, bool) {
	var candidates []Report
	for _, r := range p.in.Engines {
		if !p.taken[r.Instance] && p.mayTake(r, w) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return Report{}, false
	}
	return slices.MinFunc(candidates, func(a, b Report) int {
		return cmp.Or(
			cmp.Compare(p.loss(a, w), p.loss(b, w)),
			cmp.Compare(a.InFlight, b.InFlight),
			cmp.Compare(xxhash.Sum64String(a.Instance), xxhash.Sum64String(b.Instance)),
		)
	}), true
}

// The loss of changing an engine, lowest first.
const (
	lossNone = iota
	lossRole
	lossUnwanted
	lossOldVersion
	lossSurplus
)

func (p *planner) loss(r Report, w DesiredModel) int {
	switch {
	case r.Serving.Model == "":
		return lossNone
	case r.Serving.sameWeights(w.Target):
		return lossRole
	case p.want[r.Serving.key()] == 0 && !p.modelWanted(r.Serving.Model):
		return lossUnwanted
	case p.want[r.Serving.key()] == 0:
		return lossOldVersion
	}
	return lossSurplus
}

func (p *planner) modelWanted(model string) bool {
	return slices.ContainsFunc(p.in.Desired, func(w DesiredModel) bool { return w.Target.Model == model })
}

// mayTake reports whether changing the engine leaves enough copies of what it
// serves now: a wanted copy is never taken, and a copy of an old version stays
// until the copies of the new version bear its load.
func (p *planner) mayTake(r Report, w DesiredModel) bool {
	if r.Serving.Model == "" {
		return true
	}
	if r.Serving.key() == w.Target.key() {
		return false
	}
	if p.want[r.Serving.key()] > 0 && p.remaining(r.Serving) <= p.want[r.Serving.key()] {
		return false
	}
	return !p.modelWanted(r.Serving.Model) || p.mayGoShort(r)
}

// remaining counts the copies of a target that this round has not taken.
func (p *planner) remaining(t Target) int {
	n := 0
	for _, r := range p.in.Engines {
		if r.Serving.key() == t.key() && !p.taken[r.Instance] {
			n++
		}
	}
	return n
}

// mayGoShort reports whether the model that r serves stays within one copy of
// what is wanted without r. A pool's only engine may go: there is no other way
// to change it.
func (p *planner) mayGoShort(r Report) bool {
	if len(p.in.Engines) == 1 {
		return true
	}
	wanted := 0
	for _, w := range p.in.Desired {
		if w.Target.Model == r.Serving.Model {
			wanted += p.want[w.Target.key()]
		}
	}
	bearing := 0
	for _, o := range p.in.Engines {
		if o.Instance != r.Instance && o.Serving.Model == r.Serving.Model && o.bears() && !p.taken[o.Instance] {
			bearing++
		}
	}
	// Engines that are gone must not hold up the others for ever.
	wanted = min(wanted, len(p.in.Engines))
	return bearing >= max(wanted-1, 1)
}

// adapt loads missing adapters, one for each engine and round.
func (p *planner) adapt(w DesiredModel) {
	for _, r := range p.in.Engines {
		if p.taken[r.Instance] || r.Serving.key() != w.Target.key() {
			continue
		}
		for _, a := range w.Target.Adapters {
			if !r.Serving.hasAdapter(a) && len(p.orders) < p.in.LoadBudget {
				p.add(r, LoadAdapter, w.Target, a)
				break
			}
		}
	}
}

func (p *planner) add(r Report, k Kind, t Target, adapter string) {
	p.taken[r.Instance] = true
	p.orders = append(p.orders, Order{
		Instance: r.Instance, AgentBoot: r.AgentBoot, Kind: k, Target: t, Adapter: adapter,
	})
}

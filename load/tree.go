package load

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"

	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/settings"
)

// The pools of the fleet that a run starts.
const (
	encodePool   = "encoders"
	retrievePool = "retrievers"
	rerankPool   = "rerankers"
	enginePool   = "engines"
	servicePool  = "services"
)

const (
	// rampAnswers is how many good answers raise an agent's limit by one.
	rampAnswers = 2
	// maxDeadline bounds the deadlines of scenarios.
	maxDeadline = 30 * time.Second
	// maxTokens bounds the answers of scenarios.
	maxTokens = 4096
	// defaultColdLimit is what agents take for the limit of a cold endpoint
	// that declares none.
	defaultColdLimit = 4
)

// tree makes the settings of a fleet.
func tree(s Scenario, p Policy) settings.Document {
	deadline, tokens := settings.Duration(maxDeadline), maxTokens
	d := settings.Document{
		Request:       settings.RequestOverrides{MaxDeadline: &deadline, MaxTokens: &tokens},
		Pipelines:     pipelines(),
		Organisations: make(map[string]settings.Organisation),
		DataCentres:   make(map[string]settings.DataCentre),
	}
	if p.RetryPercent > 0 {
		d.Request.RetryPercent = &p.RetryPercent
	}
	if p.Hedge {
		d.Request.Hedge = &p.Hedge
	}
	for _, o := range organisations(s) {
		sum := sha256.Sum256([]byte(tokenOf(o)))
		d.Organisations[o] = settings.Organisation{TokenSHA256: []string{hex.EncodeToString(sum[:])}}
	}
	for i := range s.Fleet.DataCentres {
		d.DataCentres[dataCentre(i)] = settings.DataCentre{Pools: pools(s.Fleet, p)}
	}
	return d
}

// pipelines are those that scenarios may name.
func pipelines() map[string]settings.Pipeline {
	encode := settings.Stage{Name: "encode", Kind: pipeline.Encode, Pool: encodePool}
	retrieve := settings.Stage{Name: "retrieve", Kind: pipeline.Retrieve, Pool: retrievePool}
	rerank := settings.Stage{Name: "rerank", Kind: pipeline.Rerank, Pool: rerankPool}
	generate := settings.Stage{Name: "generate", Kind: pipeline.Generate, Pool: enginePool}
	book := settings.Stage{Name: "book", Kind: pipeline.Service, Pool: servicePool, Operation: "book", Once: true}
	return map[string]settings.Pipeline{
		"answer":  {Stages: []settings.Stage{encode, retrieve, rerank, generate}},
		"quick":   {Stages: []settings.Stage{generate}},
		"book":    {Stages: []settings.Stage{book}},
		"reserve": {Stages: []settings.Stage{encode, retrieve, rerank, generate, book}},
	}
}

func pools(f FleetSpec, p Policy) map[string]settings.Pool {
	return map[string]settings.Pool{
		enginePool:   poolSettings(f.Batch, f.ColdLimit, p),
		encodePool:   poolSettings(f.PoolSlots, 0, p),
		retrievePool: poolSettings(f.PoolSlots, 0, p),
		rerankPool:   poolSettings(f.PoolSlots, 0, p),
		servicePool:  poolSettings(f.ServiceSlots, 0, p),
	}
}

func poolSettings(slots, cold int, p Policy) settings.Pool {
	ramp := rampAnswers
	if cold == 0 {
		cold = min(defaultColdLimit, slots)
	}
	limit, queue := slots, 2*slots
	if p.FixedLimit > 0 {
		limit = slots * p.FixedLimit
		cold = limit
	}
	return settings.Pool{Endpoint: settings.EndpointOverrides{
		ColdLimit: &cold, MaxLimit: &limit, RampAnswers: &ramp, QueueLimit: &queue,
	}}
}

// organisations returns all that the scenario's classes name, sorted.
func organisations(s Scenario) []string {
	seen := make(map[string]bool)
	var names []string
	for _, c := range s.Classes {
		for o := range c.Organisations {
			if !seen[o] {
				seen[o] = true
				names = append(names, o)
			}
		}
	}
	sort.Strings(names)
	return names
}

func tokenOf(organisation string) string { return "token-of-" + organisation }

package load

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"

	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/settings"
)

// Names of the pools of a local fleet.
const (
	encodePool   = "encoders"
	retrievePool = "retrievers"
	rerankPool   = "rerankers"
	enginePool   = "engines"
	servicePool  = "services"
)

const (
	// rampSuccesses is the number of successful answers after which an agent raises its limit by
	// one.
	rampSuccesses = 2
	// maxDeadline is the longest deadline of a request in the fleet's settings.
	maxDeadline = 30 * time.Second
	// maxTokens is the longest answer in the fleet's settings.
	maxTokens = 4096
	// defaultColdLimit is the agents' limit for a cold endpoint if the scenario has none, unless
	// the endpoint has fewer slots.
	defaultColdLimit = 4
)

// settingsDocument returns the settings of a local fleet under a policy.
func settingsDocument(s Scenario, p Policy) settings.Document {
	deadline, tokens := settings.Duration(maxDeadline), maxTokens
	document := settings.Document{
		Request:       settings.RequestOverrides{MaxDeadline: &deadline, MaxTokens: &tokens},
		Pipelines:     pipelines(),
		Organisations: make(map[string]settings.Organisation),
		DataCentres:   make(map[string]settings.DataCentre),
	}
	if p.RetryPercent > 0 {
		document.Request.RetryPercent = &p.RetryPercent
	}
	if p.Hedge {
		document.Request.Hedge = &p.Hedge
	}
	for _, organisation := range organisationNames(s) {
		digest := sha256.Sum256([]byte(bearerToken(organisation)))
		document.Organisations[organisation] = settings.Organisation{TokenSHA256: []string{hex.EncodeToString(digest[:])}}
	}
	for i := range s.Fleet.DataCentres {
		document.DataCentres[dataCentreName(i)] = settings.DataCentre{Pools: pools(s.Fleet, p)}
	}
	return document
}

// pipelines returns the pipelines that the classes of a scenario can use.
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

// pools returns the settings of every pool of a data centre.
func pools(fleet FleetSpec, p Policy) map[string]settings.Pool {
	return map[string]settings.Pool{
		enginePool:   poolSettings(fleet.Batch, fleet.ColdLimit, p),
		encodePool:   poolSettings(fleet.PoolSlots, 0, p),
		retrievePool: poolSettings(fleet.PoolSlots, 0, p),
		rerankPool:   poolSettings(fleet.PoolSlots, 0, p),
		servicePool:  poolSettings(fleet.ServiceSlots, 0, p),
	}
}

// poolSettings returns the settings of a pool whose endpoints have the given number of slots. A
// cold limit of 0 selects defaultColdLimit.
func poolSettings(slots, coldLimit int, p Policy) settings.Pool {
	successes := rampSuccesses
	if coldLimit == 0 {
		coldLimit = min(defaultColdLimit, slots)
	}
	limit, queueLimit := slots, 2*slots
	if p.FixedLimit > 0 {
		limit = slots * p.FixedLimit
		coldLimit = limit
	}
	return settings.Pool{Endpoint: settings.EndpointOverrides{
		ColdLimit: &coldLimit, MaxLimit: &limit, RampAnswers: &successes, QueueLimit: &queueLimit,
	}}
}

// organisationNames returns the sorted names of all organisations in the scenario's classes.
func organisationNames(s Scenario) []string {
	seen := make(map[string]bool)
	var names []string
	for _, c := range s.Classes {
		for organisation := range c.Organisations {
			if !seen[organisation] {
				seen[organisation] = true
				names = append(names, organisation)
			}
		}
	}
	sort.Strings(names)
	return names
}

func bearerToken(organisation string) string { return "token-of-" + organisation }

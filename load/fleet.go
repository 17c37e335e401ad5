package load

import (
	"cmp"
	"time"
)

// FleetSpec describes the fleet that a run starts in its own process.
type FleetSpec struct {
	DataCentres int `yaml:"data_centres" json:"data_centres" validate:"min=1,max=18"`
	Entries     int `yaml:"entries" json:"entries" validate:"min=1,max=16"`
	// Engines, Encoders, Retrievers, Rerankers and Services are the numbers of instances in each
	// data centre.
	Engines    int `yaml:"engines" json:"engines" validate:"min=1,max=64"`
	Encoders   int `yaml:"encoders" json:"encoders" validate:"min=1,max=64"`
	Retrievers int `yaml:"retrievers" json:"retrievers" validate:"min=1,max=64"`
	Rerankers  int `yaml:"rerankers" json:"rerankers" validate:"min=1,max=64"`
	Services   int `yaml:"services" json:"services" validate:"min=1,max=64"`
	// Batch is the largest number of sequences that an engine decodes together.
	Batch int `yaml:"batch" json:"batch" validate:"min=1,max=256"`
	// Step is the duration of a decoding step, PerSequence its increase for each running sequence,
	// and Prefill its increase for each uncached prompt token that joins the batch.
	Step        time.Duration `yaml:"step" json:"step_ns" validate:"gt=0"`
	PerSequence time.Duration `yaml:"per_sequence" json:"per_sequence_ns" validate:"gte=0"`
	Prefill     time.Duration `yaml:"prefill" json:"prefill_ns" validate:"gte=0"`
	// PoolTime is the duration of a call to an encoder, retriever or reranker, and PoolSlots the
	// number of calls that each of them runs concurrently.
	PoolTime  time.Duration `yaml:"pool_time" json:"pool_time_ns" validate:"gt=0"`
	PoolSlots int           `yaml:"pool_slots" json:"pool_slots" validate:"min=1"`
	// ServiceTime and ServiceSlots are the same for application services.
	ServiceTime  time.Duration `yaml:"service_time" json:"service_time_ns" validate:"gt=0"`
	ServiceSlots int           `yaml:"service_slots" json:"service_slots" validate:"min=1"`
	// Spread is the variation of endpoint speed: each takes up to 1 + Spread times as long as the
	// fastest.
	Spread float64 `yaml:"spread" json:"spread" validate:"gte=0,lte=10"`
	// ColdLimit, ColdAnswers and ColdSlowdown describe the cold start of engines: the number of
	// concurrent calls above which a cold engine crashes, the number of answers after which it is
	// warm, and the factor on the duration of its calls. A ColdLimit of 0 starts them warm.
	ColdLimit    int     `yaml:"cold_limit" json:"cold_limit" validate:"min=0"`
	ColdAnswers  int     `yaml:"cold_answers" json:"cold_answers" validate:"min=0"`
	ColdSlowdown float64 `yaml:"cold_slowdown" json:"cold_slowdown" validate:"gte=0"`
	// DownFor is how long a crashed endpoint refuses connections.
	DownFor time.Duration `yaml:"down_for" json:"down_for_ns" validate:"gte=0"`
}

// Defaults of FleetSpec: four data centres with twelve engines in total.
const (
	defaultDataCentres  = 4
	defaultEntries      = 3
	defaultEngines      = 3
	defaultServices     = 2
	defaultBatch        = 8
	defaultStep         = 10 * time.Millisecond
	defaultPerSequence  = time.Millisecond
	defaultPrefill      = 20 * time.Microsecond
	defaultPoolTime     = 10 * time.Millisecond
	defaultPoolSlots    = 8
	defaultServiceTime  = 20 * time.Millisecond
	defaultServiceSlots = 8
	defaultDownFor      = time.Second
)

func (f *FleetSpec) setDefaults() {
	f.DataCentres = cmp.Or(f.DataCentres, defaultDataCentres)
	f.Entries = cmp.Or(f.Entries, defaultEntries)
	f.Engines = cmp.Or(f.Engines, defaultEngines)
	f.Encoders = cmp.Or(f.Encoders, 1)
	f.Retrievers = cmp.Or(f.Retrievers, 1)
	f.Rerankers = cmp.Or(f.Rerankers, 1)
	f.Services = cmp.Or(f.Services, defaultServices)
	f.Batch = cmp.Or(f.Batch, defaultBatch)
	f.Step = cmp.Or(f.Step, defaultStep)
	f.PerSequence = cmp.Or(f.PerSequence, defaultPerSequence)
	f.Prefill = cmp.Or(f.Prefill, defaultPrefill)
	f.PoolTime = cmp.Or(f.PoolTime, defaultPoolTime)
	f.PoolSlots = cmp.Or(f.PoolSlots, defaultPoolSlots)
	f.ServiceTime = cmp.Or(f.ServiceTime, defaultServiceTime)
	f.ServiceSlots = cmp.Or(f.ServiceSlots, defaultServiceSlots)
	f.DownFor = cmp.Or(f.DownFor, defaultDownFor)
}

package standin

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Default values of EngineOptions.
const (
	DefaultBatchSize   = 8
	DefaultCacheBlocks = 4096
	DefaultStep        = 4 * time.Millisecond
	DefaultPerSequence = 200 * time.Microsecond
	DefaultPrefill     = 5 * time.Microsecond
)

const (
	// maxResumableGenerations is the number of recent generations that an engine keeps.
	maxResumableGenerations = 1024
	// maxTokensPerCall is the highest max_tokens of a call.
	maxTokensPerCall = 32768
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	StepTiming StepTiming
	// BatchSize is the maximum number of sequences in the batch.
	BatchSize int
	// QueueLimit is the maximum number of queued sequences; further calls are
	// refused.
	QueueLimit int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	ColdStart   ColdStart
	// DownFor is how long the engine refuses connections after a crash.
	DownFor time.Duration
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse orders with a stale fencing number.
	ChecksFence bool
	// LoadTime is the duration of an order to load a model, adapter or version.
	LoadTime time.Duration
	// Models are the models that the engine serves; if empty, it serves any
	// model.
	Models []string
}

func (o EngineOptions) withDefaults() EngineOptions {
	if o.StepTiming == (StepTiming{}) {
		o.StepTiming = StepTiming{Step: DefaultStep, PerSequence: DefaultPerSequence, Prefill: DefaultPrefill}
	}
	if o.BatchSize <= 0 {
		o.BatchSize = DefaultBatchSize
	}
	if o.CacheBlocks <= 0 {
		o.CacheBlocks = DefaultCacheBlocks
	}
	return o
}

// Engine simulates a model engine with continuous batching.
type Engine struct {
	*host
	options     EngineOptions
	warmUp      *warmUp
	batch       *batch
	orders      *orders
	attemptRuns *runCounter
	load        lagged[Load]
	faults      engineFaults
	generations *lru.Cache[string, generation]
}

// generation is the state of a call that an engine keeps to resume it.
type generation struct {
	prompt string
	answer answer
}

// NewEngine returns an engine, with defaults for the batch options that o leaves
// out.
func NewEngine(o EngineOptions) *Engine {
	o = o.withDefaults()
	generations, err := lru.New[string, generation](maxResumableGenerations)
	if err != nil {
		panic(err) // cannot happen: the size is positive
	}
	e := &Engine{
		host:        newHost(o.DownFor),
		options:     o,
		warmUp:      newWarmUp(o.ColdStart),
		attemptRuns: newRunCounter(),
		load:        lagged[Load]{lag: o.LoadLag},
		generations: generations,
	}
	e.orders = newOrders(o.ChecksFence, o.LoadTime, e.warmUp.reset)
	e.batch = newBatch(o.StepTiming, o.BatchSize, o.CacheBlocks, e.slowdown)
	e.onRestart = e.clearState
	e.handler = e.routes()
	return e
}

func (e *Engine) routes() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	m.HandleFunc("/orders", e.orders.postOrder).Methods(http.MethodPost)
	m.HandleFunc("/orders", e.orders.getServing).Methods(http.MethodGet)
	m.HandleFunc("/healthz", e.health).Methods(http.MethodGet)
	m.HandleFunc("/load", e.reportLoad).Methods(http.MethodGet)
	m.HandleFunc("/control/faults", e.postFaults).Methods(http.MethodPost)
	m.HandleFunc("/control/stats", e.getStats).Methods(http.MethodGet)
	m.HandleFunc("/control/runs", e.getRuns).Methods(http.MethodGet)
	return m
}

func (e *Engine) slowdown() float64 { return e.warmUp.slowdown() * e.faults.slowFactor() }

// clearState resets the state that a process loses when it restarts.
func (e *Engine) clearState() {
	e.warmUp.reset()
	e.batch.purgeCache()
	e.generations.Purge()
}

// MakeCold makes the engine cold without a restart of its process.
func (e *Engine) MakeCold() { e.warmUp.reset() }

// RunsOfAttempt returns the number of runs of the attempt at this engine, without
// resumed streams.
func (e *Engine) RunsOfAttempt(id string) int { return e.attemptRuns.count(id) }

// EngineStats holds the counters of an engine.
type EngineStats struct {
	InFlight int `json:"in_flight"`
	Peak     int `json:"peak"`
	ColdPeak int `json:"cold_peak"`
	Crashes  int `json:"crashes"`
	Refused  int `json:"refused"`
	// Attempts counts the runs per attempt id of the callers.
	Attempts RunCounts  `json:"attempts"`
	Tokens   TokenStats `json:"tokens"`
	Orders   OrderStats `json:"orders"`
}

// TokenStats counts the tokens that an engine processed. Resumed and Cancelled are
// the generated tokens of resumed and of unfinished streams.
type TokenStats struct {
	Prompt    int64 `json:"prompt"`
	Cached    int64 `json:"cached"`
	Generated int64 `json:"generated"`
	Resumed   int64 `json:"resumed"`
	Cancelled int64 `json:"cancelled"`
}

// Stats returns the counters of the engine.
func (e *Engine) Stats() EngineStats {
	inFlight, peak, coldPeak := e.warmUp.callCounts()
	refused, tokens := e.faults.counts()
	return EngineStats{
		InFlight: inFlight, Peak: peak, ColdPeak: coldPeak,
		Crashes: e.Crashes(), Refused: refused,
		Attempts: e.attemptRuns.summary(), Tokens: tokens, Orders: e.orders.snapshot(),
	}
}

func (e *Engine) recordLoad() {
	inFlight, _, _ := e.warmUp.callCounts()
	waiting, _ := e.batch.queueLengths()
	e.load.record(Load{InFlight: inFlight, Waiting: waiting, Cold: e.warmUp.isCold()})
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.warmUp.health(e.Boot()))
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.load.read())
}

func (e *Engine) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Stats())
}

func (e *Engine) getRuns(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, RunsResponse{Runs: e.attemptRuns.count(r.URL.Query().Get("attempt"))})
}

package standin

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Defaults of EngineOptions.
const (
	DefaultBatchSize   = 8
	DefaultCacheBlocks = 4096
	DefaultStep        = 4 * time.Millisecond
	DefaultPerSequence = 200 * time.Microsecond
	DefaultPrefill     = 5 * time.Microsecond
)

const (
	// resumable is how many generations an engine can resume.
	resumable = 1024
	// maxTokensLimit bounds one generation.
	maxTokensLimit = 32768
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	StepTiming StepTiming
	// BatchSize is how many sequences run together; more of them wait.
	BatchSize int
	// QueueLimit is how many sequences may wait; those above are refused.
	QueueLimit int
	// CacheBlocks is how many blocks of prompts the prefix cache holds.
	CacheBlocks int
	ColdStart   ColdStart
	// DownFor is how long a crashed engine refuses connections.
	DownFor time.Duration
	// LoadLag is how old the load report is.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse orders with an old number.
	ChecksFence bool
	// LoadTime is how long an order to load takes.
	LoadTime time.Duration
	// Models are the models that the engine serves; none means any.
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

// Engine is the stand-in for a model engine with continuous batching.
type Engine struct {
	*host
	options  EngineOptions
	warmth   *warmth
	batch    *batch
	orders   *orders
	attempts *runs
	load     lagged[Load]
	faults   engineFaults
	known    *lru.Cache[string, generation]
}

// generation is what an engine keeps of a call to resume it.
type generation struct {
	prompt string
	answer answer
}

// NewEngine returns an engine.
func NewEngine(o EngineOptions) *Engine {
	o = o.withDefaults()
	known, err := lru.New[string, generation](resumable)
	if err != nil {
		panic(err) // the size is above 0
	}
	e := &Engine{
		host:     newHost(o.DownFor),
		options:  o,
		warmth:   newWarmth(o.ColdStart),
		attempts: newRuns(),
		load:     lagged[Load]{lag: o.LoadLag},
		known:    known,
	}
	e.orders = newOrders(o.ChecksFence, o.LoadTime, e.warmth.chill)
	e.batch = newBatch(o.StepTiming, o.BatchSize, o.CacheBlocks, e.slowdown)
	e.reborn = e.restart
	e.handler = e.routes()
	return e
}

func (e *Engine) routes() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	m.HandleFunc("/orders", e.orders.serve).Methods(http.MethodPost)
	m.HandleFunc("/orders", e.orders.report).Methods(http.MethodGet)
	m.HandleFunc("/healthz", e.health).Methods(http.MethodGet)
	m.HandleFunc("/load", e.reportLoad).Methods(http.MethodGet)
	m.HandleFunc("/control/faults", e.postFaults).Methods(http.MethodPost)
	m.HandleFunc("/control/stats", e.getStats).Methods(http.MethodGet)
	m.HandleFunc("/control/runs", e.getRuns).Methods(http.MethodGet)
	return m
}

func (e *Engine) slowdown() float64 { return e.warmth.slowdown() * e.faults.slow() }

// restart forgets what a process holds in memory.
func (e *Engine) restart() {
	e.warmth.chill()
	e.batch.purge()
	e.known.Purge()
}

// MakeCold turns a warm engine cold without a warning.
func (e *Engine) MakeCold() { e.warmth.chill() }

// RunsOfAttempt returns how often the attempt was run here from its start.
func (e *Engine) RunsOfAttempt(id string) int { return e.attempts.of(id) }

// EngineStats counts what reached an engine.
type EngineStats struct {
	InFlight int `json:"in_flight"`
	Peak     int `json:"peak"`
	ColdPeak int `json:"cold_peak"`
	Crashes  int `json:"crashes"`
	Refused  int `json:"refused"`
	// Attempts counts runs by the callers' attempt ids.
	Attempts RunCounts  `json:"attempts"`
	Tokens   TokenStats `json:"tokens"`
	Orders   OrderStats `json:"orders"`
}

// TokenStats counts the tokens of an engine.
type TokenStats struct {
	Prompt    int64 `json:"prompt"`
	Cached    int64 `json:"cached"`
	Generated int64 `json:"generated"`
	Resumed   int64 `json:"resumed"`
	Cancelled int64 `json:"cancelled"`
}

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	inFlight, peak, coldPeak := e.warmth.peaks()
	refused, tokens := e.faults.counts()
	return EngineStats{
		InFlight: inFlight, Peak: peak, ColdPeak: coldPeak,
		Crashes: e.Crashes(), Refused: refused,
		Attempts: e.attempts.counts(), Tokens: tokens, Orders: e.orders.snapshot(),
	}
}

func (e *Engine) recordLoad() {
	inFlight, _, _ := e.warmth.peaks()
	waiting, _ := e.batch.queued()
	e.load.record(Load{InFlight: inFlight, Waiting: waiting, Cold: e.warmth.isCold()})
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.warmth.health(e.Boot()))
}

func (e *Engine) reportLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.load.read())
}

func (e *Engine) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Stats())
}

func (e *Engine) getRuns(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, RunsResponse{Runs: e.attempts.of(r.URL.Query().Get("attempt"))})
}

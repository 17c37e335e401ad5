package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// WorkerOptions describes how a pool member or a service instance executes calls.
type WorkerOptions struct {
	// ServiceTime is the execution time of one call.
	ServiceTime time.Duration
	// Slots is the maximum number of concurrent calls; 0 means no limit.
	Slots int
	// QueueLimit is the maximum number of queued calls; further calls are refused.
	QueueLimit int
	// ColdStart describes the worker after a start of its process.
	ColdStart ColdStart
	// DownFor is how long the worker refuses connections after a crash.
	DownFor time.Duration
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
}

// WorkerFaults are the faults to inject into calls. Each call that a counted fault
// affects decrements its count.
type WorkerFaults struct {
	// Slow multiplies the execution time of a call; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// RefuseNext is how many calls are refused before they run.
	RefuseNext int `json:"refuse_next,omitempty"`
	// FailBeforeNext is how many calls lose their connection before they run.
	FailBeforeNext int `json:"fail_before_next,omitempty"`
	// FailAfterNext is how many calls run but lose their connection before the response.
	FailAfterNext int `json:"fail_after_next,omitempty"`
	// HangNext is how many calls block until their caller gives up. They do
	// not run.
	HangNext int `json:"hang_next,omitempty"`
	// FailAll makes every call return an error after its execution time.
	FailAll bool `json:"fail_all,omitempty"`
	// Crash makes the process crash at once; MakeCold makes the worker cold.
	Crash    bool `json:"crash,omitempty"`
	MakeCold bool `json:"chill,omitempty"`
}

// Load is the load that an endpoint reports, with its configured lag.
type Load struct {
	InFlight int  `json:"in_flight"`
	Waiting  int  `json:"waiting"`
	Cold     bool `json:"cold"`
}

// Health is the current state that an endpoint reports, without a lag.
type Health struct {
	Boot      string `json:"boot"`
	Cold      bool   `json:"cold"`
	ColdLimit int    `json:"cold_limit,omitempty"`
	InFlight  int    `json:"in_flight"`
}

// WorkerStats holds the counters of a worker.
type WorkerStats struct {
	InFlight int `json:"in_flight"`
	Peak     int `json:"peak"`
	ColdPeak int `json:"cold_peak"`
	Crashes  int `json:"crashes"`
	Refused  int `json:"refused"`
	// Attempts counts the runs per attempt id of the callers, References those
	// per reference in the bodies of service calls.
	Attempts   RunCounts `json:"attempts"`
	References RunCounts `json:"references"`
}

// worker is the common part of Pool and Service: a process that can crash, with
// a limited number of slots in which calls execute.
type worker struct {
	*host
	options       WorkerOptions
	warmUp        *warmUp
	slots         chan struct{}
	attemptRuns   *runCounter
	referenceRuns *runCounter
	load          lagged[Load]
	faults        workerFaults
}

func newWorker(o WorkerOptions) *worker {
	s := &worker{
		host:          newHost(o.DownFor),
		options:       o,
		warmUp:        newWarmUp(o.ColdStart),
		attemptRuns:   newRunCounter(),
		referenceRuns: newRunCounter(),
		load:          lagged[Load]{lag: o.LoadLag},
	}
	if o.Slots > 0 {
		s.slots = make(chan struct{}, o.Slots)
	}
	s.onRestart = s.warmUp.reset
	return s
}

// routes registers the paths that pools and services have in common.
func (s *worker) routes(m *mux.Router) {
	m.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	m.HandleFunc("/load", s.reportLoad).Methods(http.MethodGet)
	m.HandleFunc("/control/faults", s.postFaults).Methods(http.MethodPost)
	m.HandleFunc("/control/stats", s.getStats).Methods(http.MethodGet)
	m.HandleFunc("/control/runs", s.getRuns).Methods(http.MethodGet)
}

// SetFaults replaces the faults to inject. MakeCold and Crash take effect at once.
func (s *worker) SetFaults(f WorkerFaults) {
	s.faults.set(f)
	if f.MakeCold {
		s.warmUp.reset()
	}
	if f.Crash {
		s.Crash()
	}
}

// MakeCold makes the worker cold without a restart of its process.
func (s *worker) MakeCold() { s.warmUp.reset() }

// Stats returns the counters of the worker.
func (s *worker) Stats() WorkerStats {
	inFlight, peak, coldPeak := s.warmUp.callCounts()
	return WorkerStats{
		InFlight: inFlight, Peak: peak, ColdPeak: coldPeak,
		Crashes: s.Crashes(), Refused: s.faults.refusals(),
		Attempts: s.attemptRuns.summary(), References: s.referenceRuns.summary(),
	}
}

// RunsOfAttempt returns the number of runs of the attempt at this worker.
func (s *worker) RunsOfAttempt(id string) int { return s.attemptRuns.count(id) }

// RunsOfReference returns the number of runs at this worker of service calls with
// the reference.
func (s *worker) RunsOfReference(reference string) int { return s.referenceRuns.count(reference) }

// References returns the number of runs of service calls at this worker, by reference.
func (s *worker) References() map[string]int { return s.referenceRuns.snapshot() }

// handle admits, executes and answers one call. Its response is the result of compute.
func (s *worker) handle(w http.ResponseWriter, r *http.Request, compute func() any) {
	fault := s.faults.next()
	if fault == faultRefuse {
		refuseBusy(w, s.options.ServiceTime)
		return
	}
	if s.queueFull() {
		s.faults.countRefusal()
		refuseBusy(w, s.options.ServiceTime)
		return
	}
	if !s.warmUp.begin() {
		s.Crash()
	}
	s.recordLoad()
	answered := false
	defer func() {
		s.warmUp.end(answered)
		s.recordLoad()
	}()
	answered = s.serve(w, r, fault, compute)
}

// serve executes one admitted call and reports whether it was answered successfully.
func (s *worker) serve(w http.ResponseWriter, r *http.Request, fault faultKind, compute func() any) bool {
	ctx := r.Context()
	switch fault {
	case faultDropBefore:
		dropConnection(w)
		return false
	case faultHang:
		<-ctx.Done()
		return false
	}
	if !s.acquireSlot(ctx) {
		return false
	}
	defer s.releaseSlot()
	s.attemptRuns.add(r.Header.Get(HeaderAttempt))
	answer := compute()
	if sleep(ctx, s.callTime()) != nil {
		return false
	}
	switch fault {
	case faultDropAfter:
		dropConnection(w)
	case faultError:
		writeJSON(w, http.StatusInternalServerError, errorResponse{Error: "failed"})
	default:
		writeJSON(w, http.StatusOK, answer)
		return true
	}
	return false
}

func (s *worker) callTime() time.Duration {
	factor := s.warmUp.slowdown() * s.faults.slowFactor()
	return time.Duration(float64(s.options.ServiceTime) * factor)
}

// queueFull reports whether all slots and the whole queue are occupied.
func (s *worker) queueFull() bool {
	if s.slots == nil {
		return false
	}
	inFlight, _, _ := s.warmUp.callCounts()
	return inFlight >= s.options.Slots+s.options.QueueLimit
}

func (s *worker) acquireSlot(ctx context.Context) bool {
	if s.slots == nil {
		return ctx.Err() == nil
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *worker) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

func (s *worker) recordLoad() {
	inFlight, _, _ := s.warmUp.callCounts()
	waiting := 0
	if s.slots != nil {
		waiting = max(inFlight-s.options.Slots, 0)
	}
	s.load.record(Load{InFlight: inFlight, Waiting: waiting, Cold: s.warmUp.isCold()})
}

func (s *worker) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.warmUp.health(s.Boot()))
}

func (s *worker) reportLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.load.read())
}

func (s *worker) postFaults(w http.ResponseWriter, r *http.Request) {
	var f WorkerFaults
	if !readJSON(w, r, &f) {
		return
	}
	crash := f.Crash
	f.Crash = false
	s.SetFaults(f)
	if crash {
		s.answerThenCrash(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *worker) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

// RunsResponse is the response to a query for the number of runs of one id.
type RunsResponse struct {
	Runs int `json:"runs"`
}

func (s *worker) getRuns(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if reference := query.Get("reference"); reference != "" {
		writeJSON(w, http.StatusOK, RunsResponse{Runs: s.referenceRuns.count(reference)})
		return
	}
	writeJSON(w, http.StatusOK, RunsResponse{Runs: s.attemptRuns.count(query.Get("attempt"))})
}

// sleep waits for d and returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

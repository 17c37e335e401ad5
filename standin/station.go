package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// WorkerOptions describes how a pool member or a service instance works calls off.
type WorkerOptions struct {
	// ServiceTime is the time of one call.
	ServiceTime time.Duration
	// Slots is how many calls run at once; 0 is unlimited.
	Slots int
	// QueueLimit is how many more may wait; those above are refused.
	QueueLimit int
	// ColdStart describes a fresh process.
	ColdStart ColdStart
	// DownFor is how long a crashed process refuses connections.
	DownFor time.Duration
	// LoadLag is how old the load report is.
	LoadLag time.Duration
}

// WorkerFaults are failures brought about on demand. Counts are used up by
// the calls that they hit.
type WorkerFaults struct {
	// Slow multiplies the time of a call; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// RefuseNext calls are refused as not run.
	RefuseNext int `json:"refuse_next,omitempty"`
	// FailBeforeNext calls lose their connection before they run.
	FailBeforeNext int `json:"fail_before_next,omitempty"`
	// FailAfterNext calls run and lose their connection before the answer.
	FailAfterNext int `json:"fail_after_next,omitempty"`
	// HangNext calls get no answer for as long as their caller waits; they
	// hang before they run.
	HangNext int `json:"hang_next,omitempty"`
	// FailAll answers every call with an error after its time.
	FailAll bool `json:"fail_all,omitempty"`
	// Crash kills the process now, Chill turns it cold.
	Crash    bool `json:"crash,omitempty"`
	MakeCold bool `json:"chill,omitempty"`
}

// Load is the lagging load report of an endpoint.
type Load struct {
	InFlight int  `json:"in_flight"`
	Waiting  int  `json:"waiting"`
	Cold     bool `json:"cold"`
}

// Health is what an endpoint says of itself without a lag.
type Health struct {
	Boot      string `json:"boot"`
	Cold      bool   `json:"cold"`
	ColdLimit int    `json:"cold_limit,omitempty"`
	InFlight  int    `json:"in_flight"`
}

// WorkerStats counts what reached an endpoint.
type WorkerStats struct {
	InFlight int `json:"in_flight"`
	Peak     int `json:"peak"`
	ColdPeak int `json:"cold_peak"`
	Crashes  int `json:"crashes"`
	Refused  int `json:"refused"`
	// Attempts counts runs by the callers' attempt ids, References by the
	// references in the bodies of service calls.
	Attempts   RunCounts `json:"attempts"`
	References RunCounts `json:"references"`
}

// station is what pools and services have in common: a process that may crash
// and slots in which calls take their time.
type station struct {
	*host
	spec       WorkerOptions
	warmth     *warmth
	slots      chan struct{}
	attempts   *runs
	references *runs
	load       lagged[Load]
	faults     stationFaults
}

func newStation(spec WorkerOptions) *station {
	s := &station{
		host:       newHost(spec.DownFor),
		spec:       spec,
		warmth:     newWarmth(spec.ColdStart),
		attempts:   newRuns(),
		references: newRuns(),
		load:       lagged[Load]{lag: spec.LoadLag},
	}
	if spec.Slots > 0 {
		s.slots = make(chan struct{}, spec.Slots)
	}
	s.reborn = s.warmth.chill
	return s
}

// routes adds the paths that every endpoint has.
func (s *station) routes(m *mux.Router) {
	m.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	m.HandleFunc("/load", s.reportLoad).Methods(http.MethodGet)
	m.HandleFunc("/control/faults", s.postFaults).Methods(http.MethodPost)
	m.HandleFunc("/control/stats", s.getStats).Methods(http.MethodGet)
	m.HandleFunc("/control/runs", s.getRuns).Methods(http.MethodGet)
}

// SetFaults replaces the faults.
func (s *station) SetFaults(f WorkerFaults) {
	s.faults.set(f)
	if f.MakeCold {
		s.warmth.chill()
	}
	if f.Crash {
		s.Crash()
	}
}

// MakeCold turns a warm endpoint cold without a warning.
func (s *station) MakeCold() { s.warmth.chill() }

// Stats returns the counts so far.
func (s *station) Stats() WorkerStats {
	inFlight, peak, coldPeak := s.warmth.peaks()
	return WorkerStats{
		InFlight: inFlight, Peak: peak, ColdPeak: coldPeak,
		Crashes: s.Crashes(), Refused: s.faults.refusals(),
		Attempts: s.attempts.counts(), References: s.references.counts(),
	}
}

// RunsOfAttempt returns how often the attempt ran here.
func (s *station) RunsOfAttempt(id string) int { return s.attempts.of(id) }

// RunsOfReference returns how often a service call with the reference ran here.
func (s *station) RunsOfReference(reference string) int { return s.references.of(reference) }

// References returns how often each service call ran here, by its reference.
func (s *station) References() map[string]int { return s.references.all() }

// work passes one call through the station; run makes the answer.
func (s *station) work(w http.ResponseWriter, r *http.Request, run func() any) {
	fault := s.faults.draw()
	if fault == faultRefuse {
		refuseBusy(w, s.spec.ServiceTime)
		return
	}
	if s.overfull() {
		s.faults.refused()
		refuseBusy(w, s.spec.ServiceTime)
		return
	}
	if !s.warmth.enter() {
		s.Crash()
	}
	s.recordLoad()
	answered := false
	defer func() {
		s.warmth.leave(answered)
		s.recordLoad()
	}()
	answered = s.serve(w, r, fault, run)
}

// serve runs one admitted call and reports whether it was answered.
func (s *station) serve(w http.ResponseWriter, r *http.Request, fault fault, run func() any) bool {
	ctx := r.Context()
	switch fault {
	case faultBefore:
		drop(w)
		return false
	case faultHang:
		<-ctx.Done()
		return false
	}
	if !s.takeSlot(ctx) {
		return false
	}
	defer s.freeSlot()
	s.attempts.add(r.Header.Get(HeaderAttempt))
	answer := run()
	if pause(ctx, s.callTime()) != nil {
		return false
	}
	switch fault {
	case faultAfter:
		drop(w)
	case faultError:
		writeJSON(w, http.StatusInternalServerError, failure{Error: "failed"})
	default:
		writeJSON(w, http.StatusOK, answer)
		return true
	}
	return false
}

func (s *station) callTime() time.Duration {
	factor := s.warmth.slowdown() * s.faults.slow()
	return time.Duration(float64(s.spec.ServiceTime) * factor)
}

// overfull reports whether slots and queue are taken.
func (s *station) overfull() bool {
	if s.slots == nil {
		return false
	}
	inFlight, _, _ := s.warmth.peaks()
	return inFlight >= s.spec.Slots+s.spec.QueueLimit
}

func (s *station) takeSlot(ctx context.Context) bool {
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

func (s *station) freeSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

func (s *station) recordLoad() {
	inFlight, _, _ := s.warmth.peaks()
	waiting := 0
	if s.slots != nil {
		waiting = max(inFlight-s.spec.Slots, 0)
	}
	s.load.record(Load{InFlight: inFlight, Waiting: waiting, Cold: s.warmth.isCold()})
}

func (s *station) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.warmth.health(s.Boot()))
}

func (s *station) reportLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.load.read())
}

func (s *station) postFaults(w http.ResponseWriter, r *http.Request) {
	var f WorkerFaults
	if !readJSON(w, r, &f) {
		return
	}
	w.WriteHeader(http.StatusNoContent)
	s.SetFaults(f)
}

func (s *station) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

// RunsResponse tells how often one id ran.
type RunsResponse struct {
	Runs int `json:"runs"`
}

func (s *station) getRuns(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if reference := query.Get("reference"); reference != "" {
		writeJSON(w, http.StatusOK, RunsResponse{Runs: s.references.of(reference)})
		return
	}
	writeJSON(w, http.StatusOK, RunsResponse{Runs: s.attempts.of(query.Get("attempt"))})
}

// pause sleeps for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
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

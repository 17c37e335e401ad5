package entry

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/settings"
)

// StatusPath is the operators' route for the state of an entry.
const StatusPath = "/v1/status"

// AgentStatus is the state of an agent as the entry sees it.
type AgentStatus struct {
	Name       string    `json:"name"`
	Pool       string    `json:"pool"`
	DataCentre string    `json:"data_centre"`
	Linked     bool      `json:"linked"`
	Leaving    bool      `json:"leaving,omitempty"`
	InFlight   int       `json:"in_flight"`
	Load       link.Load `json:"load"`
}

// Status is the state of an entry.
type Status struct {
	Name       string           `json:"name"`
	DataCentre string           `json:"data_centre"`
	Ready      bool             `json:"ready"`
	Leaving    bool             `json:"leaving"`
	Settings   settings.Version `json:"settings"`
	InFlight   int              `json:"in_flight"`
	Pauses     int              `json:"pauses"`
	Agents     []AgentStatus    `json:"agents"`
}

// Status returns the state of the entry.
func (e *Entry) Status() Status {
	s := Status{
		Name:       e.o.Name,
		DataCentre: e.o.DataCentre,
		Ready:      e.o.Readiness.Ready(),
		Leaving:    e.draining.Load(),
		InFlight:   e.shares.total(),
		Pauses:     e.pauseGuard.Count(),
		Agents:     e.fleet.status(),
	}
	if snap := e.o.Settings.Current(); snap != nil {
		s.Settings = snap.Version
	}
	return s
}

// status returns the state of all peers, ordered by name.
func (f *fleet) status() []AgentStatus {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]AgentStatus, 0, len(f.peers))
	for _, p := range f.peers {
		out = append(out, p.status())
	}
	slices.SortFunc(out, func(a, b AgentStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (p *peer) status() AgentStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := AgentStatus{
		Name:       p.instance.Name,
		Pool:       p.instance.Pool,
		DataCentre: p.instance.DataCentre,
		Linked:     p.link != nil,
		Leaving:    p.leaving,
		InFlight:   p.inFlight,
	}
	if p.link != nil {
		s.Load = p.link.Load()
	}
	return s
}

// OperatorsHandler adds the status route to the operators' handler base.
func (e *Entry) OperatorsHandler(base http.Handler) http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e.Status())
	}).Methods(http.MethodGet)
	m.PathPrefix("/").Handler(base)
	return m
}

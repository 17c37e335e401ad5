package standin

import (
	"net/http"

	"github.com/gorilla/mux"
)

// ServiceOptions configures a Service.
type ServiceOptions struct{ WorkerOptions }

// Service simulates one instance of an application service. It does not
// deduplicate: a repeated call runs again.
type Service struct{ *worker }

// NewService returns a service instance, warm unless o has a cold limit.
func NewService(o ServiceOptions) *Service {
	s := &Service{worker: newWorker(o.WorkerOptions)}
	m := mux.NewRouter()
	m.HandleFunc("/op/{operation}", s.runOperation).Methods(http.MethodPost)
	s.routes(m)
	s.handler = m
	return s
}

// serviceCall is the part of the request body that the stand-in uses.
type serviceCall struct {
	// Reference is the caller's identifier of the call.
	Reference string `json:"reference"`
}

// ServiceResponse is the response body of every operation.
type ServiceResponse struct {
	Operation string `json:"operation"`
	Reference string `json:"reference"`
	Accepted  bool   `json:"accepted"`
	// Run is the number of runs of the reference at this instance, this one
	// included.
	Run int `json:"run"`
}

func (s *Service) runOperation(w http.ResponseWriter, r *http.Request) {
	var c serviceCall
	if !readJSON(w, r, &c) {
		return
	}
	operation := mux.Vars(r)["operation"]
	s.handle(w, r, func() any {
		return ServiceResponse{
			Operation: operation,
			Reference: c.Reference,
			Accepted:  true,
			Run:       s.referenceRuns.add(c.Reference),
		}
	})
}

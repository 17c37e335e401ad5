package standin

import (
	"net/http"

	"github.com/gorilla/mux"
)

// ServiceOptions configure a Service.
type ServiceOptions struct{ WorkerOptions }

// Service is the stand-in for one instance of an application service. It runs
// every call that reaches it, also one that it has run before.
type Service struct{ *station }

// NewService returns a service instance.
func NewService(o ServiceOptions) *Service {
	s := &Service{station: newStation(o.WorkerOptions)}
	m := mux.NewRouter()
	m.HandleFunc("/op/{operation}", s.call).Methods(http.MethodPost)
	s.routes(m)
	s.handler = m
	return s
}

// serviceCall is the part of a call's body that the stand-in reads.
type serviceCall struct {
	// Reference is the caller's own name of the call.
	Reference string `json:"reference"`
}

// ServiceResponse is the result of every operation.
type ServiceResponse struct {
	Operation string `json:"operation"`
	Reference string `json:"reference"`
	Accepted  bool   `json:"accepted"`
	// Run counts the runs of the reference at this instance, from 1.
	Run int `json:"run"`
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	var c serviceCall
	if !readJSON(w, r, &c) {
		return
	}
	operation := mux.Vars(r)["operation"]
	s.work(w, r, func() any {
		return ServiceResponse{
			Operation: operation,
			Reference: c.Reference,
			Accepted:  true,
			Run:       s.references.add(c.Reference),
		}
	})
}

package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// HTTP headers of the published protocols, see docs/PROTOCOLS.md.
const (
	// HeaderRunState states whether a refused call ran.
	HeaderRunState = "X-Run-State"
	// HeaderAttempt carries the attempt id that the caller assigned.
	HeaderAttempt = "X-Attempt-Id"
)

const maxBodyBytes = 16 << 20

// errorResponse is the body of responses with a status of 400 or above.
type errorResponse struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// refuse responds with an error and states that the call did not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderRunState, string(contract.NotRun))
	writeJSON(w, status, errorResponse{Error: reason})
}

// refuseBusy refuses a call with status 503 and a Retry-After of at least one
// second.
func refuseBusy(w http.ResponseWriter, after time.Duration) {
	seconds := max(int(after.Round(time.Second).Seconds()), 1)
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	refuse(w, http.StatusServiceUnavailable, "busy")
}

// readJSON decodes the request body into v. It refuses the call and returns false
// if the body is invalid.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

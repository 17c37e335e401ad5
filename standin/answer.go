package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// Headers of the published protocols. See docs/PROTOCOLS.md.
const (
	// HeaderRunState says whether a refused call ran.
	HeaderRunState = "X-Run-State"
	// HeaderAttempt carries the caller's id of the attempt.
	HeaderAttempt = "X-Attempt-Id"
)

const maxBodyBytes = 16 << 20

// failure explains every status above 399.
type failure struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// refuse answers that the call did not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderRunState, string(contract.NotRun))
	writeJSON(w, status, failure{Error: reason})
}

// refuseBusy answers that the call did not run and when to come back.
func refuseBusy(w http.ResponseWriter, after time.Duration) {
	seconds := max(int(after.Round(time.Second).Seconds()), 1)
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	refuse(w, http.StatusServiceUnavailable, "busy")
}

// readJSON decodes the body into v, or refuses the call.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Package contract defines what azurelead guarantees to a caller about a request: the run state
// that each answer reports, the problem codes of refusals, and the identifiers and digests that
// match answers to requests.
package contract

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"hash"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// RunState reports whether a call had an effect at an endpoint.
type RunState string

const (
	// NotRun means that no endpoint ran the call and none will.
	NotRun RunState = "not_run"
	// MayHaveRun means that the call was sent and may have reached an endpoint. Its effect is
	// unknown.
	MayHaveRun RunState = "may_have_run"
	// Ran means that the call took effect.
	Ran RunState = "ran"
)

// LeastCertain returns the less certain of two states. A request with several stages thus never
// reports more certainty than its least certain stage.
func (s RunState) LeastCertain(other RunState) RunState {
	if s == MayHaveRun || other == MayHaveRun {
		return MayHaveRun
	}
	if s == Ran || other == Ran {
		return Ran
	}
	return NotRun
}

// RequestID identifies a caller's request.
type RequestID string

// NewRequestID returns a random request ID.
func NewRequestID() RequestID { return RequestID(uuid.NewString()) }

// AttemptID identifies one attempt to run one stage of a request on one endpoint.
type AttemptID string

// NewAttemptID returns a random attempt ID.
func NewAttemptID() AttemptID { return AttemptID(uuid.NewString()) }

// BootID identifies one run of a process. It changes at every start.
type BootID string

// NewBootID returns a random boot ID.
func NewBootID() BootID { return BootID(uuid.NewString()) }

// Code is a stable, machine-readable reason for a refusal.
type Code string

// Codes of problem documents. Their meaning never changes.
const (
	CodeBadRequest       Code = "bad_request"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeUnknownPipeline  Code = "unknown_pipeline"
	CodeDeadlineRequired Code = "deadline_required"
	CodeBadDeadline      Code = "bad_deadline"
	CodeKeyRequired      Code = "idempotency_key_required"
	CodeBadKey           Code = "bad_idempotency_key"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeOverloaded       Code = "overloaded"
	CodeDeadlineTooShort Code = "deadline_too_short"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeNoEndpoint       Code = "no_endpoint"
	CodeEndpointFailed   Code = "endpoint_failed"
	CodeRejected         Code = "rejected_by_endpoint"
	CodeSuspectRequest   Code = "suspect_request"
	CodeClaimUnavailable Code = "claim_store_unavailable"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeInProgress       Code = "in_progress"
	CodeShuttingDown     Code = "shutting_down"
	CodeDataCentreOut    Code = "data_centre_out"
	CodeWrongBoot        Code = "wrong_boot"
	CodeDuplicateAttempt Code = "duplicate_attempt"
	CodeCancelled        Code = "cancelled"
	CodeSettingsMissing  Code = "settings_missing"
	CodeFenced           Code = "fenced"
	CodeInternal         Code = "internal"
)

// statusByCode maps codes to HTTP statuses; codes that are not listed map to 500.
var statusByCode = map[Code]int{
	CodeBadRequest:       http.StatusBadRequest,
	CodeBodyTooLarge:     http.StatusRequestEntityTooLarge,
	CodeUnauthenticated:  http.StatusUnauthorized,
	CodeUnknownPipeline:  http.StatusNotFound,
	CodeDeadlineRequired: http.StatusBadRequest,
	CodeBadDeadline:      http.StatusBadRequest,
	CodeKeyRequired:      http.StatusBadRequest,
	CodeBadKey:           http.StatusBadRequest,
	CodeKeyReused:        http.StatusUnprocessableEntity,
	CodeOverloaded:       http.StatusServiceUnavailable,
	CodeDeadlineTooShort: http.StatusServiceUnavailable,
	CodeDeadlineExceeded: http.StatusGatewayTimeout,
	CodeNoEndpoint:       http.StatusServiceUnavailable,
	CodeEndpointFailed:   http.StatusBadGateway,
	CodeRejected:         http.StatusUnprocessableEntity,
	CodeSuspectRequest:   http.StatusUnprocessableEntity,
	CodeClaimUnavailable: http.StatusServiceUnavailable,
	CodeOutcomeUnknown:   http.StatusConflict,
	CodeInProgress:       http.StatusConflict,
	CodeShuttingDown:     http.StatusServiceUnavailable,
	CodeDataCentreOut:    http.StatusServiceUnavailable,
	CodeCancelled:        499,
	CodeSettingsMissing:  http.StatusServiceUnavailable,
}

// Problem is a refusal or failure as a problem document of RFC 9457, with azurelead's extension
// members. It implements error.
type Problem struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail,omitempty"`
	Code      Code      `json:"code"`
	Run       RunState  `json:"run"`
	RequestID RequestID `json:"request_id,omitempty"`
	Stage     string    `json:"stage,omitempty"`
	// RetryAfterMS is the delay before a retry, in milliseconds; 0 means that retrying the same
	// request does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// titleClientClosedRequest is the customary title of status 499, which is not a standard status.
const titleClientClosedRequest = "Client Closed Request"

// NewProblem returns a problem with the HTTP status of the code.
func NewProblem(code Code, run RunState, format string, args ...any) *Problem {
	status, ok := statusByCode[code]
	if !ok {
		status = http.StatusInternalServerError
	}
	return &Problem{
		Type:   "urn:azurelead:problem:" + string(code),
		Title:  cmp.Or(http.StatusText(status), titleClientClosedRequest),
		Status: status,
		Detail: fmt.Sprintf(format, args...),
		Code:   code,
		Run:    run,
	}
}

// WithRetryAfter sets the delay before a retry, at least 1 ms, and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfterMS = max(d.Milliseconds(), 1)
	return p
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Code, p.Run, p.Detail)
}

// Digest computes the digest of an answer's chunks in order. It detects truncated or mixed-up
// answers; it does not protect against forgery.
type Digest struct{ h hash.Hash64 }

// NewDigest returns an empty digest.
func NewDigest() *Digest { return &Digest{h: xxhash.New()} }

// Add adds the bytes of a chunk to the digest.
func (d *Digest) Add(chunk string) { _, _ = d.h.Write([]byte(chunk)) }

// String returns the digest as 16 hexadecimal digits.
func (d *Digest) String() string { return hex.EncodeToString(d.h.Sum(nil)) }

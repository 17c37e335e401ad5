package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/settings"
)

// Headers of callers' requests.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Azurelead-Deadline-Ms"
)

const (
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 128
)

// Body is the JSON body of a request.
type Body struct {
	// Question is the input of the model stages.
	Question string `json:"question,omitempty"`
	// Action is the argument of the service stages.
	Action json.RawMessage `json:"action,omitempty"`
	// Stream requests the answer as server-sent events.
	Stream bool `json:"stream,omitempty"`
	// MaxTokens limits the tokens of each generate stage; 0 uses the limit of the settings.
	MaxTokens int `json:"max_tokens,omitempty"`
}

// Request is a caller's request that has passed every check that needs no endpoint.
type Request struct {
	ID           contract.RequestID
	Organisation string
	Weight       int
	PipelineName string
	Pipeline     settings.Pipeline
	Body         Body
	Key          string
	Deadline     time.Time
	TraceParent  string
	// Digest identifies requests with the same organisation, pipeline and body.
	Digest string
}

// hasOnceStage reports whether the pipeline has a stage that may not be repeated.
func hasOnceStage(p settings.Pipeline) bool {
	for _, st := range p.Stages {
		if st.Once {
			return true
		}
	}
	return false
}

// DecodeBody reads a JSON body of at most limit bytes. It rejects unknown members,
// data after the object, and values out of range.
func DecodeBody(r io.Reader, limit int) (Body, *contract.Problem) {
	raw, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return Body{}, contract.NewProblem(contract.CodeBadRequest, contract.NotRun, "the body could not be read")
	}
	if len(raw) > limit {
		return Body{}, contract.NewProblem(contract.CodeBodyTooLarge, contract.NotRun, "the body is longer than %d bytes", limit)
	}
	var b Body
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		return Body{}, contract.NewProblem(contract.CodeBadRequest, contract.NotRun, "the body is not a valid request: %s", describeJSONError(err))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Body{}, contract.NewProblem(contract.CodeBadRequest, contract.NotRun, "the body has more than one JSON value")
	}
	if b.MaxTokens < 0 {
		return Body{}, contract.NewProblem(contract.CodeBadRequest, contract.NotRun, "max_tokens %d is below 0", b.MaxTokens)
	}
	return b, nil
}

// describeJSONError describes a decoding error without quoting the caller's data.
func describeJSONError(err error) string {
	var syntax *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return "syntax error at byte " + strconv.FormatInt(syntax.Offset, 10)
	case errors.As(err, &typeErr):
		return "wrong type of member " + strconv.Quote(typeErr.Field)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "it ends early"
	}
	return "unknown member"
}

// checkBody checks that the body has the members that the pipeline's stages need.
func checkBody(p settings.Pipeline, b Body) *contract.Problem {
	for _, st := range p.Stages {
		if st.Kind == pipeline.Service && len(b.Action) == 0 {
			return contract.NewProblem(contract.CodeBadRequest, contract.NotRun, "stage %q needs the member action", st.Name)
		}
		if st.Kind != pipeline.Service && b.Question == "" {
			return contract.NewProblem(contract.CodeBadRequest, contract.NotRun, "stage %q needs the member question", st.Name)
		}
	}
	return nil
}

// checkKey checks that the idempotency key is visible ASCII of at most maxKeyBytes,
// and that it is present if the pipeline needs one.
func checkKey(p settings.Pipeline, key string) *contract.Problem {
	if key == "" {
		if hasOnceStage(p) {
			return contract.NewProblem(contract.CodeKeyRequired, contract.NotRun, "the pipeline has a stage that may not be repeated: %s is required", HeaderIdempotencyKey)
		}
		return nil
	}
	if len(key) > maxKeyBytes {
		return contract.NewProblem(contract.CodeBadKey, contract.NotRun, "%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return contract.NewProblem(contract.CodeBadKey, contract.NotRun, "%s has a byte that is not visible ASCII at %d", HeaderIdempotencyKey, i)
		}
	}
	return nil
}

// parseDeadline reads the deadline header, in milliseconds, and checks it against limit.
func parseDeadline(h http.Header, limit time.Duration) (time.Duration, *contract.Problem) {
	v := h.Get(HeaderDeadline)
	if v == "" {
		return 0, contract.NewProblem(contract.CodeDeadlineRequired, contract.NotRun, "the header %s is required", HeaderDeadline)
	}
	ms, err := strconv.ParseUint(v, 10, 31)
	if err != nil || ms == 0 {
		return 0, contract.NewProblem(contract.CodeBadDeadline, contract.NotRun, "%s is not a whole number of milliseconds above 0", HeaderDeadline)
	}
	d := time.Duration(ms) * time.Millisecond
	if d > limit {
		return 0, contract.NewProblem(contract.CodeBadDeadline, contract.NotRun, "%s is above the %s that the settings allow", HeaderDeadline, limit)
	}
	return d, nil
}

// requestDigest returns the digest of the organisation, the pipeline and the parts of
// the body that the stages use.
func requestDigest(organisation, pipelineName string, b Body) string {
	h := sha256.New()
	for _, part := range []string{organisation, pipelineName, b.Question, strconv.Itoa(b.MaxTokens)} {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	_, _ = h.Write(compactJSON(b.Action))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func compactJSON(raw json.RawMessage) []byte {
	var out bytes.Buffer
	if json.Compact(&out, raw) != nil {
		return raw
	}
	return out.Bytes()
}

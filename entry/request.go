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

// The headers of callers' requests.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Azurelead-Deadline-Ms"
)

const (
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 128
)

// Body is the JSON body of a request.
type Body struct {
	// Question is what the model stages work on.
	Question string `json:"question,omitempty"`
	// Action is the argument of the service stages.
	Action json.RawMessage `json:"action,omitempty"`
	// Stream asks for the answer as server-sent events.
	Stream bool `json:"stream,omitempty"`
	// MaxTokens bounds the tokens of each generate stage; 0 takes the setting.
	MaxTokens int `json:"max_tokens,omitempty"`
}

// Request is one caller's request after every check that needs no endpoint.
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
	// Digest is of organisation, pipeline and body.
	Digest string
}

// once reports whether a stage of the pipeline may not be repeated.
func once(p settings.Pipeline) bool {
	for _, st := range p.Stages {
		if st.Once {
			return true
		}
	}
	return false
}

// DecodeBody reads a body of at most limit bytes. It refuses unknown members,
// anything after the object, and values out of range.
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
		return Body{}, contract.NewProblem(contract.CodeBadRequest, contract.NotRun, "the body is not a valid request: %s", jsonFault(err))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Body{}, contract.NewProblem(contract.CodeBadRequest, contract.NotRun, "the body has more than one JSON value")
	}
	if b.MaxTokens < 0 {
		return Body{}, contract.NewProblem(contract.CodeBadRequest, contract.NotRun, "max_tokens %d is below 0", b.MaxTokens)
	}
	return b, nil
}

// jsonFault describes a decoding error without quoting the caller's data.
func jsonFault(err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return "syntax error at byte " + strconv.FormatInt(syntax.Offset, 10)
	case errors.As(err, &kind):
		return "wrong type of member " + strconv.Quote(kind.Field)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "it ends early"
	}
	return "unknown member"
}

// checkBody checks the members that the pipeline's stages need.
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

// checkKey checks the idempotency key: visible ASCII of bounded length.
func checkKey(p settings.Pipeline, key string) *contract.Problem {
	if key == "" {
		if once(p) {
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

// parseDeadline reads the deadline header as a duration of at most limit.
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

// requestDigest is of organisation, pipeline and what the stages work on.
func requestDigest(organisation, pipelineName string, b Body) string {
	h := sha256.New()
	for _, part := range []string{organisation, pipelineName, b.Question, strconv.Itoa(b.MaxTokens)} {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	_, _ = h.Write(compact(b.Action))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func compact(raw json.RawMessage) []byte {
	var out bytes.Buffer
	if json.Compact(&out, raw) != nil {
		return raw
	}
	return out.Bytes()
}

// Package pipeline defines the stages of a pipeline and the data that flows
// between them. The input of a stage is built from the caller's request and the
// outputs of earlier stages.
package pipeline

import "encoding/json"

// Kind is the kind of work that a stage does.
type Kind string

// Kinds of stages.
const (
	Encode   Kind = "encode"
	Retrieve Kind = "retrieve"
	Rerank   Kind = "rerank"
	Generate Kind = "generate"
	Service  Kind = "service"
)

// Kinds lists every kind of stage in the usual order of a pipeline.
var Kinds = []Kind{Encode, Retrieve, Rerank, Generate, Service}

// Valid reports whether k is a known kind.
func (k Kind) Valid() bool {
	switch k {
	case Encode, Retrieve, Rerank, Generate, Service:
		return true
	}
	return false
}

// Document is one retrieved passage with its relevance score.
type Document struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// Input is the input of one stage. Only the fields that apply to the stage's kind
// are set.
type Input struct {
	// Text is the question, for encode, retrieve and rerank stages.
	Text string `json:"text,omitempty"`
	// Vector is the encoded question, for retrieve stages.
	Vector []float32 `json:"vector,omitempty"`
	// Documents are the passages to rank, for rerank stages.
	Documents []Document `json:"documents,omitempty"`
	// Prompt is the complete prompt, for generate stages.
	Prompt string `json:"prompt,omitempty"`
	// Model is the name of the model, for generate stages.
	Model string `json:"model,omitempty"`
	// MaxTokens is the maximum number of tokens to generate, for generate stages.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Operation is the name of the operation to call, for service stages.
	Operation string `json:"operation,omitempty"`
	// Body is the argument of the operation, for service stages.
	Body json.RawMessage `json:"body,omitempty"`
}

// Output is the output of one stage.
type Output struct {
	Vector    []float32       `json:"vector,omitempty"`
	Documents []Document      `json:"documents,omitempty"`
	Text      string          `json:"text,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// Usage is the resource usage of one attempt at its endpoint.
type Usage struct {
	PromptTokens    int `json:"prompt_tokens,omitempty"`
	CachedTokens    int `json:"cached_tokens,omitempty"`
	GeneratedTokens int `json:"generated_tokens,omitempty"`
	// EndpointUS is the time that the endpoint spent on the attempt, in microseconds.
	EndpointUS int64 `json:"endpoint_us"`
}

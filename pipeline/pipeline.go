// Package pipeline defines the stages of a pipeline and the data that flows
// between them: each stage's input is made from the caller's request and the
// outputs of the stages before it.
package pipeline

import "encoding/json"

// Kind is what a stage does.
type Kind string

// The kinds of stages.
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

// Document is one retrieved passage.
type Document struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// Input is what one stage works on. Only the members that the stage's kind
// reads are set.
type Input struct {
	// Text is the question, for encode, retrieve and rerank stages.
	Text string `json:"text,omitempty"`
	// Vector is the encoded question, for retrieve stages.
	Vector []float32 `json:"vector,omitempty"`
	// Documents are the passages to order, for rerank stages.
	Documents []Document `json:"documents,omitempty"`
	// Prompt is the whole prompt, for generate stages.
	Prompt string `json:"prompt,omitempty"`
	// Model is the model to generate with, for generate stages.
	Model string `json:"model,omitempty"`
	// MaxTokens bounds the generated tokens, for generate stages.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Operation is the operation to call, for service stages.
	Operation string `json:"operation,omitempty"`
	// Body is the operation's argument, for service stages.
	Body json.RawMessage `json:"body,omitempty"`
}

// Output is what one stage made.
type Output struct {
	Vector    []float32       `json:"vector,omitempty"`
	Documents []Document      `json:"documents,omitempty"`
	Text      string          `json:"text,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// Usage is what one attempt consumed at its endpoint.
type Usage struct {
	PromptTokens    int `json:"prompt_tokens,omitempty"`
	CachedTokens    int `json:"cached_tokens,omitempty"`
	GeneratedTokens int `json:"generated_tokens,omitempty"`
	// EndpointUS is the time spent at the endpoint, in microseconds.
	EndpointUS int64 `json:"endpoint_us"`
}

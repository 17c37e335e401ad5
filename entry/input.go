package entry

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/settings"
)

// stageOutputs holds the outputs that later stages use.
type stageOutputs struct {
	vector    []float32
	documents []pipeline.Document
	text      string
}

// add stores the output of a stage.
func (c *stageOutputs) add(kind pipeline.Kind, out pipeline.Output) {
	switch kind {
	case pipeline.Encode:
		c.vector = out.Vector
	case pipeline.Retrieve, pipeline.Rerank:
		c.documents = out.Documents
	case pipeline.Generate:
		c.text = out.Text
	}
}

// stageInput builds the input of a stage from the request and the earlier outputs.
func stageInput(st settings.Stage, b Body, maxTokens int, c *stageOutputs) pipeline.Input {
	switch st.Kind {
	case pipeline.Encode:
		return pipeline.Input{Text: b.Question}
	case pipeline.Retrieve:
		return pipeline.Input{Text: b.Question, Vector: c.vector}
	case pipeline.Rerank:
		return pipeline.Input{Text: b.Question, Documents: c.documents}
	case pipeline.Generate:
		return pipeline.Input{Prompt: prompt(b.Question, c), Model: st.Model, MaxTokens: maxTokens}
	default:
		return pipeline.Input{Operation: st.Operation, Body: json.RawMessage(b.Action)}
	}
}

// prompt builds the prompt of a generate stage. The documents come first, so that
// questions on the same documents share a prefix in the engine's cache.
func prompt(question string, c *stageOutputs) string {
	var s strings.Builder
	for i, d := range c.documents {
		s.WriteString("[" + strconv.Itoa(i+1) + "] " + d.Text + "\n")
	}
	if c.text != "" {
		s.WriteString(c.text + "\n")
	}
	s.WriteString("Question: " + question + "\nAnswer:")
	return s.String()
}

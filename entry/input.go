package entry

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/azurelead/azurelead/pipeline"
	"github.com/azurelead/azurelead/settings"
)

// carried is what the stages run so far hand on to later ones.
type carried struct {
	vector    []float32
	documents []pipeline.Document
	text      string
}

// take adds the output of one stage.
func (c *carried) take(kind pipeline.Kind, out pipeline.Output) {
	switch kind {
	case pipeline.Encode:
		c.vector = out.Vector
	case pipeline.Retrieve, pipeline.Rerank:
		c.documents = out.Documents
	case pipeline.Generate:
		c.text = out.Text
	}
}

// stageInput makes the input of a stage from the request and what is carried.
func stageInput(st settings.Stage, b Body, maxTokens int, c *carried) pipeline.Input {
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

// prompt puts the documents first, so that questions on the same documents
// share a prefix in the engine's cache.
func prompt(question string, c *carried) string {
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

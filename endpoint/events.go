package endpoint

import (
	"bufio"
	"bytes"
	"io"

	"github.com/segmentio/encoding/json"
)

const (
	// eventBufferBytes is the initial size of a stream's read buffer.
	eventBufferBytes = 4 << 10
	// maxEventBytes limits the length of one event, which is one line of a stream.
	maxEventBytes = 1 << 20
)

var (
	dataField = []byte("data:")
	doneValue = []byte("[DONE]")
)

// completionEvent is an event of an engine's stream.
type completionEvent struct {
	Index   int                `json:"index"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage"`
}

type completionChoice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// eventReader reads the events of a stream. It reuses its event, so that a token needs no allocation
// except for its text.
type eventReader struct {
	lines   *bufio.Scanner
	event   completionEvent
	choices [1]completionChoice
	done    bool
}

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, eventBufferBytes), maxEventBytes)
	return &eventReader{lines: lines}
}

// next returns the next event, which is valid until the following call. At the end marker it sets
// done and returns nil. It returns an error if the stream ends before the marker.
func (e *eventReader) next() (*completionEvent, error) {
	for e.lines.Scan() {
		value, ok := bytes.CutPrefix(e.lines.Bytes(), dataField)
		if !ok {
			continue // a blank line, a comment or an unused field
		}
		value = bytes.TrimSpace(value)
		if bytes.Equal(value, doneValue) {
			e.done = true
			return nil, nil
		}
		return e.decode(value)
	}
	if err := e.lines.Err(); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}

func (e *eventReader) decode(value []byte) (*completionEvent, error) {
	e.choices[0] = completionChoice{}
	e.event = completionEvent{Index: -1, Choices: e.choices[:0]}
	if err := json.Unmarshal(value, &e.event); err != nil {
		return nil, Error.Wrap(err)
	}
	return &e.event, nil
}

package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge ends a stream whose event is above maxEventBytes.
var errEventTooLarge = Error.New("event larger than %d bytes", maxEventBytes)

// eventReader reads whole server-sent events. What an endpoint leaves off in
// the middle of an event is never returned.
type eventReader struct {
	br *bufio.Reader
}

// event is one event with the empty line that ends it.
type event struct {
	raw []byte
	// id is the event's number; 0 if it has none.
	id int64
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{br: bufio.NewReaderSize(r, 2048)} }

// next returns the next whole event. It returns io.EOF when the stream ended
// between two events, and io.ErrUnexpectedEOF when it ended within one.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.br.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(ev.raw) > maxEventBytes {
				return event{}, errEventTooLarge
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(ev.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		if len(ev.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && endsEvent(ev.raw) {
			return ev, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				ev.id = id
			}
		}
	}
}

// endsEvent reports whether an empty line follows a line, and not the part of a
// long one.
func endsEvent(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n")) ||
		bytes.Equal(raw, []byte("\n")) || bytes.Equal(raw, []byte("\r\n"))
}

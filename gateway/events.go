package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

var (
	// errEventTooLarge ends a stream that contains an event larger than maxEventBytes.
	errEventTooLarge = Error.New("event larger than %d bytes", maxEventBytes)
	// errNoProgress ends a stream of more than maxEventBytes without a new event.
	errNoProgress = Error.New("more than %d bytes without a new event", maxEventBytes)
)

// eventReader reads complete server-sent events. It never returns an event that the endpoint left
// unfinished.
type eventReader struct {
	br *bufio.Reader
}

// event is one event, including the empty line that terminates it.
type event struct {
	raw []byte
	// id is the event's number, or 0 if it has none.
	id int64
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{br: bufio.NewReaderSize(r, 2048)} }

// next returns the next complete event. It returns io.EOF if the stream ended between two events
// and io.ErrUnexpectedEOF if it ended within one.
func (e *eventReader) next() (event, error) {
	var ev event
	lineBegun := false
	for {
		line, err := e.br.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(ev.raw) > maxEventBytes {
				return event{}, errEventTooLarge
			}
			lineBegun = true
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
		if value, found := bytes.CutPrefix(text, []byte("id:")); found && !lineBegun {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				ev.id = id
			}
		}
		lineBegun = false
	}
}

// endsEvent reports whether raw ends with an empty line, as opposed to the last fragment of a line
// that was longer than the read buffer.
func endsEvent(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n")) ||
		bytes.Equal(raw, []byte("\n")) || bytes.Equal(raw, []byte("\r\n"))
}

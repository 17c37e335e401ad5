package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

var (
	// errEventTooLarge ends a stream that contains an event larger than maxEventBytes.
	errEventTooLarge = Error.New("event larger than %d bytes", maxEventBytes)
	// errNoProgress ends a stream of more than maxEventBytes without a new event.
	errNoProgress = Error.New("more than %d bytes without a new event", maxEventBytes)
	// errNotAnEvent ends a stream that contains bytes that are not an event in the platform's form, such as
	// an error response that an endpoint has written into it.
	errNotAnEvent = Error.New("bytes that are not an event")
	// errUnnumberedEvent ends a stream with an event that carries data and no number. The platform's engines number
	// all of their events, so that it is an error or the event of another stream.
	errUnnumberedEvent = Error.New("event without a number")
	// errNothingFollows ends an attempt that was to continue a stream and has no events. The endpoint before
	// may have failed between the last event and the end of the stream, but an endpoint in trouble answers
	// alike: the client resumes the stream if it needs to.
	errNothingFollows = Error.New("a complete response without the events that follow")
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

// next returns the next complete event. It returns io.EOF if the stream ended between two events,
// io.ErrUnexpectedEOF if it ended within one, and errNotAnEvent for bytes that are not an event.
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
		if len(bytes.TrimRight(line, "\r\n")) == 0 && endsEvent(ev.raw) {
			ev.id, err = parseEvent(ev.raw)
			return ev, err
		}
	}
}

// endsEvent reports whether raw ends with an empty line, as opposed to the last fragment of a line
// that was longer than the read buffer.
func endsEvent(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n")) ||
		bytes.Equal(raw, []byte("\n")) || bytes.Equal(raw, []byte("\r\n"))
}

package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/azurelead/azurelead/upstream"
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
	body io.Reader
	br   *bufio.Reader
	// held is what the last event takes beside the read buffer, in bytes; 0 for most events.
	held int
}

// event is one event, including the empty line that terminates it.
type event struct {
	raw []byte
	// id is the event's number, or 0 if it has none.
	id int64
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, br: bufio.NewReaderSize(body, eventBufferSize)}
}

// eventBufferSize is the size of the read buffer, in bytes. It is enough for a few events.
const eventBufferSize = 2 << 10

// next returns the next complete event. It returns io.EOF if the stream ended between two events,
// io.ErrUnexpectedEOF if it ended within one, and errNotAnEvent for bytes that are not an event. An event counts
// towards the budget of the response until next is called again.
func (e *eventReader) next() (event, error) {
	var ev event
	if err := e.hold(0); err != nil {
		return event{}, err
	}
	for {
		line, err := e.br.ReadSlice('\n')
		raw, holdErr := e.add(ev.raw, line)
		if holdErr != nil {
			return event{}, holdErr
		}
		ev.raw = raw
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

// add appends part to raw, the bytes of an event so far, after it has stated a larger buffer to the budget.
func (e *eventReader) add(raw, part []byte) ([]byte, error) {
	if size := len(raw) + len(part); size > cap(raw) && size > eventBufferSize {
		size = max(size, min(2*cap(raw), maxEventBytes+eventBufferSize))
		if err := e.hold(size); err != nil {
			return nil, err
		}
		raw = append(make([]byte, 0, size), raw...)
	}
	return append(raw, part...), nil
}

// hold states how many bytes an event takes; 0 after its end.
func (e *eventReader) hold(n int) error {
	if n == e.held {
		return nil
	}
	e.held = n
	return upstream.Hold(e.body, n)
}

// endsEvent reports whether raw ends with an empty line, as opposed to the last fragment of a line
// that was longer than the read buffer.
func endsEvent(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n")) ||
		bytes.Equal(raw, []byte("\n")) || bytes.Equal(raw, []byte("\r\n"))
}

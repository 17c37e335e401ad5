package link

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxRetainedBuffer is the size of the largest buffer that is kept for reuse.
const maxRetainedBuffer = 64 << 10

// streamOptions configures a stream.
type streamOptions struct {
	maxFrame     int
	maxPending   int
	writeTimeout time.Duration
	idleTimeout  time.Duration
	metrics      *Metrics
}

// stream is the jsonrpc2.ObjectStream of a link. Messages of the data path bypass jsonrpc2.Conn,
// which decodes each message several times. A sender never waits for the write of another one: the
// goroutine that is writing also writes the messages added meanwhile.
type stream struct {
	conn    net.Conn
	options streamOptions
	br      *bufio.Reader
	frame   []byte
	// route handles a message of the data path and reports whether it did. Other messages go to
	// jsonrpc2.
	route func(*envelope) (bool, error)

	// reads counts the reads that returned bytes. The silence detector compares it from tick to
	// tick.
	reads atomic.Uint64

	mu      sync.Mutex
	pending []byte
	spare   []byte
	writing bool
	err     error
}

func newStream(conn net.Conn, o streamOptions) *stream {
	s := &stream{conn: conn, options: o}
	s.br = bufio.NewReaderSize(readCounter{s}, 16<<10)
	return s
}

// readCounter counts received bytes and extends the idle deadline.
type readCounter struct{ s *stream }

// Read implements io.Reader.
func (r readCounter) Read(p []byte) (int, error) {
	s := r.s
	if s.options.idleTimeout > 0 {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.options.idleTimeout))
	}
	n, err := s.conn.Read(p)
	if n > 0 {
		s.reads.Add(1)
		s.options.metrics.bytesIn.Add(float64(n))
	}
	return n, err
}

// ReadObject implements jsonrpc2.ObjectStream for the messages that route does not handle.
func (s *stream) ReadObject(v any) error {
	for {
		data, err := readFrame(s.br, s.options.maxFrame, s.frame)
		s.frame = data
		if err != nil {
			return err
		}
		e, err := parseEnvelope(data)
		if err != nil {
			return err
		}
		handled, err := s.route(&e)
		if err != nil {
			return err
		}
		if !handled {
			err = json.Unmarshal(data, v)
		}
		s.releaseLargeFrame()
		if !handled {
			return err
		}
	}
}

// releaseLargeFrame releases the buffer of a large frame that has been handled.
func (s *stream) releaseLargeFrame() {
	if cap(s.frame) > maxRetainedBuffer {
		s.frame = nil
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return Error.Wrap(err)
	}
	return s.write(data)
}

// send writes a message of the data path. After an error, no byte of the message has been or will
// be written.
func (s *stream) send(m *outgoingMessage) error {
	buf := encodeBufferPool.Get().(*[]byte)
	data, err := m.encode((*buf)[:0])
	if err == nil {
		err = s.write(data)
	}
	if cap(data) <= maxRetainedBuffer {
		*buf = data
	}
	encodeBufferPool.Put(buf)
	return err
}

// encodeBufferPool holds buffers for encoded messages until they are copied to a stream.
var encodeBufferPool = sync.Pool{New: func() any { return new([]byte) }}

func (s *stream) write(data []byte) error {
	if len(data) > s.options.maxFrame {
		return Error.New("message of %d bytes is above the bound of %d", len(data), s.options.maxFrame)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if len(s.pending)+len(data) > s.options.maxPending {
		s.failLocked(Error.New("peer does not read: %d bytes wait", len(s.pending)))
		return s.err
	}
	s.pending = appendFrame(s.pending, data)
	if !s.writing {
		s.writePendingLocked()
	}
	return nil
}

// writePendingLocked writes the pending bytes, including those added during its writes.
func (s *stream) writePendingLocked() {
	s.writing = true
	for len(s.pending) > 0 && s.err == nil {
		batch := s.pending
		s.pending = s.spare[:0]
		s.mu.Unlock()
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.options.writeTimeout))
		n, err := s.conn.Write(batch)
		s.options.metrics.bytesOut.Add(float64(n))
		s.options.metrics.flushes.Inc()
		s.mu.Lock()
		s.spare = nil
		if cap(batch) <= maxRetainedBuffer {
			s.spare = batch[:0]
		}
		if err != nil {
			s.failLocked(Error.Wrap(err))
		}
	}
	s.writing = false
}

// failLocked records the error and closes the connection. The failing read then ends the link.
func (s *stream) failLocked(err error) {
	if s.err == nil {
		s.err = err
		s.pending = nil
		_ = s.conn.Close()
	}
}

// fail ends the stream with an error.
func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failLocked(err)
}

// failure returns the error that ended the stream, or nil.
func (s *stream) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	s.fail(Error.New("closed"))
	return nil
}

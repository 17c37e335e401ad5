package link

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// keepBuffer is the largest buffer that a quiet link keeps.
const keepBuffer = 64 << 10

// streamOptions bounds one stream.
type streamOptions struct {
	maxFrame     int
	maxPending   int
	writeTimeout time.Duration
	idleBound    time.Duration
	metrics      *Metrics
}

// stream is the jsonrpc2.ObjectStream of a link. Messages of the data path are
// routed past jsonrpc2.Conn, which decodes each message several times over.
// Senders never wait for each other's writes: one of them writes for all.
type stream struct {
	conn  net.Conn
	o     streamOptions
	br    *bufio.Reader
	frame []byte
	// route takes a message of the data path, or leaves it to jsonrpc2.
	route func(*envelope) (bool, error)

	// reads counts reads that brought bytes; the silence watch compares it.
	reads atomic.Uint64

	mu      sync.Mutex
	out     []byte
	spare   []byte
	writing bool
	err     error
}

func newStream(conn net.Conn, o streamOptions) *stream {
	s := &stream{conn: conn, o: o}
	s.br = bufio.NewReaderSize(readCounter{s}, 16<<10)
	return s
}

// readCounter counts bytes and moves the idle deadline on.
type readCounter struct{ s *stream }

// Read implements io.Reader.
func (r readCounter) Read(p []byte) (int, error) {
	s := r.s
	if s.o.idleBound > 0 {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.o.idleBound))
	}
	n, err := s.conn.Read(p)
	if n > 0 {
		s.reads.Add(1)
		s.o.metrics.bytesIn.Add(float64(n))
	}
	return n, err
}

// ReadObject implements jsonrpc2.ObjectStream for the messages that route leaves.
func (s *stream) ReadObject(v any) error {
	for {
		data, err := readFrame(s.br, s.o.maxFrame, s.frame)
		s.frame = data
		if err != nil {
			return err
		}
		e, err := parseEnvelope(data)
		if err != nil {
			return err
		}
		taken, err := s.route(&e)
		if err != nil {
			return err
		}
		if !taken {
			err = json.Unmarshal(data, v)
		}
		s.trim()
		if !taken {
			return err
		}
	}
}

// trim gives a large frame's buffer back once it has been handled.
func (s *stream) trim() {
	if cap(s.frame) > keepBuffer {
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

// send writes a message of the data path. An error means that no byte of it
// was or will be written.
func (s *stream) send(m *outMessage) error {
	buf := encodeBuffers.Get().(*[]byte)
	data, err := m.encode((*buf)[:0])
	if err == nil {
		err = s.write(data)
	}
	if cap(data) <= keepBuffer {
		*buf = data
	}
	encodeBuffers.Put(buf)
	return err
}

// encodeBuffers holds buffers for messages until they are copied to a stream.
var encodeBuffers = sync.Pool{New: func() any { return new([]byte) }}

func (s *stream) write(data []byte) error {
	if len(data) > s.o.maxFrame {
		return Error.New("message of %d bytes is above the bound of %d", len(data), s.o.maxFrame)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if len(s.out)+len(data) > s.o.maxPending {
		s.failLocked(Error.New("peer does not read: %d bytes wait", len(s.out)))
		return s.err
	}
	s.out = appendFrame(s.out, data)
	if !s.writing {
		s.drainLocked()
	}
	return nil
}

// drainLocked writes what waits, also what others add meanwhile.
func (s *stream) drainLocked() {
	s.writing = true
	for len(s.out) > 0 && s.err == nil {
		batch := s.out
		s.out = s.spare[:0]
		s.mu.Unlock()
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.o.writeTimeout))
		n, err := s.conn.Write(batch)
		s.o.metrics.bytesOut.Add(float64(n))
		s.o.metrics.flushes.Inc()
		s.mu.Lock()
		s.spare = nil
		if cap(batch) <= keepBuffer {
			s.spare = batch[:0]
		}
		if err != nil {
			s.failLocked(Error.Wrap(err))
		}
	}
	s.writing = false
}

// failLocked closes the connection; the reader then ends the link.
func (s *stream) failLocked(err error) {
	if s.err == nil {
		s.err = err
		s.out = nil
		_ = s.conn.Close()
	}
}

// fail ends the stream for a reason.
func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failLocked(err)
}

// failure returns why the stream ended.
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

package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"

	fastjson "github.com/segmentio/encoding/json"
	"github.com/sourcegraph/jsonrpc2"
)

// readStep bounds how much memory a peer's claim of a frame's length takes
// before the bytes have arrived.
const readStep = 64 << 10

// envelope is a JSON-RPC 2.0 message with its payload left raw.
type envelope struct {
	JSONRPC string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id,omitempty"`
	Method  string          `json:"method,omitempty"`
	Params  json.RawMessage `json:"params,omitempty"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   *jsonrpc2.Error `json:"error,omitempty"`
}

// readFrame reads one frame (an unsigned varint length, then the message, as
// jsonrpc2.VarintObjectCodec writes it) into buf, which it grows as bytes arrive.
func readFrame(r *bufio.Reader, limit int, buf []byte) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return buf, err
	}
	if n > uint64(limit) {
		return buf, Error.New("frame of %d bytes is above the bound of %d", n, limit)
	}
	buf = buf[:0]
	for left := int(n); left > 0; {
		step := min(left, max(readStep, cap(buf)-len(buf)))
		start := len(buf)
		buf = append(buf, make([]byte, step)...)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return buf, err
		}
		left -= step
	}
	return buf, nil
}

// appendFrame appends the length of data and data.
func appendFrame(dst, data []byte) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(data))), data...)
}

// parseEnvelope parses a message; the raw members alias data.
func parseEnvelope(data []byte) (envelope, error) {
	var e envelope
	rest, err := fastjson.Parse(data, &e, fastjson.DontCopyRawMessage)
	if err != nil {
		return e, Error.Wrap(err)
	}
	if len(rest) > 0 {
		return e, Error.New("%d bytes after the message", len(rest))
	}
	return e, nil
}

// outMessage is a message that this package writes itself. Runs use the
// attempt id as the JSON-RPC id, so that a reply can match nothing else.
type outMessage struct {
	JSONRPC string `json:"jsonrpc"`
	ID      string `json:"id,omitempty"`
	Method  string `json:"method,omitempty"`
	Params  any    `json:"params,omitempty"`
	Result  any    `json:"result,omitempty"`
}

func (m *outMessage) encode(dst []byte) ([]byte, error) {
	m.JSONRPC = "2.0"
	b, err := fastjson.Append(dst, m, 0)
	return b, Error.Wrap(err)
}

// stringID returns the id of messages of the data path; numeric ids belong to
// the control calls that jsonrpc2.Conn matches.
func (e *envelope) stringID() (string, bool) {
	if len(e.ID) < 2 || e.ID[0] != '"' {
		return "", false
	}
	if inner := e.ID[1 : len(e.ID)-1]; bytes.IndexByte(inner, '\\') < 0 {
		return string(inner), true
	}
	var s string
	err := fastjson.Unmarshal(e.ID, &s)
	return s, err == nil
}

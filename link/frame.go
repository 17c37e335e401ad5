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

// maxReadStep bounds the memory that is allocated for the declared length of a frame before its
// bytes have arrived.
const maxReadStep = 64 << 10

// envelope is a JSON-RPC 2.0 message whose payload is not decoded.
type envelope struct {
	JSONRPC string          `json:"jsonrpc"`
	ID      json.RawMessage `json:"id,omitempty"`
	Method  string          `json:"method,omitempty"`
	Params  json.RawMessage `json:"params,omitempty"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   *jsonrpc2.Error `json:"error,omitempty"`
}

// readFrame reads one frame into buf, which it grows as bytes arrive. A frame is an unsigned varint
// length followed by the message, as jsonrpc2.VarintObjectCodec writes it.
func readFrame(r *bufio.Reader, limit int, buf []byte) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return buf, err
	}
	if n > uint64(limit) {
		return buf, Error.New("frame of %d bytes is above the bound of %d", n, limit)
	}
	buf = buf[:0]
	for remaining := int(n); remaining > 0; {
		chunk := min(remaining, max(maxReadStep, cap(buf)-len(buf)))
		start := len(buf)
		buf = append(buf, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return buf, err
		}
		remaining -= chunk
	}
	return buf, nil
}

// appendFrame appends data to dst, preceded by its length.
func appendFrame(dst, data []byte) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(data))), data...)
}

// parseEnvelope parses a message. The raw members alias data.
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

// outgoingMessage is a message that this package encodes itself. Calls of the data path use the
// attempt id as their JSON-RPC id, so that a reply cannot match another attempt.
type outgoingMessage struct {
	JSONRPC string `json:"jsonrpc"`
	ID      string `json:"id,omitempty"`
	Method  string `json:"method,omitempty"`
	Params  any    `json:"params,omitempty"`
	Result  any    `json:"result,omitempty"`
}

func (m *outgoingMessage) encode(dst []byte) ([]byte, error) {
	m.JSONRPC = "2.0"
	b, err := fastjson.Append(dst, m, 0)
	return b, Error.Wrap(err)
}

// stringID returns the id of a message of the data path, and reports whether there is one. Numeric
// ids belong to the control calls that jsonrpc2.Conn matches.
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

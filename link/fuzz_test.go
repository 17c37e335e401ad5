package link

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// FuzzFrames sends arbitrary bytes to an agent's link, with and without a valid handshake before
// them. The only permitted effect is the end of that link. The agent must run only well-formed
// attempts, and the server must not fail, because it also serves other links.
func FuzzFrames(f *testing.F) {
	hello := `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"entry":"e"}}`
	for _, message := range []string{
		hello,
		`{"jsonrpc":"2.0","id":"a","method":"run","params":{"attempt":"a"}}`,
		`{"jsonrpc":"2.0","id":"a","method":"run","params":{"attempt":"b"}}`,
		`{"jsonrpc":"2.0","id":"a","method":"attach","params":{"attempt":"a","from":-1}}`,
		`{"jsonrpc":"2.0","method":"cancel","params":{"attempt":"a"}}`,
		`{"jsonrpc":"2.0","id":2,"method":"settle","params":null}`,
		`{"jsonrpc":"2.0","id":3,"result":{}}`,
		`[{"jsonrpc":"2.0","id":1,"method":"ping"}]`,
		`{"id":{},"method":7}`, `null`, `{`, ``,
	} {
		f.Add(appendFrame(nil, []byte(message)), false)
		f.Add(appendFrame(nil, []byte(message)), true)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, true)
	f.Add([]byte{0x80}, false)
	f.Fuzz(func(t *testing.T, data []byte, handshake bool) {
		agent := &fakeAgent{run: func(_ context.Context, p RunParams, _ func(string)) RunResult {
			if p.Attempt == "" && !bytes.Contains(data, []byte(`""`)) {
				t.Error("ran an attempt without an id")
			}
			return RunResult{Run: contract.Ran}
		}}
		s := NewServer(agent, ServerOptions{MaxFrameBytes: 1 << 16, IdleTimeout: time.Second})
		clientConn, serverConn := net.Pipe()
		s.addConn(serverConn)
		go func() { _, _ = io.Copy(io.Discard, clientConn) }()
		if handshake {
			_, _ = clientConn.Write(appendFrame(nil, []byte(hello)))
		}
		_ = clientConn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = clientConn.Write(data)
		_ = clientConn.Close()
		s.wg.Wait()
	})
}

// The declared length of a frame must not make the reader allocate memory before the bytes arrive.
func TestFrameLengthIsNotTrusted(t *testing.T) {
	header := appendFrame(nil, make([]byte, 1<<20))[:10]
	buf, err := readFrame(bufio.NewReader(bytes.NewReader(header)), 1<<20, nil)
	if err == nil || cap(buf) > 2*maxReadStep {
		t.Errorf("allocated %d bytes for a declared length alone: %v", cap(buf), err)
	}
	if _, err := readFrame(bufio.NewReader(bytes.NewReader(header)), 1<<10, nil); !Error.Has(err) {
		t.Errorf("frame above the size limit: %v", err)
	}
}

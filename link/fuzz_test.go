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

// FuzzFrames sends a stranger's bytes to an agent's link, before and after a
// good handshake: whatever comes, the link may only end, the agent must run
// nothing but well-formed attempts, and other links must go on.
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
	f.Fuzz(func(t *testing.T, data []byte, greeted bool) {
		agent := &fakeAgent{run: func(_ context.Context, p RunParams, _ func(string)) RunResult {
			if p.Attempt == "" && !bytes.Contains(data, []byte(`""`)) {
				t.Error("ran an attempt without an id")
			}
			return RunResult{Run: contract.Ran}
		}}
		s := NewServer(agent, ServerOptions{MaxFrameBytes: 1 << 16, IdleTimeout: time.Second})
		mine, theirs := net.Pipe()
		s.add(theirs)
		go func() { _, _ = io.Copy(io.Discard, mine) }()
		if greeted {
			_, _ = mine.Write(appendFrame(nil, []byte(hello)))
		}
		_ = mine.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = mine.Write(data)
		_ = mine.Close()
		s.wg.Wait()
	})
}

// A frame's claimed length must not make the reader allocate ahead of the bytes.
func TestFrameLengthIsNotTrusted(t *testing.T) {
	claim := appendFrame(nil, make([]byte, 1<<20))[:10]
	buf, err := readFrame(bufio.NewReader(bytes.NewReader(claim)), 1<<20, nil)
	if err == nil || cap(buf) > 2*readStep {
		t.Errorf("took %d bytes for a claim alone: %v", cap(buf), err)
	}
	if _, err := readFrame(bufio.NewReader(bytes.NewReader(claim)), 1<<10, nil); !Error.Has(err) {
		t.Errorf("frame above the bound: %v", err)
	}
}

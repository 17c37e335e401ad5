package link

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// scriptedAgent answers the handshake, waits for two runs, and then sends the given messages
// unchanged.
func scriptedAgent(t *testing.T, messages ...string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		for i := 0; ; i++ {
			data, err := readFrame(r, 1<<20, nil)
			if err != nil {
				return
			}
			var m struct {
				ID json.RawMessage `json:"id"`
			}
			_ = json.Unmarshal(data, &m)
			switch i {
			case 0:
				_, _ = conn.Write(appendFrame(nil, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"result":{}}`, m.ID)))
			case 2:
				for _, s := range messages {
					_, _ = conn.Write(appendFrame(nil, []byte(s)))
				}
			}
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String()
}

// Late, repeated or mismatched messages must not be delivered, and must not keep a caller from the
// complete answer to its own request. A gap in the tokens ends the call as Lost, so that it is
// taken over.
func TestCrossedMessagesReachNobody(t *testing.T) {
	chunks := func(attempt string, first int, tokens string) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","method":"chunks","params":{"chunks":[{"attempt":%q,"first":%d,"tokens":[%s]}]}}`, attempt, first, tokens)
	}
	result := func(id, attempt string) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%q,"result":{"attempt":%q,"run":"ran","count":4}}`, id, attempt)
	}
	for name, tc := range map[string]struct {
		messages []string
		lost     bool
	}{
		"doubled":           {[]string{chunks("a", 0, `"1","2"`), chunks("a", 0, `"1","2"`), chunks("a", 1, `"2","3","4"`)}, false},
		"late":              {[]string{result("gone", "gone"), chunks("gone", 0, `"x"`), chunks("a", 0, `"1","2","3","4"`)}, false},
		"another's":         {[]string{chunks("b", 0, `"x"`), chunks("a", 0, `"1","2","3","4"`), chunks("b", 1, `"y"`)}, false},
		"mismatched result": {[]string{chunks("a", 0, `"1","2"`), result("a", "b")}, true},
		"gap":               {[]string{chunks("a", 0, `"1"`), chunks("a", 2, `"3"`)}, true},
	} {
		c := dial(t, scriptedAgent(t, append(tc.messages, result("a", "a"))...), ClientOptions{})
		otherCtx, stop := context.WithCancel(context.Background())
		otherErr := make(chan error, 1)
		go func() {
			_, err := c.Run(otherCtx, RunParams{Attempt: "b"}, nil)
			otherErr <- err
		}()
		var got strings.Builder
		res, err := c.Run(context.Background(), RunParams{Attempt: "a"}, func(ch Chunk) { got.WriteString(strings.Join(ch.Tokens, "")) })
		if Lost.Has(err) != tc.lost || (err != nil) != tc.lost {
			t.Errorf("%s: got error %v, want lost: %v", name, err, tc.lost)
		}
		if diff := cmp.Diff("1234", got.String()); !tc.lost && (diff != "" || res.Attempt != "a") {
			t.Errorf("%s: got %+v, tokens differ: %s", name, res, diff)
		}
		stop()
		if err := <-otherErr; err != context.Canceled {
			t.Errorf("%s: other caller: got %v, want canceled", name, err)
		}
	}
}

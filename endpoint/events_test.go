package endpoint

import (
	"strings"
	"testing"
)

// FuzzEvents checks that no stream of an engine makes the reader panic or count a token that it did
// not emit.
func FuzzEvents(f *testing.F) {
	complete := "data: {\"id\":\"a\",\"index\":0,\"choices\":[{\"text\":\"hot \"}]}\n\n" +
		"data: {\"index\":1,\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]," +
		"\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n"
	f.Add(complete)
	f.Add(complete[:40])
	f.Add(": comment\r\n\r\ndata:{\"index\":5,\"choices\":[{\"text\":\"late\"}]}\n\n")
	f.Add("data: {\"choices\":[{},{\"text\":\"two\"}]}\n\ndata: null\n\ndata: [DONE]\n")
	f.Add("event: error\ndata: \xff\xfe\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		emitted := 0
		g := &generation{emit: func(string) { emitted++ }}
		events := newEventReader(strings.NewReader(stream))
		for {
			event, err := events.next()
			if err != nil || events.done {
				break
			}
			if g.add(event) != nil {
				break
			}
		}
		if emitted != g.nextIndex {
			t.Fatalf("emitted %d tokens, counted %d", emitted, g.nextIndex)
		}
	})
}

// BenchmarkEvents measures reading one token of a long stream.
func BenchmarkEvents(b *testing.B) {
	const line = "data: {\"id\":\"a\",\"index\":0,\"choices\":[{\"text\":\"hot \"}]}\n\n"
	stream := strings.Repeat(line, b.N)
	events := newEventReader(strings.NewReader(stream))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := events.next(); err != nil {
			b.Fatal(err)
		}
	}
}

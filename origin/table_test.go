package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func recordOf(attempt string) Record {
	return Record{Key: Key(attempt), Service: "llm", Version: "v1"}
}

func TestOriginsAreKeptForTheirTTL(t *testing.T) {
	own, peer := recordOf("own"), recordOf("peer")
	cases := []struct {
		name  string
		after time.Duration
		end   string
		own   bool
		peer  bool
	}{
		{"at once", 0, "", true, true},
		{"at the end", TTL, "", true, true},
		{"later", TTL + time.Millisecond, "", false, false},
		{"one has ended", 0, "own", false, true},
	}
	for _, c := range cases {
		table := New()
		table.Begin(epoch, own)
		table.Merge(epoch, []Record{peer})
		if c.end != "" {
			table.End(Key(c.end))
		}
		if got, found := table.Find(epoch.Add(c.after), own.Key); found != c.own || found && got != own {
			t.Errorf("%s: own stream is %+v, %t", c.name, got, found)
		}
		if got, found := table.Find(epoch.Add(c.after), peer.Key); found != c.peer || found && got != peer {
			t.Errorf("%s: peer's stream is %+v, %t", c.name, got, found)
		}
	}
}

// Only the streams of this process that have not ended are announced, each once.
func TestUntoldOrigins(t *testing.T) {
	table := New()
	table.Begin(epoch, recordOf("ended"))
	table.Begin(epoch, recordOf("open"))
	table.Begin(epoch, Record{Key: Key("other"), Service: "other", Version: "v1"})
	table.Merge(epoch, []Record{recordOf("peer's")})
	table.End(Key("ended"))
	if diff := cmp.Diff([]Record{recordOf("open")}, table.TakeUnannounced(epoch, "llm")); diff != "" {
		t.Error(diff)
	}
	if again := table.TakeUnannounced(epoch, "llm"); again != nil {
		t.Errorf("%v is returned twice", again)
	}
	table.Begin(epoch, recordOf("late"))
	if late := table.TakeUnannounced(epoch.Add(TTL+time.Second), "llm"); late != nil {
		t.Errorf("%v is returned after its TTL", late)
	}
}

// The memory of a table is bounded, also that of streams that are not announced yet.
func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range 3 * capacity {
		table.Begin(epoch, recordOf(fmt.Sprint(i)))
	}
	if n := len(table.TakeUnannounced(epoch, "llm")); n != capacity || table.entries.Len() != capacity || len(table.unannounced) != 0 {
		t.Errorf("%d unannounced of %d streams, %d left, want %d", n, table.entries.Len(), len(table.unannounced), capacity)
	}
}

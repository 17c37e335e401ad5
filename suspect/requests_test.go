package suspect

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func newRequests() *Requests { return NewRequests(NewParts(nil), nil) }

// crashRequests records crashes of the endpoints from first to last with the requests in flight.
func (t *Requests) crashRequests(first, last int, digests ...string) {
	for i := first; i <= last; i++ {
		for _, d := range digests {
			t.Crashed(fmt.Sprint("e", i), d)
		}
	}
}

func TestRefusedRequests(t *testing.T) {
	cases := []struct {
		name   string
		record func(t *Requests)
		parts  []string
		want   bool
	}{
		{"too few crashes", func(t *Requests) { t.crashRequests(1, 2, "q") }, nil, false},
		{"enough crashes", func(t *Requests) { t.crashRequests(1, 3, "q") }, nil, true},
		{"many copies in flight at two crashes", func(t *Requests) { t.crashRequests(1, 2, "q", "q", "q", "q") }, nil, false},
		{"a good end after the crashes", func(t *Requests) { t.crashRequests(1, 5, "q"); t.EndedWell("q") }, nil, false},
		{"crashes after a good end", func(t *Requests) { t.EndedWell("q"); t.crashRequests(1, 3, "q") }, nil, true},
		{"good ends between the crashes", func(t *Requests) { t.crashRequests(1, 2, "q"); t.EndedWell("q"); t.crashRequests(3, 4, "q") }, nil, false},
		{"beside a crashing request", func(t *Requests) { t.crashRequests(1, 4, "bad"); t.crashRequests(1, 3, "q") }, nil, false},
		{"the crashing request beside another", func(t *Requests) { t.crashRequests(1, 4, "q"); t.crashRequests(1, 3, "sound") }, nil, true},
		{"two that are always in flight together", func(t *Requests) { t.crashRequests(1, 4, "q", "other") }, nil, false},
		{"two that are in flight together at every one of many crashes", func(t *Requests) { t.crashRequests(1, 5, "q", "other") }, nil, true},
		{"further crashes than those beside a crashing request", func(t *Requests) { t.crashRequests(1, 6, "bad"); t.crashRequests(4, 9, "q") }, nil, true},
		{"beside a crashing part", func(t *Requests) {
			t.crashRequests(1, 8, "q")
			for i := range 8 {
				t.parts.Crashed(fmt.Sprint("e", i+1), []string{"dead", "shared"})
			}
		}, []string{"shared"}, false},
		{"the crashing request itself holds the part", func(t *Requests) {
			t.crashRequests(1, 3, "q")
			for i := range 3 {
				t.parts.Crashed(fmt.Sprint("e", i+1), []string{"dead"})
			}
		}, []string{"dead"}, true},
		{"beside two crashing parts", func(t *Requests) {
			t.crashRequests(1, 8, "q")
			for i := range 8 {
				t.parts.Crashed(fmt.Sprint("e", i+1), []string{fmt.Sprint("dead", i%2)})
			}
		}, nil, false},
	}
	for _, c := range cases {
		table := newRequests()
		c.record(table)
		if got := table.Refused("q", c.parts); got != c.want {
			t.Errorf("%s: refused %t, want %t", c.name, got, c.want)
		}
	}
}

// A good end at one entry must clear the request at the others, whatever they have seen, and older marks must not
// return. Entries that count the crashes of one endpoint apart count it once.
func TestGoodEndClearsTheRequestEverywhere(t *testing.T) {
	one, two, three := newRequests(), newRequests(), newRequests()
	one.crashRequests(1, 2, "q")
	two.crashRequests(2, 3, "q")
	old := one.Marks()
	two.Merge(old)
	three.Merge(two.Marks())
	if !two.Refused("q", nil) || !three.Refused("q", nil) {
		t.Fatal("a request under which three endpoints crashed is not refused")
	}
	one.EndedWell("q")
	two.Merge(one.Marks())
	three.Merge(two.Marks())
	three.Merge(old)
	if two.Refused("q", nil) || three.Refused("q", nil) {
		t.Error("a request that ended well elsewhere is refused")
	}
}

// One request that comes again must not get the parts of its prompt refused, which other requests share. Entries that
// have seen different requests must come to the same result in any order.
func TestPartIsNotBlamedForOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := NewParts(nil), NewParts(nil)
		for i := range 4 {
			one.Crashed(fmt.Sprint("e", i), []string{"p"}, "bad")
		}
		two.Crashed("e5", []string{"p"}, "bad")
		two.Merge(one.Marks())
		time.Sleep(partSettleTime)
		if one.Refused([]string{"p"}) || two.Refused([]string{"p"}) {
			t.Error("the part of one crashing request is refused")
		}
		for i, digest := range []string{"c", "a", "d"} {
			two.Crashed("e5", []string{"p"}, digest)
			if !two.Refused([]string{"p"}) {
				t.Errorf("the part is not refused after crashes under %d requests", i+2)
			}
			one.Merge(two.Marks())
			two.Merge(one.Marks())
		}
		if diff := cmp.Diff(one.Marks(), two.Marks()); diff != "" || !one.Refused([]string{"p"}) {
			t.Errorf("the other entry does not refuse the part: %s", diff)
		}
		if n := len(one.Marks()[0].Requests); n != maxMarkRequests {
			t.Errorf("a mark names %d requests", n)
		}
	})
}

// What ran beside many crashes must neither evict the mark of a crashing request nor keep it, or a cleared one, out of
// the messages to peers.
func TestMarksBesideCrashesDoNotHideTheCrashingRequest(t *testing.T) {
	table, peer := newRequests(), newRequests()
	table.crashRequests(1, 3, "bad")
	table.crashRequests(1, 4, "cleared")
	peer.Merge(table.Marks())
	table.EndedWell("cleared")
	for i := range 3 * partCapacity {
		table.crashRequests(i, i, fmt.Sprint("beside", i))
	}
	peer.Merge(table.Marks())
	for _, entry := range []*Requests{table, peer} {
		if !entry.Refused("bad", nil) || entry.Refused("cleared", nil) {
			t.Error("the mark of the crashing or the cleared request was lost")
		}
	}
	late := newRequests()
	for range partCapacity {
		late.Merge(table.Marks())
	}
	if n := late.marks.Len(); n < partCapacity/2 {
		t.Errorf("a peer has received only %d marks", n)
	}
}

// crashLoad is a load in which something crashes endpoints beside a few sound requests that are asked again and again.
type crashLoad struct {
	random   *rand.Rand
	tables   []*Requests
	inFlight []loadRun
	// messages are on their way between entries.
	messages []loadMessage
	boots    int
	crashes  []time.Time
	// late counts the crashing requests that ran from contactMs after the crash that counts, refused and asked
	// the sound ones from twice that time after the fifth crash.
	late, refused, asked int
}

// beginTime is the time after which a run is no longer beginning its answer.
const beginTime = 300 * time.Millisecond

// loadRun is a request at an endpoint until a time. If it crashes the endpoint, it does so then.
type loadRun struct {
	table    int
	digest   string
	parts    []string
	endpoint int
	started  time.Time
	end      time.Time
	// begun is set once the answer has begun.
	begun   bool
	crashes bool
}

type loadMessage struct {
	due             time.Time
	to              int
	parts, requests []PartMark
}

// gossip sends an entry's marks to all others.
func (l *crashLoad) gossip(from int, delay time.Duration) {
	for to := range l.tables {
		l.messages = append(l.messages, loadMessage{time.Now().Add(delay), to, l.tables[from].parts.Marks(), l.tables[from].Marks()})
	}
}

// deliver delivers the messages that are due.
func (l *crashLoad) deliver() {
	waiting := l.messages[:0]
	for _, m := range l.messages {
		if time.Now().Before(m.due) {
			waiting = append(waiting, m)
			continue
		}
		l.tables[m.to].parts.Merge(m.parts)
		l.tables[m.to].Merge(m.requests)
	}
	l.messages = waiting
}

// crash crashes an endpoint with all that is in flight there; it is back under another name.
func (l *crashLoad) crash(endpoint int, delay time.Duration) {
	l.boots++
	name := fmt.Sprintf("e%d/%d", endpoint, l.boots)
	l.crashes = append(l.crashes, time.Now())
	var left []loadRun
	entries := make(map[int]bool)
	for _, q := range l.inFlight {
		if q.endpoint != endpoint {
			left = append(left, q)
			continue
		}
		entries[q.table] = true
		l.tables[q.table].Crashed(name, q.digest)
		if !q.begun {
			l.tables[q.table].parts.Crashed(name, q.parts, q.digest)
		}
	}
	l.inFlight = left
	for i := range l.tables {
		if entries[i] {
			l.gossip(i, delay)
		}
	}
}

// endRuns ends the runs whose time has come.
func (l *crashLoad) endRuns(delay time.Duration) {
	for i := 0; i < len(l.inFlight); i++ {
		q := l.inFlight[i]
		if !q.crashes && !q.begun && time.Since(q.started) >= beginTime {
			l.inFlight[i].begun = true
			l.tables[q.table].parts.Sound(q.parts)
		}
		switch {
		case time.Now().Before(q.end):
			continue
		case q.crashes:
			l.crash(q.endpoint, delay)
			i = -1
			continue
		}
		l.tables[q.table].EndedWell(q.digest)
		l.tables[q.table].parts.Sound(q.parts)
		l.inFlight = append(l.inFlight[:i], l.inFlight[i+1:]...)
		i--
	}
}

// ask sends a request through a random entry, unless it is refused there.
func (l *crashLoad) ask(q loadRun, duration time.Duration) (refused bool) {
	q.table, q.endpoint = l.random.IntN(len(l.tables)), l.random.IntN(12)
	if l.tables[q.table].parts.Refused(q.parts) || l.tables[q.table].Refused(q.digest, q.parts) {
		return true
	}
	q.started, q.end = time.Now(), time.Now().Add(duration)
	l.inFlight = append(l.inFlight, q)
	return false
}

// since returns whether the n-th crash, or with fewer the last, is longer ago than a time.
func (l *crashLoad) since(n int, d time.Duration) bool {
	return len(l.crashes) > 0 && time.Since(l.crashes[min(len(l.crashes), n)-1]) > d
}

// Load patterns: copies of six sound requests are in flight at most endpoints all the while, through 2 to 21 entries
// that hear of each other late, and a request that comes again, a part of requests no two alike, or nothing that is
// sent crashes endpoints. What crashes them must be refused within its bound. The sound requests must be served from
// twice contactMs after the fifth crash on, or the last.
func TestSoundRequestsBesideCrashesUnderLoad(t *testing.T) {
	const contact = 3 * time.Second
	seeds := uint64(45)
	if testing.Short() {
		seeds = 12
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			l := &crashLoad{random: random}
			for range 2 + random.IntN(20) {
				l.tables = append(l.tables, newRequests())
			}
			cause := []string{"request", "part", "none"}[seed%3]
			delay := time.Duration(random.IntN(400)) * time.Millisecond
			duration := time.Duration(100+random.IntN(8000)) * time.Millisecond
			interval := time.Duration(60+random.IntN(3000)) * time.Millisecond
			warmUp := time.Duration(random.IntN(2)) * 10 * time.Second // else nothing has been answered before the first crash
			start := time.Now()
			next := start.Add(warmUp)
			for step := 0; time.Since(start) < 50*time.Second; step++ {
				time.Sleep(10 * time.Millisecond)
				l.deliver()
				l.endRuns(delay)
				if step%100 == 0 {
					for i := range l.tables {
						l.gossip(i, delay)
					}
				}
				if step%6 == 0 {
					k := random.IntN(6)
					sound := loadRun{digest: fmt.Sprint("question", k), parts: []string{fmt.Sprint("shared", random.IntN(3))}}
					refused := l.ask(sound, duration)
					if l.since(5, 2*contact) {
						l.asked++
						if refused {
							l.refused++
						}
					}
				}
				if time.Now().Before(next) {
					continue
				}
				next = next.Add(interval)
				bound := 5
				bad := loadRun{digest: fmt.Sprint("bad", step), parts: []string{fmt.Sprint("shared", random.IntN(3)), "dead"}, crashes: true}
				switch cause {
				case "none":
					if len(l.crashes) < 6 {
						l.crash(random.IntN(12), delay)
					}
					continue
				case "request":
					bad.digest, bad.parts, bound = "bad", []string{"shared0"}, 3
				}
				if !l.ask(bad, 60*time.Millisecond) && len(l.crashes) >= bound && l.since(bound, contact) {
					l.late++
				}
			}
			if len(l.crashes) < 3 {
				t.Errorf("seed %d: only %d crashes", seed, len(l.crashes))
			}
			if l.late > 3 || l.refused > 0 {
				t.Errorf("seed %d, cause %s, every %v, %d entries, gossip after %v, runs of %v: %d crashes, %d crashing requests ran too late, %d of %d sound ones were refused",
					seed, cause, interval, len(l.tables), delay, duration, len(l.crashes), l.late, l.refused, l.asked)
			}
			time.Sleep(time.Minute)
		})
	}
}

// BenchmarkRequests builds a message of a full table that is merged into another one, and decides on a request that
// another one explains. It reports the size of one mark with three endpoints in memory and in a message.
func BenchmarkRequests(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table, peer := newRequests(), newRequests()
	for i := range partCapacity {
		table.crashRequests(i%12, i%12+2, fmt.Sprintf("%016x", i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	message := table.Marks()
	wire, err := json.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("message", func(b *testing.B) {
		for b.Loop() {
			peer.Merge(table.Marks())
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/partCapacity, "B/mark")
		b.ReportMetric(float64(len(wire))/float64(len(message)), "wire-B/mark")
	})
	b.Run("decision", func(b *testing.B) {
		for b.Loop() {
			table.Refused(fmt.Sprintf("%016x", 0), []string{"shared"})
		}
	})
	b.Run("good end", func(b *testing.B) {
		for b.Loop() {
			table.EndedWell("unknown")
		}
	})
}

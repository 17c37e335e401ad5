package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/platform"
)

var errUnreachable = errors.New("unreachable")

// fleet is a few entries and writers in one process, with one store and a
// network between them that loses and delays messages.
type fleet struct {
	store   *platform.Memory
	options Options

	mu      sync.Mutex
	rng     *rand.Rand
	lossy   bool
	writers map[string]*Ledger
	crashed map[*Ledger]bool
	armed   map[*Ledger]Step
	hits    int
	all     []*Ledger
	entries []*Forwarder

	// What the agents and the service would know.
	tombs   map[contract.AttemptID]bool
	ran     map[string][]contract.AttemptID
	granted map[contract.AttemptID]bool
	given   map[contract.AttemptID]bool
	acked   map[string]string
	faults  []string
}

func newFleet(seed uint64, o Options) *fleet {
	f := &fleet{
		store: o.Store.(*platform.Memory), options: o, rng: rand.New(rand.NewPCG(seed, 1)), lossy: true,
		writers: map[string]*Ledger{}, crashed: map[*Ledger]bool{}, armed: map[*Ledger]Step{},
		tombs: map[contract.AttemptID]bool{},
		ran:   map[string][]contract.AttemptID{}, granted: map[contract.AttemptID]bool{},
		given: map[contract.AttemptID]bool{}, acked: map[string]string{},
	}
	for _, name := range []string{"w1", "w2"} {
		f.writer(name)
	}
	for range 3 {
		f.entries = append(f.entries, NewForwarder(ForwarderOptions{Ledger: f.ledger(), Writers: f.live, Call: f.call}))
	}
	return f
}

func (f *fleet) ledger() *Ledger {
	l := NewLedger(f.options)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, l)
	return l
}

func (f *fleet) live() []Candidate {
	return []Candidate{{Agent: "w1", Addr: "w1"}, {Agent: "w2", Addr: "w2"}}
}

func (f *fleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lossy && f.rng.Float64() < p
}

func (f *fleet) delay() {
	f.mu.Lock()
	d := time.Duration(f.rng.IntN(60)) * time.Millisecond
	if f.lossy && f.rng.Float64() < 0.1 {
		d += 2 * time.Second // a late duplicate on an old connection
	}
	f.mu.Unlock()
	time.Sleep(d)
}

// call carries a message to a writer. The request may be lost, come late or
// have its answer lost.
func (f *fleet) call(ctx context.Context, addr, _ string, params, result any) error {
	if f.chance(0.1) {
		return errUnreachable
	}
	body, reply := encode(params), make(chan any, 1)
	go func() {
		f.delay()
		f.mu.Lock()
		l := f.writers[addr]
		dead := f.crashed[l]
		f.mu.Unlock()
		if dead {
			return
		}
		v, err := NewWriter(l).Handle(context.Background(), body)
		if err == nil && !f.chance(0.1) {
			reply <- v
		}
	}()
	select {
	case v := <-reply:
		return json.Unmarshal(encode(v), result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// crash arms the writer: its next pass of step ends it for good, and a new
// writer takes its place.
func (f *fleet) crash(name string, step Step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.armed[f.writers[name]] = step
}

// writer puts a new writer in the place of name.
func (f *fleet) writer(name string) {
	var l *Ledger
	o := f.options
	o.Hook = func(s Step) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.armed[l] == s && !f.crashed[l] {
			f.crashed[l] = true
			f.hits++
			f.writer(name)
		}
		if f.crashed[l] {
			runtime.Goexit()
		}
	}
	l = NewLedger(o)
	f.all = append(f.all, l)
	f.writers[name] = l
}

// script is what one caller's request does.
type script struct {
	Start, Think, Work time.Duration
	Key, Entry         int
	End                int
	Patience           time.Duration
}

// How a script ends.
const (
	endFinish = iota
	endRelease
	endVanish
)

// run plays one request: claim, hand over, work, record. The tombstones stand
// in for the agents: a settled attempt never runs.
func (f *fleet) run(n int, s script) {
	time.Sleep(s.Start)
	e := f.entries[s.Entry%len(f.entries)]
	r := Request{Organisation: "o", Key: strconv.Itoa(s.Key), Fingerprint: "f", Attempt: contract.AttemptID(fmt.Sprintf("a%d", n))}
	d, err := f.acquire(e, r, s.Patience)
	for again := 0; err == nil && d.State == Held && again < 3; again++ {
		if !f.settle(e, r, d) {
			return
		}
		r.Attempt = contract.AttemptID(fmt.Sprintf("a%d.%d", n, again))
		d, err = f.acquire(e, r, s.Patience)
	}
	if err != nil || d.State != Granted {
		f.checkReplay(r, d, err)
		return
	}
	f.work(e, r, s)
}

func (f *fleet) acquire(e *Forwarder, r Request, patience time.Duration) (Decision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	d, err := e.Acquire(ctx, r)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.given[r.Attempt] = true
	} else if d.State == Granted {
		f.granted[r.Attempt] = true
	}
	return d, err
}

// settle closes the holder's attempt if it has not run, and releases its claim.
func (f *fleet) settle(e *Forwarder, r Request, d Decision) bool {
	f.mu.Lock()
	for _, a := range f.ran[r.Key] {
		if a == d.Attempt {
			f.mu.Unlock()
			return false
		}
	}
	f.tombs[d.Attempt] = true
	f.mu.Unlock()
	r.Attempt = d.Attempt
	return e.Release(context.Background(), r) == nil
}

func (f *fleet) work(e *Forwarder, r Request, s script) {
	time.Sleep(s.Think)
	f.mu.Lock()
	closed := f.tombs[r.Attempt]
	if !closed && s.End != endRelease {
		f.ran[r.Key] = append(f.ran[r.Key], r.Attempt)
	} else {
		f.tombs[r.Attempt] = true
	}
	f.mu.Unlock()
	if closed || s.End == endRelease {
		_ = e.Release(context.Background(), r)
		return
	}
	if s.End == endVanish {
		return
	}
	time.Sleep(s.Work)
	if e.Finish(context.Background(), r, Outcome{Run: contract.Ran, Detail: string(r.Attempt)}) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acked[r.Key] = string(r.Attempt)
}

func (f *fleet) checkReplay(r Request, d Decision, err error) {
	if err != nil || d.State != Finished {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if want, ok := f.acked[r.Key]; ok && d.Outcome.Detail != want {
		f.faults = append(f.faults, fmt.Sprintf("key %s replays %s, acknowledged %s", r.Key, d.Outcome.Detail, want))
	}
}

// check returns what broke, once the faults have ended and all is settled.
func (f *fleet) check(keys int) []string {
	probe := NewForwarder(ForwarderOptions{Ledger: f.ledger()})
	defer probe.Close()
	for k := range keys {
		r := Request{Organisation: "o", Key: strconv.Itoa(k), Fingerprint: "f", Attempt: contract.AttemptID("probe" + strconv.Itoa(k))}
		d, err := probe.Acquire(context.Background(), r)
		f.mu.Lock()
		runs, acked := f.ran[r.Key], f.acked[r.Key]
		switch {
		case err != nil:
			f.faults = append(f.faults, fmt.Sprintf("key %d: %v", k, err))
		case len(runs) > 1:
			f.faults = append(f.faults, fmt.Sprintf("key %d ran %v", k, runs))
		case len(runs) == 1 && d.State == Granted:
			f.faults = append(f.faults, fmt.Sprintf("key %d ran %v and is granted again", k, runs))
		case acked != "" && (d.State != Finished || d.Outcome.Detail != acked):
			f.faults = append(f.faults, fmt.Sprintf("key %d: outcome of %s lost: %+v", k, acked, d))
		case d.State == Held && f.given[d.Attempt]:
			f.faults = append(f.faults, fmt.Sprintf("key %d is held by %s, which was given up", k, d.Attempt))
		}
		f.mu.Unlock()
	}
	return f.faults
}

func (f *fleet) close() {
	for _, e := range f.entries {
		e.Close()
	}
	f.mu.Lock()
	all := f.all
	f.mu.Unlock()
	for _, l := range all {
		l.Close()
	}
}

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

// fleet simulates several entries and writers that share one store. Messages between
// them can be lost and delayed.
type fleet struct {
	store   *platform.Memory
	options Options

	mu         sync.Mutex
	rng        *rand.Rand
	lossy      bool
	writers    map[string]*Ledger
	crashed    map[*Ledger]bool
	crashSteps map[*Ledger]Step
	crashes    int
	ledgers    []*Ledger
	entries    []*Forwarder

	// State that the agents and the callers would hold.
	closedAttempts map[contract.AttemptID]bool
	ran            map[string][]contract.AttemptID
	granted        map[contract.AttemptID]bool
	abandoned      map[contract.AttemptID]bool
	acked          map[string]string
	violations     []string
}

func newFleet(seed uint64, o Options) *fleet {
	f := &fleet{
		store: o.Store.(*platform.Memory), options: o, rng: rand.New(rand.NewPCG(seed, 1)), lossy: true,
		writers: map[string]*Ledger{}, crashed: map[*Ledger]bool{}, crashSteps: map[*Ledger]Step{},
		closedAttempts: map[contract.AttemptID]bool{},
		ran:            map[string][]contract.AttemptID{}, granted: map[contract.AttemptID]bool{},
		abandoned: map[contract.AttemptID]bool{}, acked: map[string]string{},
	}
	for _, name := range []string{"w1", "w2"} {
		f.replaceWriter(name)
	}
	for range 3 {
		f.entries = append(f.entries, NewForwarder(ForwarderOptions{Ledger: f.newLedger(), Writers: f.liveWriters, Call: f.call}))
	}
	return f
}

func (f *fleet) newLedger() *Ledger {
	l := NewLedger(f.options)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledgers = append(f.ledgers, l)
	return l
}

func (f *fleet) liveWriters() []Candidate {
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
		d += 2 * time.Second // a late message on an old connection
	}
	f.mu.Unlock()
	time.Sleep(d)
}

// call sends a message to a writer. The request may be lost or delayed, and the
// response may be lost.
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

// crash makes the writer crash when it next reaches the step. A new writer replaces it.
func (f *fleet) crash(name string, step Step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashSteps[f.writers[name]] = step
}

// replaceWriter starts a new writer under the name.
func (f *fleet) replaceWriter(name string) {
	var l *Ledger
	o := f.options
	o.Hook = func(s Step) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.crashSteps[l] == s && !f.crashed[l] {
			f.crashed[l] = true
			f.crashes++
			f.replaceWriter(name)
		}
		if f.crashed[l] {
			runtime.Goexit()
		}
	}
	l = NewLedger(o)
	f.ledgers = append(f.ledgers, l)
	f.writers[name] = l
}

// callerScript describes the course of one caller's request.
type callerScript struct {
	Start, HandoverDelay, RunTime time.Duration
	Key, Entry                    int
	End                           int
	AcquireTimeout                time.Duration
}

// The ways in which a callerScript ends.
const (
	endFinish = iota
	endRelease
	endCrash
)

// run carries out one request: it acquires the claim, runs the call and records the
// outcome. closedAttempts stands in for the agents: a closed attempt never runs.
func (f *fleet) run(n int, s callerScript) {
	time.Sleep(s.Start)
	e := f.entries[s.Entry%len(f.entries)]
	r := Request{Organisation: "o", Key: strconv.Itoa(s.Key), Fingerprint: "f", Attempt: contract.AttemptID(fmt.Sprintf("a%d", n))}
	d, err := f.acquire(e, r, s.AcquireTimeout)
	for retry := 0; err == nil && d.State == Held && retry < 3; retry++ {
		if !f.closeHolder(e, r, d) {
			return
		}
		r.Attempt = contract.AttemptID(fmt.Sprintf("a%d.%d", n, retry))
		d, err = f.acquire(e, r, s.AcquireTimeout)
	}
	if err != nil || d.State != Granted {
		f.checkReplay(r, d, err)
		return
	}
	f.handOver(e, r, s)
}

func (f *fleet) acquire(e *Forwarder, r Request, timeout time.Duration) (Decision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d, err := e.Acquire(ctx, r)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.abandoned[r.Attempt] = true
	} else if d.State == Granted {
		f.granted[r.Attempt] = true
	}
	return d, err
}

// closeHolder closes the holder's attempt if it has not run, and releases its claim. It
// reports whether the claim was released.
func (f *fleet) closeHolder(e *Forwarder, r Request, d Decision) bool {
	f.mu.Lock()
	for _, a := range f.ran[r.Key] {
		if a == d.Attempt {
			f.mu.Unlock()
			return false
		}
	}
	f.closedAttempts[d.Attempt] = true
	f.mu.Unlock()
	r.Attempt = d.Attempt
	return e.Release(context.Background(), r) == nil
}

func (f *fleet) handOver(e *Forwarder, r Request, s callerScript) {
	time.Sleep(s.HandoverDelay)
	f.mu.Lock()
	closed := f.closedAttempts[r.Attempt]
	if !closed && s.End != endRelease {
		f.ran[r.Key] = append(f.ran[r.Key], r.Attempt)
	} else {
		f.closedAttempts[r.Attempt] = true
	}
	f.mu.Unlock()
	if closed || s.End == endRelease {
		_ = e.Release(context.Background(), r)
		return
	}
	if s.End == endCrash {
		return
	}
	time.Sleep(s.RunTime)
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
		f.violations = append(f.violations, fmt.Sprintf("key %s replays %s, acknowledged %s", r.Key, d.Outcome.Detail, want))
	}
}

// check returns the violated properties. It is called after the faults have ended and all
// operations are complete.
func (f *fleet) check(keys int) []string {
	probe := NewForwarder(ForwarderOptions{Ledger: f.newLedger()})
	defer probe.Close()
	for k := range keys {
		r := Request{Organisation: "o", Key: strconv.Itoa(k), Fingerprint: "f", Attempt: contract.AttemptID("probe" + strconv.Itoa(k))}
		d, err := probe.Acquire(context.Background(), r)
		f.mu.Lock()
		runs, acked := f.ran[r.Key], f.acked[r.Key]
		switch {
		case err != nil:
			f.violations = append(f.violations, fmt.Sprintf("key %d: %v", k, err))
		case len(runs) > 1:
			f.violations = append(f.violations, fmt.Sprintf("key %d ran %v", k, runs))
		case len(runs) == 1 && d.State == Granted:
			f.violations = append(f.violations, fmt.Sprintf("key %d ran %v and is granted again", k, runs))
		case acked != "" && (d.State != Finished || d.Outcome.Detail != acked):
			f.violations = append(f.violations, fmt.Sprintf("key %d: outcome of %s lost: %+v", k, acked, d))
		case d.State == Held && f.abandoned[d.Attempt]:
			f.violations = append(f.violations, fmt.Sprintf("key %d is held by %s, which was abandoned", k, d.Attempt))
		}
		f.mu.Unlock()
	}
	return f.violations
}

func (f *fleet) close() {
	for _, e := range f.entries {
		e.Close()
	}
	f.mu.Lock()
	ledgers := f.ledgers
	f.mu.Unlock()
	for _, l := range ledgers {
		l.Close()
	}
}

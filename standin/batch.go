package standin

import (
	"context"
	"sort"
	"sync"
	"time"
)

// StepTiming describes how long an engine takes.
type StepTiming struct {
	// Step is the time of one step of the batch, in which each running
	// sequence gains a token.
	Step time.Duration
	// PerSequence is added to a step for each running sequence.
	PerSequence time.Duration
	// Prefill is added to a step for each uncached prompt token that joins.
	Prefill time.Duration
}

// sequence is one generation in a batch.
type sequence struct {
	ctx      context.Context
	priority int
	prompt   string
	answer   answer
	resumed  bool

	mu     sync.Mutex
	made   int // tokens generated so far
	cached int
	// wake holds a value when made has grown since the reader looked.
	wake chan struct{}
}

func newSequence(ctx context.Context, prompt string, a answer, from, priority int) *sequence {
	return &sequence{
		ctx: ctx, prompt: prompt, answer: a, made: from,
		priority: priority, resumed: from > 0, wake: make(chan struct{}, 1),
	}
}

func (s *sequence) advance() {
	s.mu.Lock()
	s.made++
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sequence) progress() (made, cached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.made, s.cached
}

func (s *sequence) done() bool {
	made, _ := s.progress()
	return made >= s.answer.total
}

// batch runs sequences together, step by step. Its goroutine lives only while
// there is work.
type batch struct {
	pace     StepTiming
	size     int
	slowdown func() float64

	mu      sync.Mutex
	cache   *prefixCache
	waiting []*sequence
	running []*sequence
	active  bool
}

func newBatch(pace StepTiming, size, cacheBlocks int, slowdown func() float64) *batch {
	return &batch{pace: pace, size: max(size, 1), slowdown: slowdown, cache: newPrefixCache(cacheBlocks)}
}

// submit queues a sequence.
func (b *batch) submit(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, s)
	if !b.active {
		b.active = true
		go b.run()
	}
}

// queued returns how many sequences wait and run.
func (b *batch) queued() (waiting, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting), len(b.running)
}

func (b *batch) purge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cache.purge()
}

// run steps until no sequence is left. Steps follow a fixed schedule, so that
// late timers do not add up.
func (b *batch) run() {
	due := time.Now()
	for {
		took, ok := b.begin()
		if !ok {
			return
		}
		due = due.Add(took)
		if now := time.Now(); due.Before(now.Add(-took)) {
			due = now
		}
		time.Sleep(time.Until(due))
		b.finish()
	}
}

// begin admits sequences to the batch and returns the time of the step.
func (b *batch) begin() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = dropEnded(b.running)
	b.waiting = dropEnded(b.waiting)
	prefill := b.admit()
	if len(b.running) == 0 {
		b.active = false
		return 0, false
	}
	step := b.pace.Step + time.Duration(len(b.running))*b.pace.PerSequence
	step += time.Duration(prefill) * b.pace.Prefill
	return time.Duration(float64(step) * b.slowdown()), true
}

// admit fills the batch by priority, highest first, and returns the prompt
// tokens that have to be computed.
func (b *batch) admit() int {
	room := b.size - len(b.running)
	if room <= 0 || len(b.waiting) == 0 {
		return 0
	}
	sort.SliceStable(b.waiting, func(i, j int) bool { return b.waiting[i].priority > b.waiting[j].priority })
	joining := b.waiting[:min(room, len(b.waiting))]
	prefill := 0
	for _, s := range joining {
		prefill += b.prefillOf(s)
	}
	b.running = append(b.running, joining...)
	b.waiting = append([]*sequence(nil), b.waiting[len(joining):]...)
	return prefill
}

func (b *batch) prefillOf(s *sequence) int {
	cached := b.cache.use(s.prompt)
	if s.resumed {
		cached = promptTokens(s.prompt)
	}
	s.mu.Lock()
	s.cached = cached
	s.mu.Unlock()
	return promptTokens(s.prompt) - cached
}

func (b *batch) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running {
		s.advance()
	}
}

func dropEnded(list []*sequence) []*sequence {
	kept := list[:0]
	for _, s := range list {
		if s.ctx.Err() == nil && !s.done() {
			kept = append(kept, s)
		}
	}
	clear(list[len(kept):])
	return kept
}

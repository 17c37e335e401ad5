package standin

import (
	"context"
	"sort"
	"sync"
	"time"
)

// StepTiming describes how long the steps of an engine's batch take.
type StepTiming struct {
	// Step is the base duration of one step, which generates one token of each
	// running sequence.
	Step time.Duration
	// PerSequence is the additional duration for each running sequence.
	PerSequence time.Duration
	// Prefill is the additional duration for each uncached prompt token of the
	// sequences that join the batch in the step.
	Prefill time.Duration
}

// sequence is one generation in a batch.
type sequence struct {
	ctx      context.Context
	priority int
	prompt   string
	answer   answer
	resumed  bool

	mu        sync.Mutex
	generated int // number of tokens
	cached    int
	// wake signals that generated has grown since the last receive.
	wake chan struct{}
}

func newSequence(ctx context.Context, prompt string, a answer, resumeFrom, priority int) *sequence {
	return &sequence{
		ctx: ctx, prompt: prompt, answer: a, generated: resumeFrom,
		priority: priority, resumed: resumeFrom > 0, wake: make(chan struct{}, 1),
	}
}

func (s *sequence) advance() {
	s.mu.Lock()
	s.generated++
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sequence) progress() (generated, cached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generated, s.cached
}

func (s *sequence) done() bool {
	generated, _ := s.progress()
	return generated >= s.answer.total
}

// batch simulates continuous batching: each step generates one token of every
// running sequence. Its goroutine runs only while there are sequences.
type batch struct {
	timing   StepTiming
	size     int
	slowdown func() float64

	mu       sync.Mutex
	cache    *prefixCache
	waiting  []*sequence
	running  []*sequence
	stepping bool
}

func newBatch(timing StepTiming, size, cacheBlocks int, slowdown func() float64) *batch {
	return &batch{timing: timing, size: max(size, 1), slowdown: slowdown, cache: newPrefixCache(cacheBlocks)}
}

// submit queues a sequence and starts the goroutine if needed.
func (b *batch) submit(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, s)
	if !b.stepping {
		b.stepping = true
		go b.run()
	}
}

// queueLengths returns the numbers of waiting and of running sequences.
func (b *batch) queueLengths() (waiting, running int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting), len(b.running)
}

func (b *batch) purgeCache() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cache.purge()
}

// run executes steps until no sequence is left. Steps end at scheduled times, so
// that the delays of late timers do not accumulate.
func (b *batch) run() {
	due := time.Now()
	for {
		stepTime, ok := b.beginStep()
		if !ok {
			return
		}
		due = due.Add(stepTime)
		if now := time.Now(); due.Before(now.Add(-stepTime)) {
			due = now
		}
		time.Sleep(time.Until(due))
		b.finishStep()
	}
}

// beginStep admits sequences to the batch and returns the duration of the step, or
// false if there is no sequence to run.
func (b *batch) beginStep() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = removeEnded(b.running)
	b.waiting = removeEnded(b.waiting)
	prefill := b.admit()
	if len(b.running) == 0 {
		b.stepping = false
		return 0, false
	}
	step := b.timing.Step + time.Duration(len(b.running))*b.timing.PerSequence
	step += time.Duration(prefill) * b.timing.Prefill
	return time.Duration(float64(step) * b.slowdown()), true
}

// admit fills the batch by priority, highest first, and returns the number of
// uncached prompt tokens of the admitted sequences.
func (b *batch) admit() int {
	free := b.size - len(b.running)
	if free <= 0 || len(b.waiting) == 0 {
		return 0
	}
	sort.SliceStable(b.waiting, func(i, j int) bool { return b.waiting[i].priority > b.waiting[j].priority })
	admitted := b.waiting[:min(free, len(b.waiting))]
	prefill := 0
	for _, s := range admitted {
		prefill += b.prefillTokens(s)
	}
	b.running = append(b.running, admitted...)
	b.waiting = append([]*sequence(nil), b.waiting[len(admitted):]...)
	return prefill
}

func (b *batch) prefillTokens(s *sequence) int {
	cached := b.cache.lookup(s.prompt)
	if s.resumed {
		cached = promptTokens(s.prompt)
	}
	s.mu.Lock()
	s.cached = cached
	s.mu.Unlock()
	return promptTokens(s.prompt) - cached
}

func (b *batch) finishStep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running {
		s.advance()
	}
}

func removeEnded(sequences []*sequence) []*sequence {
	kept := sequences[:0]
	for _, s := range sequences {
		if s.ctx.Err() == nil && !s.done() {
			kept = append(kept, s)
		}
	}
	clear(sequences[len(kept):])
	return kept
}

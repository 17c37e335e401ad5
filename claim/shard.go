package claim

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/azurelead/azurelead/platform"
)

// shard gathers the operations on the keys of one shard and applies them by
// conditional updates of the shard's head, one at a time.
type shard struct {
	name    string
	options Options
	guard   *guard
	metrics *metrics

	mu      sync.Mutex
	queue   []*operation
	running bool
	closed  bool
	wg      *sync.WaitGroup
	// pace spaces updates by the window.
	pace *rate.Limiter

	// The rest belongs to the goroutine that runs updates.

	head *head
	// readAt is when the call was sent that showed head to be current.
	readAt time.Time
	// clockAt is up to when head's clock accounts for this writer's time.
	clockAt time.Time
	// stale is set when head may not be current, so that a write needs a read first.
	stale    bool
	index    *index
	segments *lru.Cache[uint64, map[ID]Record]
	garbage  []segmentRef
}

func newShard(n int, o Options, g *guard, m *metrics, wg *sync.WaitGroup) *shard {
	segments, err := lru.New[uint64, map[ID]Record](cachedSegments)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &shard{
		name:     o.Prefix + "/" + strconv.Itoa(n),
		options:  o,
		guard:    g,
		metrics:  m,
		wg:       wg,
		pace:     rate.NewLimiter(rate.Every(o.UpdateInterval), updateBurst),
		head:     newHead(),
		stale:    true,
		index:    newIndex(),
		segments: segments,
	}
}

// submit queues the operation and starts an update when none is under way.
func (s *shard) submit(o *operation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		o.fail(Unavailable.New("the ledger is closed"))
		return
	}
	s.queue = append(s.queue, o)
	if s.running {
		return
	}
	s.running = true
	s.wg.Add(1)
	go s.run()
}

// close refuses further operations.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// withdraw takes a queued operation back. It reports false once an update
// has taken the operation up.
func (s *shard) withdraw(o *operation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.queue, o)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

func (s *shard) run() {
	defer s.wg.Done()
	for s.waiting() {
		time.Sleep(s.pace.Reserve().Delay())
		group := s.take()
		if len(group) == 0 {
			continue // all were withdrawn
		}
		s.hook(StepBatched)
		s.commit(context.Background(), group)
		s.hook(StepAnswered)
		s.collect(context.Background())
	}
}

// waiting reports whether operations wait, and marks the shard idle if not.
func (s *shard) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = len(s.queue) > 0
	return s.running
}

// take returns the next group.
func (s *shard) take() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size := 0, 0
	for n < len(s.queue) && (n == 0 || size+s.queue[n].size <= maxGroupBytes) {
		size += s.queue[n].size
		n++
	}
	group := s.queue[:n:n]
	s.queue = s.queue[n:]
	return group
}

// commit decides a group and answers it. A write whose answer is lost is
// settled by reading the head back: the attempts in its records tell whether
// it took effect, and the next conditional update voids it if it did not.
func (s *shard) commit(ctx context.Context, group []*operation) {
	var last error
	for try := range maxCommitTries {
		if try > 0 {
			time.Sleep(retryPause << try)
		}
		if last = s.refresh(ctx, false); last != nil {
			if untouched(last) && !platform.NotFound.Has(last) {
				break // the store is down, or the budget is spent: fail at once
			}
			continue
		}
		if last = s.tryCommit(ctx, group); last == nil || notSent.Has(last) {
			break
		}
	}
	if last == nil {
		return
	}
	for _, o := range group {
		o.fail(Unavailable.Wrap(last))
	}
}

// tryCommit decides the group on the current head and writes the result once.
func (s *shard) tryCommit(ctx context.Context, group []*operation) error {
	p, err := s.plan(ctx, group)
	if err != nil {
		return err
	}
	if !p.changed && !p.settled && s.readAt.Before(group[len(group)-1].arrived) {
		// A claim without an outcome is not answered from an old read.
		if err := s.refresh(ctx, true); err != nil {
			return err
		}
		if p, err = s.plan(ctx, group); err != nil {
			return err
		}
	}
	if !p.changed {
		p.answer()
		return nil
	}
	if err := s.write(ctx, p); err != nil {
		return err
	}
	s.metrics.group.Observe(float64(len(group)))
	p.answer()
	return nil
}

func byID(records []Record) map[ID]Record {
	m := make(map[ID]Record, len(records))
	for _, r := range records {
		m[r.ID] = r
	}
	return m
}

func (s *shard) readSegment(ctx context.Context, h *head, seq uint64) (segment, error) {
	i := slices.IndexFunc(h.doc.Sealed, func(r segmentRef) bool { return r.Seq == seq })
	if i < 0 {
		return segment{}, Error.New("segment %d is not in the head", seq)
	}
	return s.fetch(ctx, h.doc.Sealed[i])
}

func (s *shard) fetch(ctx context.Context, ref segmentRef) (segment, error) {
	o, err := s.guard.get(ctx, ref.key(s.name))
	if err != nil {
		return segment{}, err
	}
	var seg segment
	if err := json.Unmarshal(o.Value, &seg); err != nil {
		return segment{}, Error.Wrap(err)
	}
	return seg, nil
}

// refresh reads the head when it may be stale, or when forced, and indexes
// the segments that were sealed since. An answer that is older than what was
// seen before is not taken.
func (s *shard) refresh(ctx context.Context, force bool) error {
	if !s.stale && !force {
		return nil
	}
	started := time.Now()
	o, err := s.guard.get(ctx, s.headKey())
	now := time.Now()
	if err != nil && !platform.NotFound.Has(err) {
		s.stale = true
		return err
	}
	if err == nil && o.Version > s.head.version {
		h, err := decodeHead(o.Version, o.Value)
		if err != nil {
			return err
		}
		if err := s.load(ctx, h); err != nil {
			s.stale = true
			return err
		}
		s.head, s.clockAt = h, now
	}
	s.readAt, s.stale = started, false
	return nil
}

// load indexes the sealed segments of h that are not indexed yet.
func (s *shard) load(ctx context.Context, h *head) error {
	var missing []segmentRef
	for _, ref := range h.doc.Sealed {
		if ref.Seq >= s.index.next {
			missing = append(missing, ref)
		}
	}
	for part := range slices.Chunk(missing, segmentReaders) {
		segments := make([]segment, len(part))
		g, gctx := errgroup.WithContext(ctx)
		for i, ref := range part {
			g.Go(func() (err error) {
				segments[i], err = s.fetch(gctx, ref)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		for i, ref := range part {
			s.index.add(ref.Seq, segments[i].Records)
		}
	}
	s.forget(h)
	return nil
}

// forget drops what the index knows of segments that h no longer holds.
func (s *shard) forget(h *head) {
	first := h.doc.Seq
	if len(h.doc.Sealed) > 0 {
		first = h.doc.Sealed[0].Seq
	}
	s.index.expireBelow(first)
	s.metrics.indexed.WithLabelValues(s.name).Set(float64(len(s.index.seqs)))
}

func (s *shard) headKey() string { return s.name + "/head" }

func (s *shard) hook(step Step) {
	if s.options.Hook != nil {
		s.options.Hook(step)
	}
}

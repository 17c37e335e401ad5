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

// shard batches the operations on the keys of one shard and applies each batch by a
// conditional update of the shard's head, one update at a time.
type shard struct {
	name    string
	options Options
	store   *storeClient
	metrics *metrics

	mu      sync.Mutex
	queue   []*operation
	running bool
	closed  bool
	wg      *sync.WaitGroup
	// updateLimiter spaces updates by Options.UpdateInterval.
	updateLimiter *rate.Limiter

	// The fields below are used only by the goroutine that runs updates.

	head *head
	// headReadAt is the time at which the call was sent that confirmed that head is current.
	headReadAt time.Time
	// clockUpdatedAt is the local time that corresponds to the clock in head.
	clockUpdatedAt time.Time
	// stale is set when head may be outdated and has to be read again before a write.
	stale    bool
	index    *index
	segments *lru.Cache[uint64, map[ID]Record]
	garbage  []segmentRef
}

func newShard(n int, o Options, client *storeClient, m *metrics, wg *sync.WaitGroup) *shard {
	segments, err := lru.New[uint64, map[ID]Record](segmentCacheSize)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &shard{
		name:          o.Prefix + "/" + strconv.Itoa(n),
		options:       o,
		store:         client,
		metrics:       m,
		wg:            wg,
		updateLimiter: rate.NewLimiter(rate.Every(o.UpdateInterval), updateBurst),
		head:          newHead(),
		stale:         true,
		index:         newIndex(),
		segments:      segments,
	}
}

// submit queues the operation and starts the update loop if it is not running.
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

// close rejects further operations.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// withdraw removes a queued operation. It returns false if an update has already
// taken the operation from the queue.
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
	for s.hasQueued() {
		time.Sleep(s.updateLimiter.Reserve().Delay())
		batch := s.takeBatch()
		if len(batch) == 0 {
			continue // all operations were withdrawn
		}
		s.hook(StepBatched)
		s.commit(context.Background(), batch)
		s.hook(StepAnswered)
		s.deleteGarbage(context.Background())
	}
}

// hasQueued reports whether operations are queued, and marks the shard idle if none are.
func (s *shard) hasQueued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = len(s.queue) > 0
	return s.running
}

// takeBatch removes the next batch from the queue. A batch holds at least one operation
// and otherwise at most maxBatchBytes.
func (s *shard) takeBatch() []*operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size := 0, 0
	for n < len(s.queue) && (n == 0 || size+s.queue[n].size <= maxBatchBytes) {
		size += s.queue[n].size
		n++
	}
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	return batch
}

// commit applies a batch and answers its operations. After a write whose response
// was lost, it reads the head again: the attempts in the records show whether the
// write took effect. If it did not, the next conditional update prevents it from
// taking effect later.
func (s *shard) commit(ctx context.Context, batch []*operation) {
	var lastErr error
	for try := range maxCommitTries {
		if try > 0 {
			time.Sleep(baseRetryDelay << try)
		}
		if lastErr = s.refresh(ctx, false); lastErr != nil {
			if hadNoEffect(lastErr) && !platform.NotFound.Has(lastErr) {
				break // the store is down or the rate limit is reached, so fail immediately
			}
			continue
		}
		if lastErr = s.tryCommit(ctx, batch); lastErr == nil || notSent.Has(lastErr) {
			break
		}
	}
	if lastErr == nil {
		return
	}
	for _, o := range batch {
		o.fail(Unavailable.Wrap(lastErr))
	}
}

// tryCommit applies the batch to the current head and writes the result once.
func (s *shard) tryCommit(ctx context.Context, batch []*operation) error {
	p, err := s.plan(ctx, batch)
	if err != nil {
		return err
	}
	if !p.changed && !p.safeIfStale && s.headReadAt.Before(batch[len(batch)-1].createdAt) {
		// The state of a claim without an outcome may have changed since an earlier read.
		if err := s.refresh(ctx, true); err != nil {
			return err
		}
		if p, err = s.plan(ctx, batch); err != nil {
			return err
		}
	}
	if !p.changed {
		p.reply()
		return nil
	}
	if err := s.write(ctx, p); err != nil {
		return err
	}
	s.metrics.batchSize.Observe(float64(len(batch)))
	p.reply()
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
	o, err := s.store.get(ctx, ref.key(s.name))
	if err != nil {
		return segment{}, err
	}
	var seg segment
	if err := json.Unmarshal(o.Value, &seg); err != nil {
		return segment{}, Error.Wrap(err)
	}
	return seg, nil
}

// refresh reads the head if it may be stale or if force is set, and indexes the
// segments that were sealed since the last read. It ignores a head whose version is
// lower than one that was read before.
func (s *shard) refresh(ctx context.Context, force bool) error {
	if !s.stale && !force {
		return nil
	}
	startedAt := time.Now()
	o, err := s.store.get(ctx, s.headKey())
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
		s.head, s.clockUpdatedAt = h, now
	}
	s.headReadAt, s.stale = startedAt, false
	return nil
}

// load reads and indexes the sealed segments of h that are not indexed yet.
func (s *shard) load(ctx context.Context, h *head) error {
	var missing []segmentRef
	for _, ref := range h.doc.Sealed {
		if ref.Seq >= s.index.nextSeq {
			missing = append(missing, ref)
		}
	}
	for chunk := range slices.Chunk(missing, maxConcurrentReads) {
		segments := make([]segment, len(chunk))
		g, gctx := errgroup.WithContext(ctx)
		for i, ref := range chunk {
			g.Go(func() (err error) {
				segments[i], err = s.fetch(gctx, ref)
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
		for i, ref := range chunk {
			s.index.add(ref.Seq, segments[i].Records)
		}
	}
	s.pruneIndex(h)
	return nil
}

// pruneIndex removes the index entries of segments that h no longer lists.
func (s *shard) pruneIndex(h *head) {
	first := h.doc.Seq
	if len(h.doc.Sealed) > 0 {
		first = h.doc.Sealed[0].Seq
	}
	s.index.expireBelow(first)
	s.metrics.indexedKeys.WithLabelValues(s.name).Set(float64(len(s.index.seqs)))
}

func (s *shard) headKey() string { return s.name + "/head" }

func (s *shard) hook(step Step) {
	if s.options.Hook != nil {
		s.options.Hook(step)
	}
}

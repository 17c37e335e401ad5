package claim

import (
	"context"
	"time"
)

// plan is the effect of a batch of operations on one version of the head.
type plan struct {
	head      *head
	createdAt time.Time
	// sealed is the segment to seal before the update. It is nil if the open segment is not full.
	sealed  *sealedSegment
	changed bool
	// safeIfStale is set when all results are valid even if the head is stale.
	safeIfStale bool
	batch       []*operation
	results     []result
	// written marks the operations whose changes are part of the update.
	written []bool
}

// sealedSegment is the segment that an update seals.
type sealedSegment struct {
	ref     segmentRef
	content segment
	records map[ID]Record
}

func (p *plan) reply() {
	for i, o := range p.batch {
		o.done <- p.results[i]
	}
}

func (s *shard) plan(ctx context.Context, batch []*operation) (*plan, error) {
	p := &plan{head: s.head.clone(), createdAt: time.Now(), safeIfStale: true, batch: batch}
	if s.head.version > 0 {
		p.head.advance(p.createdAt.Sub(s.clockUpdatedAt))
	}
	if p.head.full(s.options.SegmentBytes, s.options.SegmentAge) {
		ref, content := p.head.seal()
		p.sealed = &sealedSegment{ref: ref, content: content, records: byID(content.Records)}
	}
	for _, o := range batch {
		r, err := s.latestRecord(ctx, p, o.id)
		if err != nil {
			return nil, err
		}
		p.add(o.apply(r))
	}
	return p, nil
}

func (p *plan) add(t transition) {
	if t.changed {
		p.head.put(t.next)
	}
	p.changed = p.changed || t.changed || t.mustConfirm
	p.safeIfStale = p.safeIfStale && t.validIfStale()
	p.written = append(p.written, t.changed)
	p.results = append(p.results, result{decision: t.decision, err: t.err})
}

// latestRecord returns the latest record of id. It looks in the open segment, then in
// the segment that the plan seals, then in the sealed segment that the index gives.
func (s *shard) latestRecord(ctx context.Context, p *plan, id ID) (Record, error) {
	if r, ok := p.head.get(id); ok {
		return r, nil
	}
	if p.sealed != nil {
		if r, ok := p.sealed.records[id]; ok {
			return r, nil
		}
	}
	seq, ok := s.index.get(id)
	if !ok {
		return Record{ID: id}, nil
	}
	records, ok := s.segments.Get(seq)
	if !ok {
		seg, err := s.readSegment(ctx, s.head, seq)
		if err != nil {
			return Record{}, err
		}
		records = byID(seg.Records)
		s.segments.Add(seq, records)
	}
	return records[id], nil
}

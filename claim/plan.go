package claim

import (
	"context"
	"time"
)

// plan is the effect of a group on one version of the head.
type plan struct {
	head *head
	at   time.Time
	// sealed is set when the open segment was full and is sealed first.
	sealed  *sealing
	changed bool
	// settled is set when no answer depends on the head being current.
	settled bool
	group   []*operation
	results []result
	// touched marks the operations that the update writes.
	touched []bool
}

// sealing is a segment that an update seals.
type sealing struct {
	ref     segmentRef
	content segment
	records map[ID]Record
}

func (p *plan) answer() {
	for i, o := range p.group {
		o.done <- p.results[i]
	}
}

func (s *shard) plan(ctx context.Context, group []*operation) (*plan, error) {
	p := &plan{head: s.head.clone(), at: time.Now(), settled: true, group: group}
	if s.head.version > 0 {
		p.head.advance(p.at.Sub(s.clockAt))
	}
	if p.head.full(s.options.SegmentBytes, s.options.SegmentAge) {
		ref, content := p.head.seal()
		p.sealed = &sealing{ref: ref, content: content, records: byID(content.Records)}
	}
	for _, o := range group {
		r, err := s.record(ctx, p, o.id)
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
	p.changed = p.changed || t.changed || t.confirm
	p.settled = p.settled && t.settles()
	p.touched = append(p.touched, t.changed)
	p.results = append(p.results, result{decision: t.decision, err: t.err})
}

// record returns the latest record of id: from the open segment, the one
// about to be sealed, or the sealed one that the index names.
func (s *shard) record(ctx context.Context, p *plan, id ID) (Record, error) {
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

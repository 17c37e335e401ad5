package claim

import (
	"context"

	"github.com/azurelead/azurelead/platform"
)

// write sends the plan's head as one conditional update. The head's version
// unchanged proves that no other claim was added to the shard since it was read.
func (s *shard) write(ctx context.Context, p *plan) error {
	h := p.head
	if len(h.doc.Sealed) > maxSealed {
		return notSent.New("shard %s holds as many segments as it may", s.name)
	}
	if p.sealed != nil {
		version, err := s.writeSegment(ctx, p.sealed)
		if err != nil {
			return err
		}
		p.sealed.ref.Version = version
		h.doc.Sealed[len(h.doc.Sealed)-1].Version = version
		s.hook(StepSealed)
	}
	gone := h.expire(s.options.Retention)
	s.hook(StepBeforeWrite)
	version, err := s.guard.put(ctx, s.headKey(), encode(h.doc), s.head.version)
	if err != nil {
		s.failedWrite(p, err)
		return err
	}
	s.hook(StepWritten)
	h.version = version
	if p.sealed != nil {
		s.index.add(p.sealed.ref.Seq, p.sealed.content.Records)
	}
	s.head, s.readAt, s.clockAt, s.stale = h, p.at, p.at, false
	s.garbage = append(s.garbage, gone...)
	s.forget(h)
	return nil
}

func (s *shard) failedWrite(p *plan, err error) {
	s.stale = true
	if platform.Conflict.Has(err) {
		s.metrics.conflicts.Inc()
		if p.sealed != nil {
			s.garbage = append(s.garbage, p.sealed.ref)
		}
		return
	}
	if untouched(err) {
		return
	}
	s.metrics.lost.Inc()
	for i, o := range p.group {
		o.open = o.open || p.touched[i]
	}
}

// writeSegment creates the segment's object. An object that is there already
// was written from the same version of the head, so it holds the same records.
func (s *shard) writeSegment(ctx context.Context, p *sealing) (uint64, error) {
	key := p.ref.key(s.name)
	version, err := s.guard.put(ctx, key, encode(p.content), 0)
	if !platform.Conflict.Has(err) {
		return version, err
	}
	o, err := s.guard.get(ctx, key)
	return o.Version, err
}

// collect deletes the objects that the head does not name and, its version
// having moved on since they were written, never will. What a crash or a
// failed delete leaves behind is never read again.
func (s *shard) collect(ctx context.Context) {
	live := map[string]bool{}
	for _, ref := range s.head.doc.Sealed {
		live[ref.key(s.name)] = true
	}
	var later []segmentRef
	for _, ref := range s.garbage {
		if s.stale || s.head.version <= ref.From {
			later = append(later, ref)
			continue
		}
		if key := ref.key(s.name); !live[key] {
			_ = s.guard.delete(ctx, key, ref.Version)
		}
	}
	s.garbage = later
}

package claim

import (
	"context"

	"github.com/azurelead/azurelead/platform"
)

// write stores the plan's head by one conditional update. The update succeeds only if
// the head's version is unchanged, which proves that no other writer changed a claim of
// the shard since the head was read.
func (s *shard) write(ctx context.Context, p *plan) error {
	h := p.head
	if len(h.doc.Sealed) > maxSealedSegments {
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
	expired := h.expire(s.options.Retention)
	s.hook(StepBeforeWrite)
	version, err := s.store.put(ctx, s.headKey(), encode(h.doc), s.head.version)
	if err != nil {
		s.handleWriteError(p, err)
		return err
	}
	s.hook(StepWritten)
	h.version = version
	if p.sealed != nil {
		s.index.add(p.sealed.ref.Seq, p.sealed.content.Records)
	}
	s.head, s.headReadAt, s.clockUpdatedAt, s.stale = h, p.createdAt, p.createdAt, false
	s.garbage = append(s.garbage, expired...)
	s.pruneIndex(h)
	return nil
}

func (s *shard) handleWriteError(p *plan, err error) {
	s.stale = true
	if platform.Conflict.Has(err) {
		s.metrics.conflicts.Inc()
		if p.sealed != nil {
			s.garbage = append(s.garbage, p.sealed.ref)
		}
		return
	}
	if hadNoEffect(err) {
		return
	}
	s.metrics.lostAnswers.Inc()
	for i, o := range p.batch {
		o.mayTakeEffect = o.mayTakeEffect || p.written[i]
	}
}

// writeSegment creates the segment's object. An object that exists already was written
// from the same version of the head and therefore holds the same records.
func (s *shard) writeSegment(ctx context.Context, p *sealedSegment) (uint64, error) {
	key := p.ref.key(s.name)
	version, err := s.store.put(ctx, key, encode(p.content), 0)
	if !platform.Conflict.Has(err) {
		return version, err
	}
	o, err := s.store.get(ctx, key)
	return o.Version, err
}

// deleteGarbage deletes segment objects that the head does not list and will never
// list, because its version has increased since they were written. Objects that remain
// after a crash or a failed deletion are never read again.
func (s *shard) deleteGarbage(ctx context.Context) {
	live := map[string]bool{}
	for _, ref := range s.head.doc.Sealed {
		live[ref.key(s.name)] = true
	}
	var remaining []segmentRef
	for _, ref := range s.garbage {
		if s.stale || s.head.version <= ref.HeadVersion {
			remaining = append(remaining, ref)
			continue
		}
		if key := ref.key(s.name); !live[key] {
			_ = s.store.delete(ctx, key, ref.Version)
		}
	}
	s.garbage = remaining
}

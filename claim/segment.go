package claim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// segmentRef names a sealed segment of a shard.
type segmentRef struct {
	Seq uint64 `json:"s"`
	// From is the head's version that the segment was sealed from. It makes
	// the key unique: two writers that seal the same version write the same bytes.
	From uint64 `json:"f"`
	// Version is of the segment's object, to delete it.
	Version uint64 `json:"v"`
	// SealedMS is the shard's clock when it was sealed.
	SealedMS int64 `json:"t"`
}

func (r segmentRef) key(shard string) string {
	return fmt.Sprintf("%s/segment/%012d-%d", shard, r.Seq, r.From)
}

// segment is the object of a sealed segment.
type segment struct {
	Records []Record `json:"records"`
}

// headDoc is the head's object: the sealed segments and the open segment.
type headDoc struct {
	// ClockMS is the shard's clock: a sum of durations that its writers
	// measured between two versions of the head. It never runs ahead of
	// real time, and stands still while a shard changes its writer.
	ClockMS  int64        `json:"clock_ms"`
	OpenedMS int64        `json:"opened_ms"`
	Seq      uint64       `json:"seq"`
	Sealed   []segmentRef `json:"sealed"`
	Records  []Record     `json:"records"`
}

// head is one version of a shard's head in memory. Versions are immutable;
// next returns a changed copy.
type head struct {
	version uint64
	doc     headDoc
	sizes   []int
	bytes   int
	at      map[ID]int
}

func newHead() *head { return &head{at: map[ID]int{}} }

func decodeHead(version uint64, value json.RawMessage) (*head, error) {
	h := newHead()
	h.version = version
	if err := json.Unmarshal(value, &h.doc); err != nil {
		return nil, Error.Wrap(err)
	}
	for i, r := range h.doc.Records {
		n := len(encode(r))
		h.sizes = append(h.sizes, n)
		h.bytes += n
		h.at[r.ID] = i
	}
	return h, nil
}

func (h *head) clone() *head {
	c := *h
	c.doc.Sealed = slices.Clone(h.doc.Sealed)
	c.doc.Records = slices.Clone(h.doc.Records)
	c.sizes = slices.Clone(h.sizes)
	c.at = make(map[ID]int, len(h.at))
	for id, i := range h.at {
		c.at[id] = i
	}
	return &c
}

// get returns the open segment's record of id.
func (h *head) get(id ID) (Record, bool) {
	i, ok := h.at[id]
	if !ok {
		return Record{}, false
	}
	return h.doc.Records[i], true
}

// put adds or replaces the record in the open segment.
func (h *head) put(r Record) {
	n := len(encode(r))
	if i, ok := h.at[r.ID]; ok {
		h.bytes += n - h.sizes[i]
		h.doc.Records[i], h.sizes[i] = r, n
		return
	}
	h.at[r.ID] = len(h.doc.Records)
	h.doc.Records = append(h.doc.Records, r)
	h.sizes = append(h.sizes, n)
	h.bytes += n
}

// advance moves the shard's clock by a duration that this writer measured.
func (h *head) advance(d time.Duration) { h.doc.ClockMS += d.Milliseconds() }

// full reports whether the open segment is due to be sealed.
func (h *head) full(maxBytes int, maxAge time.Duration) bool {
	if len(h.doc.Records) == 0 {
		return false
	}
	return h.bytes >= maxBytes || h.doc.ClockMS-h.doc.OpenedMS >= maxAge.Milliseconds()
}

// seal closes the open segment and returns its reference and content.
func (h *head) seal() (segmentRef, segment) {
	ref := segmentRef{Seq: h.doc.Seq, From: h.version, SealedMS: h.doc.ClockMS}
	content := segment{Records: h.doc.Records}
	h.doc.Sealed = append(h.doc.Sealed, ref)
	h.doc.Seq++
	h.doc.OpenedMS = h.doc.ClockMS
	h.doc.Records, h.sizes, h.bytes, h.at = nil, nil, 0, map[ID]int{}
	return ref, content
}

// expire removes and returns the segments sealed longer ago than retention.
func (h *head) expire(retention time.Duration) []segmentRef {
	n := 0
	for n < len(h.doc.Sealed) && h.doc.ClockMS-h.doc.Sealed[n].SealedMS > retention.Milliseconds() {
		n++
	}
	gone := h.doc.Sealed[:n:n]
	h.doc.Sealed = h.doc.Sealed[n:]
	return gone
}

// index tells which sealed segment holds the latest record of an identity.
type index struct {
	seqs map[ID]uint64
	// next is the first sequence number not indexed yet.
	next uint64
	// first is the lowest sequence number that has not expired.
	first  uint64
	pruned uint64
}

// pruneEvery is how many expired segments' entries may stay in memory.
const pruneEvery = 32

func newIndex() *index { return &index{seqs: map[ID]uint64{}} }

// add indexes the records of a sealed segment. Segments come in order.
func (x *index) add(seq uint64, records []Record) {
	for _, r := range records {
		x.seqs[r.ID] = seq
	}
	x.next = seq + 1
}

func (x *index) get(id ID) (uint64, bool) {
	seq, ok := x.seqs[id]
	return seq, ok && seq >= x.first
}

// expireBelow forgets the segments below first.
func (x *index) expireBelow(first uint64) {
	x.first = max(x.first, first)
	if x.first-x.pruned < pruneEvery {
		return
	}
	for id, seq := range x.seqs {
		if seq < x.first {
			delete(x.seqs, id)
		}
	}
	x.pruned = x.first
}

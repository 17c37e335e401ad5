package claim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// segmentRef identifies a sealed segment of a shard.
type segmentRef struct {
	Seq uint64 `json:"s"`
	// HeadVersion is the version of the head from which the segment was sealed. It
	// makes the key unique: two writers that seal the same version write the same bytes.
	HeadVersion uint64 `json:"f"`
	// Version is the version of the segment's object, which is needed to delete it.
	Version uint64 `json:"v"`
	// SealedMS is the shard's clock in milliseconds when the segment was sealed.
	SealedMS int64 `json:"t"`
}

func (r segmentRef) key(shard string) string {
	return fmt.Sprintf("%s/segment/%012d-%d", shard, r.Seq, r.HeadVersion)
}

// segment is the stored object of a sealed segment.
type segment struct {
	Records []Record `json:"records"`
}

// headDoc is the stored object of the head. It lists the sealed segments and holds
// the records of the open segment.
type headDoc struct {
	// ClockMS is the shard's clock in milliseconds: the sum of the durations that its
	// writers measured between two versions of the head. It never runs ahead of real
	// time, and does not advance while the shard changes to another writer.
	ClockMS  int64        `json:"clock_ms"`
	OpenedMS int64        `json:"opened_ms"`
	Seq      uint64       `json:"seq"`
	Sealed   []segmentRef `json:"sealed"`
	Records  []Record     `json:"records"`
}

// head is one version of a shard's head in memory. A version that has been read or
// written is not modified. Updates are made on a clone.
type head struct {
	version   uint64
	doc       headDoc
	sizes     []int
	bytes     int
	positions map[ID]int
}

func newHead() *head { return &head{positions: map[ID]int{}} }

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
		h.positions[r.ID] = i
	}
	return h, nil
}

func (h *head) clone() *head {
	c := *h
	c.doc.Sealed = slices.Clone(h.doc.Sealed)
	c.doc.Records = slices.Clone(h.doc.Records)
	c.sizes = slices.Clone(h.sizes)
	c.positions = make(map[ID]int, len(h.positions))
	for id, i := range h.positions {
		c.positions[id] = i
	}
	return &c
}

// get returns the record of id in the open segment.
func (h *head) get(id ID) (Record, bool) {
	i, ok := h.positions[id]
	if !ok {
		return Record{}, false
	}
	return h.doc.Records[i], true
}

// put adds the record to the open segment, or replaces the record with the same ID.
func (h *head) put(r Record) {
	n := len(encode(r))
	if i, ok := h.positions[r.ID]; ok {
		h.bytes += n - h.sizes[i]
		h.doc.Records[i], h.sizes[i] = r, n
		return
	}
	h.positions[r.ID] = len(h.doc.Records)
	h.doc.Records = append(h.doc.Records, r)
	h.sizes = append(h.sizes, n)
	h.bytes += n
}

// advance adds a duration that this writer measured to the shard's clock.
func (h *head) advance(d time.Duration) { h.doc.ClockMS += d.Milliseconds() }

// full reports whether the open segment has reached the size or age at which it is sealed.
func (h *head) full(maxBytes int, maxAge time.Duration) bool {
	if len(h.doc.Records) == 0 {
		return false
	}
	return h.bytes >= maxBytes || h.doc.ClockMS-h.doc.OpenedMS >= maxAge.Milliseconds()
}

// seal closes the open segment and returns its reference and content.
func (h *head) seal() (segmentRef, segment) {
	ref := segmentRef{Seq: h.doc.Seq, HeadVersion: h.version, SealedMS: h.doc.ClockMS}
	content := segment{Records: h.doc.Records}
	h.doc.Sealed = append(h.doc.Sealed, ref)
	h.doc.Seq++
	h.doc.OpenedMS = h.doc.ClockMS
	h.doc.Records, h.sizes, h.bytes, h.positions = nil, nil, 0, map[ID]int{}
	return ref, content
}

// expire removes and returns the segments that were sealed longer than retention ago.
func (h *head) expire(retention time.Duration) []segmentRef {
	n := 0
	for n < len(h.doc.Sealed) && h.doc.ClockMS-h.doc.Sealed[n].SealedMS > retention.Milliseconds() {
		n++
	}
	expired := h.doc.Sealed[:n:n]
	h.doc.Sealed = h.doc.Sealed[n:]
	return expired
}

// index maps each ID to the sealed segment that holds its latest record.
type index struct {
	seqs map[ID]uint64
	// nextSeq is the first sequence number that is not indexed yet.
	nextSeq uint64
	// firstSeq is the lowest sequence number that has not expired.
	firstSeq    uint64
	prunedBelow uint64
}

// pruneThreshold is the number of expired segments after which their index entries are
// removed from memory.
const pruneThreshold = 32

func newIndex() *index { return &index{seqs: map[ID]uint64{}} }

// add indexes the records of a sealed segment. Segments must be added in order.
func (x *index) add(seq uint64, records []Record) {
	for _, r := range records {
		x.seqs[r.ID] = seq
	}
	x.nextSeq = seq + 1
}

func (x *index) get(id ID) (uint64, bool) {
	seq, ok := x.seqs[id]
	return seq, ok && seq >= x.firstSeq
}

// expireBelow hides the entries of segments below firstSeq, and removes them from
// memory once pruneThreshold segments have expired.
func (x *index) expireBelow(firstSeq uint64) {
	x.firstSeq = max(x.firstSeq, firstSeq)
	if x.firstSeq-x.prunedBelow < pruneThreshold {
		return
	}
	for id, seq := range x.seqs {
		if seq < x.firstSeq {
			delete(x.seqs, id)
		}
	}
	x.prunedBelow = x.firstSeq
}

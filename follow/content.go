package follow

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/platform/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("follow")

const (
	// maxInlineBytes is the size of objects up to which a state carries them as they are, and of compressed
	// objects up to which it carries those.
	maxInlineBytes = 16 << 10
	// maxPartialBytes is the size of changed objects up to which they are sent alone. Above it a receiver
	// that reads parts gets all objects: these are the same content for all receivers, whatever they
	// have, so that it is compressed once.
	maxPartialBytes = 128 << 10
	// partBytes is the size of the parts in which a peer reads larger content. A link of 10 Mbit/s
	// carries one in 35 ms, so that pings and small states do not wait long behind it.
	partBytes = 32 << 10
	// maxContents is the number of contents of each kind that are kept for peers. With more than one,
	// a peer can complete an older state while the objects keep changing.
	maxContents = 3
	// maxContentBytes bounds the compressed size of a content that is read from a peer.
	maxContentBytes = 64 << 20
	// maxDecompressedBytes bounds the size of a decompressed state.
	maxDecompressedBytes = 64 << 20
)

// ContentRef identifies the compressed objects of a state that a peer reads in parts. Entries with
// the same objects have the same content.
type ContentRef struct {
	// ID is a hash of the content.
	ID string `json:"id"`
	// Size is the size of the content in bytes.
	Size int `json:"size"`
}

// PartRequest asks for a part of a content, from Offset on.
type PartRequest struct {
	Kind   string `json:"kind"`
	ID     string `json:"id"`
	Offset int    `json:"offset"`
}

// Part is the reply to a PartRequest. It has no data if the peer does not serve the content now.
type Part struct {
	Data []byte `json:"data,omitempty"`
	// Last is set on the last part of a content.
	Last bool `json:"last,omitempty"`
}

// content is the compressed form of all objects of a kind.
type content struct {
	ref  ContentRef
	data []byte
	// checksum is that of the kind's state.
	checksum uint64
}

// contentCache keeps the contents that were compressed last, by kind and oldest first. After a change
// or a power failure hundreds of peers ask for the same content.
type contentCache struct {
	mu     sync.Mutex
	byKind map[string][]content
}

// get returns the content of a full state, and compresses it if it is not cached.
func (c *contentCache) get(s State) (content, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.byKind[s.Kind] {
		if known.checksum == s.Checksum {
			return known, nil
		}
	}
	data, err := compress(s.Objects)
	if err != nil {
		return content{}, err
	}
	made := content{ref: ContentRef{ID: contentID(data), Size: len(data)}, data: data, checksum: s.Checksum}
	kept := append(c.byKind[s.Kind], made)
	if n := len(kept) - maxContents; n > 0 {
		kept = slices.Delete(kept, 0, n)
	}
	if c.byKind == nil {
		c.byKind = make(map[string][]content)
	}
	c.byKind[s.Kind] = kept
	return made, nil
}

// part returns the requested part of a cached content.
func (c *contentCache) part(r PartRequest) Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.byKind[r.Kind] {
		if known.ref.ID == r.ID && r.Offset >= 0 && r.Offset < len(known.data) {
			end := min(r.Offset+partBytes, len(known.data))
			return Part{Data: known.data[r.Offset:end], Last: end == len(known.data)}
		}
	}
	return Part{}
}

// ReadPart returns a part of a content that StatesSince has referred to.
func (f *Follower) ReadPart(r PartRequest) Part { return f.contents.part(r) }

// encode replaces the objects of a large state by their compressed form or, for a peer that reads
// contents in parts, by a reference to it. On an error it returns the state unchanged.
func (f *Follower) encode(s State, inParts bool) (State, error) {
	if sizeOf(s.Objects) <= maxInlineBytes {
		return s, nil
	}
	if !s.Full {
		data, err := compress(s.Objects)
		if err != nil {
			return s, err
		}
		s.Objects, s.Compressed = nil, data
		return s, nil
	}
	c, err := f.contents.get(s)
	if err != nil {
		return s, err
	}
	s.Objects = nil
	if inParts && c.ref.Size > maxInlineBytes {
		s.Content = &c.ref
	} else {
		s.Compressed = c.data
	}
	return s, nil
}

// sizeOf returns the approximate size of objects in bytes.
func sizeOf(objects []fleet.Object) int {
	size := 0
	for _, o := range objects {
		size += len(o.Name) + len(o.Spec)
	}
	return size
}

// contentID returns the ID of a content.
func contentID(data []byte) string { return strconv.FormatUint(xxhash.Sum64(data), 36) }

// compress returns the objects' JSON, compressed with gzip at its fastest level: compressing a
// megabyte better would take a weak processor longer than it saves on the link.
func compress(objects []fleet.Object) ([]byte, error) {
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := errs.Combine(json.NewEncoder(z).Encode(objects), z.Close()); err != nil {
		return nil, Error.Wrap(err)
	}
	return buf.Bytes(), nil
}

// decompress returns the state with its objects in Objects.
func (s State) decompress() (State, error) {
	if s.Compressed == nil {
		return s, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(s.Compressed))
	if err != nil {
		return s, Error.Wrap(err)
	}
	if err := json.NewDecoder(io.LimitReader(z, maxDecompressedBytes)).Decode(&s.Objects); err != nil {
		return s, Error.Wrap(err)
	}
	s.Compressed = nil
	return s, nil
}

// Download assembles the content of a state from parts. The parts that have arrived stay when a peer
// fails, because another one may serve the rest.
type Download struct {
	state State
	data  []byte
}

// Resume goes on with the content that a state refers to. Parts of another content are dropped. It
// fails if the content is too large.
func (d *Download) Resume(s State) error {
	if s.Content == nil || s.Content.Size < 1 || s.Content.Size > maxContentBytes {
		return Error.New("state of %s refers to no usable content", s.Kind)
	}
	if d.state.Content == nil || *d.state.Content != *s.Content {
		d.data = nil
	}
	d.state = s
	return nil
}

// Next returns the request for the next part, and false if all parts have arrived.
func (d *Download) Next() (PartRequest, bool) {
	r := PartRequest{Kind: d.state.Kind, ID: d.state.Content.ID, Offset: len(d.data)}
	return r, len(d.data) < d.state.Content.Size
}

// Add appends a part. It fails if the part does not belong to the content.
func (d *Download) Add(p Part) error {
	if len(p.Data) == 0 || len(d.data)+len(p.Data) > d.state.Content.Size {
		return Error.New("part of %d bytes at offset %d of %d", len(p.Data), len(d.data), d.state.Content.Size)
	}
	d.data = append(d.data, p.Data...)
	return nil
}

// State returns the state with its content once all parts have arrived. If they do not match the
// content's ID, they are dropped.
func (d *Download) State() (State, error) {
	s := d.state
	if got := contentID(d.data); got != s.Content.ID {
		d.data = nil
		return State{}, Error.New("content of %s has ID %s, want %s", s.Kind, got, s.Content.ID)
	}
	s.Content, s.Compressed = nil, d.data
	return s, nil
}

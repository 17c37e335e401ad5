package follow

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("follow")

const (
	// compressThreshold is the number of objects from which a full state is compressed. Thousands
	// of similar objects shrink to a tenth of their size, so that sending them does not fill a link
	// of 10 Mbit/s for a second.
	compressThreshold = 200
	// maxDecompressedBytes bounds the size of a decompressed state.
	maxDecompressedBytes = 64 << 20
)

// compress compresses a full state of many objects. The compressed form is kept until the kind
// changes, because after a power failure hundreds of entries ask for the same state. On an error it
// returns the state uncompressed.
func (k *kindState) compress(s State) (State, error) {
	if len(s.Objects) < compressThreshold {
		return s, nil
	}
	if k.compressed == nil || k.compressedChecksum != k.checksum {
		var buf bytes.Buffer
		z := gzip.NewWriter(&buf)
		if err := errs.Combine(json.NewEncoder(z).Encode(s.Objects), z.Close()); err != nil {
			return s, Error.Wrap(err)
		}
		k.compressed, k.compressedChecksum = buf.Bytes(), k.checksum
	}
	s.Objects, s.Compressed = nil, k.compressed
	return s, nil
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

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
	// packFrom is the number of objects from which on a whole state is compressed:
	// thousands of entries that look alike take a tenth, and a link of 10 Mbit/s
	// is not filled for a second.
	packFrom = 200
	// maxUnpacked bounds what a compressed state may unfold to, in bytes.
	maxUnpacked = 64 << 20
)

// packed compresses a whole state of many objects. It is kept until the kind
// changes: after a loss of power hundreds of entries ask for the same one. With
// an error it returns the plain state.
func (k *kind) packed(s State) (State, error) {
	if len(s.Objects) < packFrom {
		return s, nil
	}
	if k.pack == nil || k.packSum != k.sum {
		var buf bytes.Buffer
		z := gzip.NewWriter(&buf)
		if err := errs.Combine(json.NewEncoder(z).Encode(s.Objects), z.Close()); err != nil {
			return s, Error.Wrap(err)
		}
		k.pack, k.packSum = buf.Bytes(), k.sum
	}
	s.Objects, s.Compressed = nil, k.pack
	return s, nil
}

// unpacked is the state with its objects in place.
func (s State) unpacked() (State, error) {
	if s.Compressed == nil {
		return s, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(s.Compressed))
	if err != nil {
		return s, Error.Wrap(err)
	}
	if err := json.NewDecoder(io.LimitReader(z, maxUnpacked)).Decode(&s.Objects); err != nil {
		return s, Error.Wrap(err)
	}
	s.Compressed = nil
	return s, nil
}

package memorybudget

import (
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// TooLarge is the class of errors of what is larger than the limit of Read, which are of class Error as well.
var TooLarge = errs.Class("too large")

const (
	// minBuffer is the size of the first buffer for bytes of unknown length, in bytes.
	minBuffer = 1 << 10
	// maxFirstBuffer bounds the first buffer for a stated length, in bytes: a sender in trouble may state more than it
	// sends.
	maxFirstBuffer = Exempt
	// maxDoubledBuffer is the size up to which buffers double, in bytes. Larger ones grow by a quarter, as their free part
	// counts towards the budget too.
	maxDoubledBuffer = 256 << 10
)

// ReadOptions says how much Read may read.
type ReadOptions struct {
	// Length is the number of bytes that the sender states; -1 if it states none.
	Length int64
	// Limit is the largest number of bytes that are read.
	Limit int64
	// Hold is called with the size of a buffer before it is allocated.
	Hold func(n int64) error
}

// Read reads r to its end. It returns an error of class TooLarge if that is after more than o.Limit bytes, before it
// reads any if the stated length says so.
func Read(r io.Reader, o ReadOptions) ([]byte, error) {
	if o.Length > o.Limit {
		return nil, tooLarge("%d bytes are stated, more than %d", o.Length, o.Limit)
	}
	size := int64(minBuffer)
	if o.Length >= 0 {
		size = min(o.Length+1, maxFirstBuffer)
	}
	read, err := grow(nil, size, o.Hold)
	for err == nil {
		var n int
		n, err = r.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		switch {
		case int64(len(read)) > o.Limit:
			return nil, tooLarge("more than %d bytes", o.Limit)
		case err == nil && len(read) == cap(read):
			read, err = grow(read, o.nextSize(int64(cap(read))), o.Hold)
		}
	}
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return read, nil
}

// nextSize returns the size of the buffer after one of size bytes. It is not above the stated length, but for the byte after
// which a reader reports its end.
func (o ReadOptions) nextSize(size int64) int64 {
	next := min(size+size/4, o.Limit+1)
	if size < maxDoubledBuffer {
		next = min(2*size, o.Limit+1)
	}
	if o.Length >= size {
		next = min(next, o.Length+1)
	}
	return next
}

// tooLarge returns an error of the classes TooLarge and Error.
func tooLarge(format string, args ...any) error { return TooLarge.Wrap(Error.New(format, args...)) }

// grow returns a copy of read with a capacity of size bytes.
func grow(read []byte, size int64, hold func(n int64) error) ([]byte, error) {
	if err := hold(size); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), read...), nil
}

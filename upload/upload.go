// Package upload reads the bodies of requests that are refused. A client may send all of its request before it reads,
// so the refusal is written once the body has been read to its end.
package upload

import (
	"errors"
	"io"
	"net/http"
	"strings"
)

// maxDiscardBytes bounds what is read of the body of a refused request.
const maxDiscardBytes = 64 << 20

// ErrUnread is returned for bodies that are not read to their end.
var ErrUnread = errors.New("the body has not been read to its end")

// Body is a request's body as it arrives. It is not safe for concurrent use.
type Body struct {
	reader          io.Reader
	expectsContinue bool
	// begun is set once the reading has begun, ended once the end has been read.
	begun, ended bool
}

// NewBody returns the body of a request to a server.
func NewBody(r *http.Request) *Body {
	return &Body{
		reader: r.Body, ended: r.Body == http.NoBody,
		expectsContinue: strings.EqualFold(r.Header.Get("Expect"), "100-continue"),
	}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.begun = true
	n, err := b.reader.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// Ended reports whether the end has been read. From then on net/http watches for the client's leaving, which a read
// deadline would end.
func (b *Body) Ended() bool { return b.ended }

// Discard reads the rest of the body without keeping it. It returns ErrUnread if that is too long, or if the client
// waits for permission to send it, and the error of reading it, such as an expired read deadline.
func (b *Body) Discard() error {
	if b.ended {
		return nil
	}
	if b.expectsContinue && !b.begun {
		return ErrUnread
	}
	switch _, err := io.CopyN(io.Discard, b, maxDiscardBytes); err {
	case io.EOF:
		return nil
	case nil:
		return ErrUnread
	default:
		return err
	}
}

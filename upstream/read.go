package upstream

import (
	"io"
	"net/http"

	"github.com/azurelead/azurelead/memorybudget"
)

// holder is implemented by the bodies of a client's responses.
type holder interface {
	hold(n int64) error
	detach() (release func())
}

// Hold states how many bytes of a response's body the caller holds. It returns an error if the client's budget does
// not allow that. Closing the body gives them back.
func Hold(body io.Reader, n int) error {
	if h, ok := body.(holder); ok {
		return h.hold(int64(n))
	}
	return nil
}

// Detach keeps what a response holds of the client's budget after its body is closed, until release is called.
func Detach(resp *http.Response) (release func()) {
	if h, ok := resp.Body.(holder); ok {
		return h.detach()
	}
	return func() {}
}

// ReadBody reads the body of a response, which counts towards the client's budget until the body is closed. A body of
// more than limit bytes is an error, which is returned before the body is read if its length is stated.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	o := memorybudget.ReadOptions{
		Length: resp.ContentLength, Limit: limit, Hold: func(n int64) error { return Hold(resp.Body, int(n)) },
	}
	if answersHead(resp) {
		o.Length = -1
	}
	body, err := memorybudget.Read(resp.Body, o)
	return body, Lost.Wrap(err)
}

// answersHead reports whether a response states the length of a body that it does not have.
func answersHead(resp *http.Response) bool {
	return resp.Request != nil && resp.Request.Method == http.MethodHead
}

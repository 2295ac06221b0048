package upstream

import (
	"errors"
	"io"
)

// errReadBound says that the endpoint sent more bytes than the bound allows.
var errReadBound = errors.New("upstream: more bytes than allowed")

// boundedReader is a reader on which the number of bytes still to be read can be bounded, so
// that a parser that buffers what it reads takes no more memory than that.
type boundedReader struct {
	source    io.Reader
	isBounded bool
	remaining int // bytes that may still be read while isBounded
}

// bound lets at most n further bytes be read until unbound is called.
func (r *boundedReader) bound(n int) {
	r.isBounded = true
	r.remaining = n
}

// unbound ends the bound.
func (r *boundedReader) unbound() { r.isBounded = false }

// Read implements io.Reader. It returns errReadBound once the bound is reached.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.isBounded {
		return r.source.Read(p)
	}
	if r.remaining <= 0 {
		return 0, errReadBound
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// Package boundedio bounds what is read from a peer.
package boundedio

import (
	"errors"
	"io"
)

// ErrLimitExceeded says that the peer sent more bytes than the bound allows.
var ErrLimitExceeded = errors.New("boundedio: more bytes than allowed")

// Reader is a reader on which the number of bytes still to be read can be bounded, so that a
// parser that buffers what it reads takes no more memory than that. Its zero value has no
// source.
type Reader struct {
	Source io.Reader

	isBounded bool
	remaining int // bytes that may still be read while isBounded
}

// Bound lets at most n further bytes be read until Unbound is called.
func (r *Reader) Bound(n int) {
	r.isBounded = true
	r.remaining = n
}

// Unbound ends the bound.
func (r *Reader) Unbound() { r.isBounded = false }

// Read implements io.Reader. It returns ErrLimitExceeded once the bound is reached.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.isBounded {
		return r.Source.Read(p)
	}
	if r.remaining <= 0 {
		return 0, ErrLimitExceeded
	}
	n, err := r.Source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// Package boundedio limits the number of bytes and the memory of reads from a peer.
package boundedio

import (
	"errors"
	"io"
)

// ErrLimitExceeded means that the peer sent more bytes than the bound allows.
var ErrLimitExceeded = errors.New("boundedio: more bytes than allowed")

// Reader reads from Source and can bound the number of further bytes. This limits the memory of a
// parser that buffers what it reads. Source must be set before the first read.
type Reader struct {
	Source io.Reader

	isBounded bool
	remaining int // bytes that may still be read while isBounded
}

// Bound allows at most n further bytes to be read until the next call of Bound or Unbound.
func (r *Reader) Bound(n int) {
	r.isBounded = true
	r.remaining = n
}

// Unbound removes the bound.
func (r *Reader) Unbound() { r.isBounded = false }

// Read implements io.Reader. It returns ErrLimitExceeded after the bound is reached.
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

package paxos

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// A patch rebuilds a byte array from an older one. Both are seen as pieces that
// end after each '}': a list of records then changes only in the records that
// changed. The patch is a run of steps, each a count: even, copy so many bytes
// from an offset of the old array; odd, take so many bytes as they stand.

var errPatchMismatch = errors.New("cell: the patch does not fit")

func splitPieces(b []byte) [][]byte {
	var out [][]byte
	for len(b) > 0 {
		i := bytes.IndexByte(b, '}') + 1
		if i == 0 {
			i = len(b)
		}
		out = append(out, b[:i])
		b = b[i:]
	}
	return out
}

// MakePatch returns a patch that turns old into new.
func MakePatch(old, new []byte) []byte {
	where := map[string]int{}
	at := 0
	for _, p := range splitPieces(old) {
		if _, ok := where[string(p)]; !ok {
			where[string(p)] = at
		}
		at += len(p)
	}
	var out, lit []byte
	from, n := 0, 0
	flushCopy := func() {
		if n > 0 {
			out = binary.AppendUvarint(out, uint64(n)<<1)
			out = binary.AppendUvarint(out, uint64(from))
			n = 0
		}
	}
	flushLit := func() {
		if len(lit) > 0 {
			out = binary.AppendUvarint(out, uint64(len(lit))<<1|1)
			out = append(out, lit...)
			lit = nil
		}
	}
	for _, p := range splitPieces(new) {
		if n > 0 && from+n+len(p) <= len(old) && bytes.Equal(old[from+n:from+n+len(p)], p) {
			n += len(p)
			continue
		}
		if o, ok := where[string(p)]; ok {
			flushLit()
			flushCopy()
			from, n = o, len(p)
			continue
		}
		flushCopy()
		lit = append(lit, p...)
	}
	flushLit()
	flushCopy()
	return out
}

func ApplyPatch(old, patch []byte) ([]byte, error) {
	out := make([]byte, 0, len(old)+len(patch))
	for len(patch) > 0 {
		h, k := binary.Uvarint(patch)
		if k <= 0 {
			return nil, errPatchMismatch
		}
		patch = patch[k:]
		n := h >> 1
		if h&1 == 1 {
			if n > uint64(len(patch)) {
				return nil, errPatchMismatch
			}
			out = append(out, patch[:n]...)
			patch = patch[n:]
			continue
		}
		from, k := binary.Uvarint(patch)
		if k <= 0 || from > uint64(len(old)) || n > uint64(len(old))-from {
			return nil, errPatchMismatch
		}
		patch = patch[k:]
		out = append(out, old[from:from+n]...)
	}
	return out, nil
}

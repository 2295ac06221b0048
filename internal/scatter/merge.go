// Package gather asks one leaf of each shard of one plan and joins the parts.
package scatter

import (
	"bytes"
	"slices"
)

const recordSize = 16

// Merge returns the n greatest records of the bodies, greatest first. Bytes
// past the last whole record of a body are none. Equal records all count.
func Merge(bodies [][]byte, n int) []byte {
	total := 0
	for _, b := range bodies {
		total += len(b) / recordSize
	}
	heap := make([][]byte, 0, min(n, total)) // the least kept record on top
	for _, b := range bodies {
		for len(b) >= recordSize {
			rec := b[:recordSize]
			b = b[recordSize:]
			switch {
			case n <= 0:
			case len(heap) < n:
				heap = append(heap, rec)
				siftUp(heap)
			case bytes.Compare(rec, heap[0]) > 0:
				heap[0] = rec
				siftDown(heap)
			}
		}
	}
	slices.SortFunc(heap, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, len(heap)*recordSize)
	for _, r := range heap {
		out = append(out, r...)
	}
	return out
}

func siftUp(h [][]byte) {
	for i := len(h) - 1; i > 0; {
		p := (i - 1) / 2
		if bytes.Compare(h[i], h[p]) >= 0 {
			return
		}
		h[i], h[p] = h[p], h[i]
		i = p
	}
}

func siftDown(h [][]byte) {
	for i := 0; ; {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && bytes.Compare(h[c+1], h[c]) < 0 {
			c++
		}
		if bytes.Compare(h[i], h[c]) <= 0 {
			return
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
}

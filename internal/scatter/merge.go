package scatter

import (
	"bytes"
	"slices"
)

// recordSize is the size of a record in the responses of shards, in bytes.
const recordSize = 16

// Merge returns the n greatest records of the bodies in descending byte order. Bytes
// after the last complete record of a body are ignored. Equal records are not
// deduplicated.
func Merge(bodies [][]byte, n int) []byte {
	kept := greatest(bodies, n)
	slices.SortFunc(kept, func(a, b []byte) int { return bytes.Compare(b, a) })
	merged := make([]byte, 0, len(kept)*recordSize)
	for _, record := range kept {
		merged = append(merged, record...)
	}
	return merged
}

// greatest returns the n greatest records of the bodies as a heap.
func greatest(bodies [][]byte, n int) recordHeap {
	total := 0
	for _, body := range bodies {
		total += len(body) / recordSize
	}
	kept := make(recordHeap, 0, min(n, total))
	if n <= 0 {
		return kept
	}
	for _, body := range bodies {
		for len(body) >= recordSize {
			record := body[:recordSize]
			body = body[recordSize:]
			if len(kept) < n {
				kept = append(kept, record)
				kept.siftUp()
			} else if bytes.Compare(record, kept[0]) > 0 {
				kept[0] = record
				kept.siftDown()
			}
		}
	}
	return kept
}

// recordHeap is a min-heap of records. It does not use container/heap, which converts
// each record to an interface value.
type recordHeap [][]byte

// siftUp restores the heap order after a record was appended.
func (h recordHeap) siftUp() {
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if bytes.Compare(h[i], h[parent]) >= 0 {
			return
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// siftDown restores the heap order after the first record was replaced.
func (h recordHeap) siftDown() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && bytes.Compare(h[child+1], h[child]) < 0 {
			child++
		}
		if bytes.Compare(h[i], h[child]) <= 0 {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}

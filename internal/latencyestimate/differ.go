package latencyestimate

import (
	"bytes"
	"slices"
)

// Difference is how a copy's part stands to another copy's part of the same lookup, under
// one cut of the index.
type Difference uint8

// A copy's part is the same as the other's; empty where the other has records; doubled,
// the other's with records repeated; stale, a subset of the other's; or each has what the
// other lacks, and which is wrong can't be told.
const (
	Same Difference = iota
	Empty
	Duplicated
	Stale
	Conflicting
)

func (d Difference) String() string {
	return [...]string{"same", "empty", "duplicated", "stale", "conflicting"}[min(d, Conflicting)]
}

const recordSize = 16

// sortedRecords cuts a part into its records, sorted.
func sortedRecords(body []byte) [][]byte {
	out := make([][]byte, 0, len(body)/recordSize)
	for i := 0; i+recordSize <= len(body); i += recordSize {
		out = append(out, body[i:i+recordSize])
	}
	slices.SortFunc(out, bytes.Compare)
	return out
}

// CompareParts says how each of two parts stands to the other.
func CompareParts(a, b []byte) (ofA, ofB Difference) {
	x, y := sortedRecords(a), sortedRecords(b)
	onlyX, onlyY, doubledX, doubledY := 0, 0, 0, 0
	for len(x) > 0 || len(y) > 0 {
		switch {
		case len(y) == 0 || len(x) > 0 && bytes.Compare(x[0], y[0]) < 0:
			onlyX++
			x = x[1:]
		case len(x) == 0 || bytes.Compare(x[0], y[0]) > 0:
			onlyY++
			y = y[1:]
		default: // the same record: how often it stands in each
			r := x[0]
			nx, ny := leadingCount(x, r), leadingCount(y, r)
			doubledX += max(0, nx-ny)
			doubledY += max(0, ny-nx)
			x, y = x[nx:], y[ny:]
		}
	}
	switch {
	case onlyX+onlyY+doubledX+doubledY == 0:
		return Same, Same
	case len(b) < recordSize:
		return Same, Empty
	case len(a) < recordSize:
		return Empty, Same
	case onlyX > 0 && onlyY > 0:
		return Conflicting, Conflicting
	}
	ofA, ofB = Same, Same
	if doubledX > 0 {
		ofA = Duplicated
	} else if onlyY > 0 {
		ofA = Stale
	}
	if doubledY > 0 {
		ofB = Duplicated
	} else if onlyX > 0 {
		ofB = Stale
	}
	return ofA, ofB
}

// leadingCount is how often a record stands at the head of sorted records.
func leadingCount(sorted [][]byte, r []byte) int {
	n := 0
	for n < len(sorted) && bytes.Equal(sorted[n], r) {
		n++
	}
	return n
}

package latencyestimate

import (
	"bytes"
	"slices"
)

// recordSize is the length of a record of a lookup's answer, in bytes.
const recordSize = 16

// Difference is how a replica's answer compares with another replica's answer to the same
// lookup, with the same shards of the index.
type Difference uint8

const (
	// Same answers hold the same records, in any order.
	Same Difference = iota
	// Empty answers hold no record where the other one has some.
	Empty
	// Duplicated answers repeat records of the other one.
	Duplicated
	// Stale answers lack records of the other one.
	Stale
	// Conflicting answers each have records that the other one lacks: which one is wrong
	// isn't known.
	Conflicting
)

// String returns the name of the difference as operators see it.
func (d Difference) String() string {
	return [...]string{"same", "empty", "duplicated", "stale", "conflicting"}[min(d, Conflicting)]
}

// CompareAnswers returns how each of two answers compares with the other.
func CompareAnswers(a, b []byte) (ofA, ofB Difference) {
	d := countDifferences(sortedRecords(a), sortedRecords(b))
	switch {
	case d == recordDifferences{}:
		return Same, Same
	case len(b) < recordSize:
		return Same, Empty
	case len(a) < recordSize:
		return Empty, Same
	case d.onlyInA > 0 && d.onlyInB > 0:
		return Conflicting, Conflicting
	}
	return classify(d.repeatedInA, d.onlyInB), classify(d.repeatedInB, d.onlyInA)
}

// classify returns the difference of an answer by how many records it repeats and lacks.
func classify(repeated, lacking int) Difference {
	switch {
	case repeated > 0:
		return Duplicated
	case lacking > 0:
		return Stale
	}
	return Same
}

// recordDifferences counts the records that two answers don't share.
type recordDifferences struct {
	onlyInA, onlyInB         int
	repeatedInA, repeatedInB int // more often than in the other one
}

// countDifferences merges two sorted lists of records.
func countDifferences(a, b [][]byte) recordDifferences {
	var d recordDifferences
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && bytes.Compare(a[0], b[0]) < 0:
			d.onlyInA++
			a = a[1:]
		case len(a) == 0 || bytes.Compare(a[0], b[0]) > 0:
			d.onlyInB++
			b = b[1:]
		default:
			record := a[0]
			countA, countB := leadingCount(a, record), leadingCount(b, record)
			d.repeatedInA += max(0, countA-countB)
			d.repeatedInB += max(0, countB-countA)
			a = a[countA:]
			b = b[countB:]
		}
	}
	return d
}

// sortedRecords returns the records of an answer, sorted. A remainder that is shorter than a
// record is left out.
func sortedRecords(body []byte) [][]byte {
	records := make([][]byte, 0, len(body)/recordSize)
	for i := 0; i+recordSize <= len(body); i += recordSize {
		records = append(records, body[i:i+recordSize])
	}
	slices.SortFunc(records, bytes.Compare)
	return records
}

// leadingCount returns how often a record stands at the head of sorted records.
func leadingCount(sorted [][]byte, record []byte) int {
	n := 0
	for n < len(sorted) && bytes.Equal(sorted[n], record) {
		n++
	}
	return n
}

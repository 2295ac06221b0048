package latencyestimate

import (
	"bytes"
	"slices"
)

// recordSize is the length of a record in a lookup's answer, in bytes.
const recordSize = 16

// Difference classifies a replica's answer by comparison with another replica's answer to
// the same lookup over the same shards of the index.
type Difference uint8

const (
	// Same means that the answer neither lacks nor repeats records of the other one. The order
	// of records does not matter.
	Same Difference = iota
	// Empty means that the answer has no records, but the other one has.
	Empty
	// Duplicated means that the answer has a record more often than the other one.
	Duplicated
	// Stale means that the answer lacks records of the other one.
	Stale
	// Conflicting means that each answer has records that the other one lacks. It is not
	// known which one is wrong.
	Conflicting
)

// String returns the name of the difference in the operator API.
func (d Difference) String() string {
	return [...]string{"same", "empty", "duplicated", "stale", "conflicting"}[min(d, Conflicting)]
}

// CompareAnswers compares two answers and returns the Difference of each.
func CompareAnswers(a, b []byte) (differenceA, differenceB Difference) {
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

// classify returns the Difference of an answer, given the number of records that it repeats
// and lacks.
func classify(repeated, lacking int) Difference {
	switch {
	case repeated > 0:
		return Duplicated
	case lacking > 0:
		return Stale
	}
	return Same
}

// recordDifferences counts the records in which two answers differ.
type recordDifferences struct {
	onlyInA, onlyInB         int
	repeatedInA, repeatedInB int // copies beyond those in the other one
}

// countDifferences compares two sorted lists of records.
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

// sortedRecords returns the records of an answer, sorted. It ignores a remainder that is
// shorter than a record.
func sortedRecords(body []byte) [][]byte {
	records := make([][]byte, 0, len(body)/recordSize)
	for i := 0; i+recordSize <= len(body); i += recordSize {
		records = append(records, body[i:i+recordSize])
	}
	slices.SortFunc(records, bytes.Compare)
	return records
}

// leadingCount returns the number of copies of record at the start of sorted.
func leadingCount(sorted [][]byte, record []byte) int {
	n := 0
	for n < len(sorted) && bytes.Equal(sorted[n], record) {
		n++
	}
	return n
}

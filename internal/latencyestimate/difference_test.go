package latencyestimate

import (
	"bytes"
	"fmt"
	"testing"
)

// records returns an answer with the records of the given IDs.
func records(ids ...int) []byte {
	var answer bytes.Buffer
	for _, id := range ids {
		fmt.Fprintf(&answer, "%016d", id)
	}
	return answer.Bytes()
}

// TestCompareAnswers: each way in which a replica's answer may be wrong has its own name, and
// answers in another order are the same.
func TestCompareAnswers(t *testing.T) {
	for _, c := range []struct {
		situation string
		a, b      []byte
		ofA, ofB  Difference
	}{
		{"another order", records(1, 2, 3), records(3, 1, 2), Same, Same},
		{"a record that both have twice", records(1, 1, 2), records(2, 1, 1), Same, Same},
		{"a remainder is no record", append(records(1), 'x'), records(1), Same, Same},
		{"the second lacks a record", records(1, 2, 3), records(1, 3), Same, Stale},
		{"the first lacks a record", records(1), records(1, 9), Stale, Same},
		{"a record twice", records(1, 2), records(1, 2, 2), Same, Duplicated},
		{"nothing", records(1, 2), nil, Same, Empty},
		{"nothing in both", nil, nil, Same, Same},
		{"each has what the other lacks", records(1, 2), records(1, 3), Conflicting, Conflicting},
	} {
		if ofA, ofB := CompareAnswers(c.a, c.b); ofA != c.ofA || ofB != c.ofB {
			t.Errorf("%s: got %v and %v, want %v and %v", c.situation, ofA, ofB, c.ofA, c.ofB)
		}
	}
}

package latencyestimate

import (
	"bytes"
	"fmt"
	"testing"
)

// records returns an answer that consists of records with the given IDs.
func records(ids ...int) []byte {
	var answer bytes.Buffer
	for _, id := range ids {
		fmt.Fprintf(&answer, "%016d", id)
	}
	return answer.Bytes()
}

// TestCompareAnswers guards against wrong classifications of answers that differ, and against
// a difference that is reported for the same records in another order.
func TestCompareAnswers(t *testing.T) {
	for _, c := range []struct {
		name         string
		a, b         []byte
		wantA, wantB Difference
	}{
		{"same records in another order", records(1, 2, 3), records(3, 1, 2), Same, Same},
		{"record twice in both", records(1, 1, 2), records(2, 1, 1), Same, Same},
		{"remainder shorter than a record", append(records(1), 'x'), records(1), Same, Same},
		{"record missing in b", records(1, 2, 3), records(1, 3), Same, Stale},
		{"record missing in a", records(1), records(1, 9), Stale, Same},
		{"record repeated in b", records(1, 2), records(1, 2, 2), Same, Duplicated},
		{"empty b", records(1, 2), nil, Same, Empty},
		{"both empty", nil, nil, Same, Same},
		{"record missing in each", records(1, 2), records(1, 3), Conflicting, Conflicting},
	} {
		if gotA, gotB := CompareAnswers(c.a, c.b); gotA != c.wantA || gotB != c.wantB {
			t.Errorf("%s: CompareAnswers returned %v and %v, want %v and %v", c.name, gotA, gotB, c.wantA, c.wantB)
		}
	}
}

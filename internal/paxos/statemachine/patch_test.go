package statemachine

import (
	"bytes"
	"math/rand"
	"strings"
	"testing"
)

// randomRecords makes a list of short records; the last may lack its end.
func randomRecords(rng *rand.Rand) []byte {
	var text strings.Builder
	for range rng.Intn(12) {
		for range rng.Intn(3) {
			text.WriteByte(byte('a' + rng.Intn(2)))
		}
		if rng.Intn(5) > 0 {
			text.WriteByte('}')
		}
	}
	return []byte(text.String())
}

// TestPatchRebuildsNew: a patch between any two lists turns the one into the other.
func TestPatchRebuildsNew(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 20000 {
		before := randomRecords(rng)
		after := randomRecords(rng)
		rebuilt, err := ApplyPatch(before, MakePatch(before, after))
		if err != nil || !bytes.Equal(rebuilt, after) {
			t.Fatalf("from %q to %q: %q, %v", before, after, rebuilt, err)
		}
	}
}

// TestPatchOfOneRecordIsSmall: what has not changed is copied, not repeated.
func TestPatchOfOneRecordIsSmall(t *testing.T) {
	before := []byte(strings.Repeat("{same record}", 500) + "{old}" + strings.Repeat("{other record}", 500))
	after := bytes.Replace(before, []byte("{old}"), []byte("{new}"), 1)
	if size := len(MakePatch(before, after)); size > 32 {
		t.Errorf("the patch takes %d bytes of %d", size, len(after))
	}
}

// TestPatchIsCheckedBeforeUse: a malformed patch, or one for a longer array, is an error.
func TestPatchIsCheckedBeforeUse(t *testing.T) {
	long := []byte("{a}{b}{c}")
	for name, patch := range map[string][]byte{
		"cut count":            {0x80},
		"literal too short":    {9<<1 | literalBit, 'a'},
		"copy without offset":  {3 << 1},
		"offset beyond end":    {3 << 1, 10},
		"length beyond end":    {9 << 1, 1},
		"for a longer array":   MakePatch(append(long, "{d}"...), append(long, "{d}"...)),
		"second step cut away": append(MakePatch(long, long), 0x80),
	} {
		if got, err := ApplyPatch(long, patch); err == nil {
			t.Errorf("%s: no error, but %q", name, got)
		}
	}
}

package statemachine

import (
	"bytes"
	"math/rand"
	"strings"
	"testing"
)

// randomRecords returns a list of short random records. The last may lack its closing brace.
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

// TestPatchRebuildsNew checks with random lists that ApplyPatch rebuilds the new list from the old one
// and the patch that MakePatch returned.
func TestPatchRebuildsNew(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 20000 {
		before := randomRecords(rng)
		after := randomRecords(rng)
		rebuilt, err := ApplyPatch(before, MakePatch(before, after))
		if err != nil || !bytes.Equal(rebuilt, after) {
			t.Fatalf("patch from %q to %q: ApplyPatch returned %q and error %v, want the new list", before, after, rebuilt, err)
		}
	}
}

// TestPatchOfOneRecordIsSmall guards against a patch that contains records that have not changed.
func TestPatchOfOneRecordIsSmall(t *testing.T) {
	before := []byte(strings.Repeat("{same record}", 500) + "{old}" + strings.Repeat("{other record}", 500))
	after := bytes.Replace(before, []byte("{old}"), []byte("{new}"), 1)
	if size := len(MakePatch(before, after)); size > 32 {
		t.Errorf("patch of one record has %d bytes, want at most 32; the new list has %d", size, len(after))
	}
}

// TestApplyPatchErrors checks that ApplyPatch rejects a malformed patch and one for a longer array.
// An unchecked length or offset would make every replica panic.
func TestApplyPatchErrors(t *testing.T) {
	long := []byte("{a}{b}{c}")
	for name, patch := range map[string][]byte{
		"truncated length":     {0x80},
		"literal too short":    {9<<1 | literalBit, 'a'},
		"copy without offset":  {3 << 1},
		"offset beyond end":    {3 << 1, 10},
		"length beyond end":    {9 << 1, 1},
		"for a longer array":   MakePatch(append(long, "{d}"...), append(long, "{d}"...)),
		"second step cut away": append(MakePatch(long, long), 0x80),
	} {
		if got, err := ApplyPatch(long, patch); err == nil {
			t.Errorf("%s: ApplyPatch returned %q without an error, want an error", name, got)
		}
	}
}

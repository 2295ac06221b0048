package latencyestimate

import (
	"encoding/hex"
	"testing"

	"comethold/internal/compat"
	"comethold/internal/rpc"
)

// TestCompatibleRecords guards against a change of the wire format: a sketch must decode from
// the bytes of an earlier version.
func TestCompatibleRecords(t *testing.T) {
	compat.CheckMessages(t, []compat.Message{
		{Name: "sketch", Value: encodedSketch{Completed: []byte{1, 2, 3}, Censored: []byte{4, 5}}},
	})
}

// recordedSketch holds lookups of 10 to 40 ms and two that were abandoned after 1 s, as an
// earlier version encoded them.
const recordedSketch = "" +
	"a20158ab0000000240340000000000000000001f3c23d70a3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f" +
	"3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f" +
	"3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f3a83126f" +
	"0101010101010101010101010101010101010101010101010101010101010102581a0000000240340000000000000000" +
	"00023f800000000000000101"

// TestRecordedSketch guards against a sketch of an earlier version that decodes to another
// estimate.
func TestRecordedSketch(t *testing.T) {
	raw, err := hex.DecodeString(recordedSketch)
	if err != nil {
		t.Fatal(err)
	}
	var s Sketch
	if err := rpc.Unmarshal(raw, &s); err != nil {
		t.Fatal("decoding the recorded sketch failed, want no error:", err)
	}
	want := Estimate{Median: 26000000, Low: 12999999, High: 39000001, Samples: 31, Censored: 2}
	if got := s.Estimate(); got != want {
		t.Errorf("Estimate of the recorded sketch returned %+v, want %+v", got, want)
	}
}

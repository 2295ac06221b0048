package heartbeat

import (
	"fmt"
	"testing"
	"time"
)

// TestSuspects: a watched node is suspected after 3.5 intervals without a heartbeat, not earlier. The suspicion ends
// when a heartbeat arrives, when the node is removed, or when Reset is called after this process was suspended.
func TestSuspects(t *testing.T) {
	const interval = time.Second
	start := time.Unix(1000, 0)
	at := func(intervals float64) time.Time { return start.Add(time.Duration(intervals * float64(interval))) }
	d := NewDetector("a", interval)
	expect := func(step string, now time.Time, want ...string) {
		t.Helper()
		if got := d.Suspects(now); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: Suspects returned %v, want %v", step, got, want)
		}
	}
	d.SetNodes([]string{"a", "b", "c"}, start)
	expect("three missed heartbeats", at(3.5))
	expect("more than three", at(3.6), "b", "c")
	d.RecordHeartbeat("b", at(3.6))
	d.RecordHeartbeat("unwatched", at(3.6))
	expect("after a heartbeat of one node", at(3.7), "c")
	d.SetNodes([]string{"a", "b"}, at(3.8))
	expect("after the other node was removed", at(3.9))
	d.SetNodes([]string{"a", "b", "c"}, at(7))
	expect("after a node was added", at(7.2), "b")
	d.Reset(at(7.3))
	expect("after this process was suspended", at(7.4))
}

// TestHash: Hash returns fixed values, because nodes of all versions must compute the same positions and scores.
func TestHash(t *testing.T) {
	for _, c := range []struct {
		names []string
		want  uint64
	}{
		{[]string{"n1"}, 0xc1c502251d126fb5},
		{[]string{"n1", "h.example /a"}, 0xacdb0d386b01e0b2},
		{[]string{""}, 0xecba3df2c3383c52},
	} {
		if got := Hash(c.names...); got != c.want {
			t.Errorf("Hash(%q) = %#x, want %#x", c.names, got, c.want)
		}
	}
}

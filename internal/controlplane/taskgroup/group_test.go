package taskgroup

import (
	"testing"
	"time"
)

// TestCloseWaits: Close returns after the last task that was started, and none starts later.
func TestCloseWaits(t *testing.T) {
	var group Group
	finished := false
	group.Go(func() {
		time.Sleep(10 * time.Millisecond)
		finished = true
	})
	group.Close()
	if !finished {
		t.Error("a task still runs after Close")
	}
	group.Go(func() { t.Error("a task started after Close") })
	group.Close()
}

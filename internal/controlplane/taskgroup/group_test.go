package taskgroup

import (
	"testing"
	"time"
)

// TestCloseWaits guards against tasks that run or start after Close has returned, when the
// component that they use is closed.
func TestCloseWaits(t *testing.T) {
	var group Group
	finished := false
	group.Go(func() {
		time.Sleep(10 * time.Millisecond)
		finished = true
	})
	group.Close()
	if !finished {
		t.Error("task is still running after Close")
	}
	group.Go(func() { t.Error("task started after Close") })
	group.Close()
}

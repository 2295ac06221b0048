package metering

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/usage"
)

// memoryStorage keeps values in memory.
type memoryStorage map[string][]byte

func (s memoryStorage) NodeValue(key string) []byte { return s[key] }

func (s memoryStorage) QueueNodeValue(key string, value []byte) { s[key] = value }

// TestNewestCountsRestoredAfterRestart guards against counts that a restart loses. Only the newest
// PersistedWindows windows are stored, and only when they have changed.
func TestNewestCountsRestoredAfterRestart(t *testing.T) {
	storage := memoryStorage{}
	before := NewCollector()
	for i := range uint64(PersistedWindows + 2) {
		before.Record(&usage.CountReport{Incarnation: 6, Windows: usage.Windows{window + i: usage.Counts{tenant: i + 1}}})
	}
	newest := uint64(window + PersistedWindows + 1)
	if written := NewCountStore(before, storage, windowLength).persist(newest); written == 0 {
		t.Error("persist with changed windows wrote 0 bytes, want more")
	}
	if written := NewCountStore(before, storage, windowLength).persist(newest); written != 0 {
		t.Errorf("persist without a change wrote %d bytes, want 0", written)
	}
	after := NewCollector()
	NewCountStore(after, storage, windowLength).Restore()
	for i := range uint64(PersistedWindows + 2) {
		want := uint64(0)
		if i >= 2 {
			want = i + 1
		}
		if got := usage.Total(after.Window(window + i))[tenant]; got != want {
			t.Errorf("window %d after Restore has a count of %d, want %d", i, got, want)
		}
	}
}

// TestCountsNotStoredWithoutAgreedTime guards against writes before the control nodes agree on the
// time: the current window is unknown until then.
func TestCountsNotStoredWithoutAgreedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		storage := memoryStorage{}
		collector := NewCollector()
		collector.Record(&usage.CountReport{Incarnation: 6, Windows: usage.Windows{window: usage.Counts{tenant: 1}}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go NewCountStore(collector, storage, windowLength).Run(ctx)
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(storage) != 0 {
			t.Errorf("Run without an agreed time stored %d windows, want 0", len(storage))
		}
	})
}

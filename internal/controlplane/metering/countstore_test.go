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

// TestCountsOutliveRestart: the newest windows are known after a restart.
func TestCountsOutliveRestart(t *testing.T) {
	storage := memoryStorage{}
	before := NewCollector()
	for i := range uint64(PersistedWindows + 2) {
		before.Record(&usage.CountReport{Incarnation: 6, Windows: usage.Windows{window + i: usage.Counts{tenant: i + 1}}})
	}
	newest := uint64(window + PersistedWindows + 1)
	if written := NewCountStore(before, storage, windowLength).persist(newest); written == 0 {
		t.Error("nothing is written")
	}
	if written := NewCountStore(before, storage, windowLength).persist(newest); written != 0 {
		t.Errorf("%d bytes are written without a change", written)
	}
	after := NewCollector()
	NewCountStore(after, storage, windowLength).Restore()
	for i := range uint64(PersistedWindows + 2) {
		want := uint64(0)
		if i >= 2 {
			want = i + 1
		}
		if got := usage.Total(after.Window(window + i))[tenant]; got != want {
			t.Errorf("window %d: %d, not %d", i, got, want)
		}
	}
}

// TestNothingIsStoredWithoutAgreedTime: windows are not known before the control nodes agree
// on the time.
func TestNothingIsStoredWithoutAgreedTime(t *testing.T) {
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
			t.Errorf("%d windows are stored", len(storage))
		}
	})
}

package allocation

import (
	"context"
	"time"

	"comethold/internal/quota"
	"comethold/internal/rpc"
)

// WatermarkStorageKey is the key of the node's storage under which low watermarks are kept.
const WatermarkStorageKey = "quota-floors"

const (
	watermarkInterval   = 250 * time.Millisecond
	watermarkWritePause = 40 * time.Millisecond // between two writes
)

// NodeStorage keeps values of this node alone.
type NodeStorage interface {
	// NodeValue returns a stored value, or nil.
	NodeValue(key string) []byte
	// SetNodeValue returns once a value is durable.
	SetNodeValue(key string, value []byte) error
}

// WatermarkStore keeps on the disk what every bucket holds at least, so that a restart need
// not begin with empty ones. Under the usual load nothing is written.
type WatermarkStore struct {
	allocator *quota.Allocator
	storage   NodeStorage
	wakeup    chan struct{} // holds an element when tokens were taken
}

// NewWatermarkStore returns a WatermarkStore; Run starts it.
func NewWatermarkStore(allocator *quota.Allocator, storage NodeStorage) *WatermarkStore {
	return &WatermarkStore{allocator: allocator, storage: storage, wakeup: make(chan struct{}, 1)}
}

// Load returns the stored low watermarks by tenant. They are nil if what is stored can't be
// read, and empty if nothing is.
func (w *WatermarkStore) Load() map[string]float64 {
	watermarks := map[string]float64{}
	raw := w.storage.NodeValue(WatermarkStorageKey)
	if raw != nil && rpc.Unmarshal(raw, &watermarks) != nil {
		return nil
	}
	return watermarks
}

// Wake has Run look at the buckets soon: tokens were taken and watermarks may have to move.
// It does not block.
func (w *WatermarkStore) Wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// Run stores watermarks that have to move until the context ends.
func (w *WatermarkStore) Run(ctx context.Context) {
	for {
		select {
		case <-w.wakeup:
		case <-time.After(watermarkInterval):
		case <-ctx.Done():
			return
		}
		watermarks, due := w.allocator.LowWatermarks(time.Now())
		if !due {
			continue
		}
		pause := watermarkWritePause
		if w.store(watermarks) {
			w.allocator.LowWatermarksStored(watermarks)
		} else {
			pause = watermarkInterval // the disk refuses; the old watermarks hold
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

func (w *WatermarkStore) store(watermarks map[string]float64) bool {
	raw, err := rpc.Marshal(watermarks)
	return err == nil && w.storage.SetNodeValue(WatermarkStorageKey, raw) == nil
}

package allocation

import (
	"context"
	"time"

	"comethold/internal/quota"
	"comethold/internal/rpc"
)

// WatermarkStorageKey is the key of the low watermarks in the node's storage.
const WatermarkStorageKey = "quota-floors"

const (
	watermarkInterval   = 250 * time.Millisecond
	watermarkWritePause = 40 * time.Millisecond // between two writes
)

// NodeStorage stores values that belong to this node.
type NodeStorage interface {
	// NodeValue returns a stored value, or nil if there is none.
	NodeValue(key string) []byte
	// SetNodeValue stores a value and returns once it is durable.
	SetNodeValue(key string, value []byte) error
}

// WatermarkStore stores a lower bound of the level of every bucket on disk, so that buckets are not
// empty after a restart. It writes only when a bound must change; under normal load it writes nothing.
type WatermarkStore struct {
	allocator *quota.Allocator
	storage   NodeStorage
	wakeup    chan struct{} // signals Run; buffered, so that Wake never blocks
}

// NewWatermarkStore returns a WatermarkStore; Run starts it.
func NewWatermarkStore(allocator *quota.Allocator, storage NodeStorage) *WatermarkStore {
	return &WatermarkStore{allocator: allocator, storage: storage, wakeup: make(chan struct{}, 1)}
}

// Load returns the stored low watermarks by tenant. The map is nil if the stored value can't be
// decoded, and empty if no value is stored.
func (w *WatermarkStore) Load() map[string]float64 {
	watermarks := map[string]float64{}
	raw := w.storage.NodeValue(WatermarkStorageKey)
	if raw != nil && rpc.Unmarshal(raw, &watermarks) != nil {
		return nil
	}
	return watermarks
}

// Wake makes Run check whether any low watermark must change. It does not block.
func (w *WatermarkStore) Wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// Run stores the low watermarks whenever one must change, until the context ends.
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
			pause = watermarkInterval // the write failed; the old watermarks stay in effect
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

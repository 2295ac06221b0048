package metering

import (
	"context"
	"fmt"
	"time"

	"comethold/internal/rpc"
	"comethold/internal/usage"
)

const (
	minPersistInterval    = 200 * time.Millisecond
	persistBytesPerSecond = 256 << 10
)

// PersistedWindows is how many windows, the newest, are stored.
const PersistedWindows = 4

// NodeStorage keeps values of this node alone.
type NodeStorage interface {
	// NodeValue returns a stored value, or nil.
	NodeValue(key string) []byte
	// QueueNodeValue stores a value soon.
	QueueNodeValue(key string, value []byte)
}

// PersistedWindow is what is stored of a window.
type PersistedWindow struct {
	Window uint64                  `cbor:"1,keyasint"`
	Counts usage.IncarnationCounts `cbor:"2,keyasint"`
}

// PersistedWindowKey is the key of the node's storage under which a window is kept.
func PersistedWindowKey(window uint64) string { return fmt.Sprint("usage/", window%PersistedWindows) }

// CountStore keeps the counts of the newest windows on the disk: if a control node ends
// together with the data plane nodes that reported to it, nobody else knows them.
type CountStore struct {
	collector    *Collector
	storage      NodeStorage
	windowLength time.Duration
}

// NewCountStore returns a CountStore; Run starts it.
func NewCountStore(collector *Collector, storage NodeStorage, windowLength time.Duration) *CountStore {
	return &CountStore{collector: collector, storage: storage, windowLength: windowLength}
}

// Restore gives the collector what former incarnations stored.
func (s *CountStore) Restore() {
	for slot := range uint64(PersistedWindows) {
		var persisted PersistedWindow
		raw := s.storage.NodeValue(PersistedWindowKey(slot))
		if raw != nil && rpc.Unmarshal(raw, &persisted) == nil {
			s.collector.store.Merge(persisted.Window, persisted.Counts)
		}
	}
}

// Run stores counts until the context ends. It pauses the longer the more it has written.
func (s *CountStore) Run(ctx context.Context) {
	pause := minPersistInterval
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = minPersistInterval
		if now, agreed := s.collector.clock.Now(time.Now()); agreed {
			written := s.persist(usage.WindowAt(now, s.windowLength))
			pause = max(pause, time.Duration(float64(written)/persistBytesPerSecond*float64(time.Second)))
		}
	}
}

// persist stores the newest windows, up to the current one, that have changed. It returns
// how many bytes these are.
func (s *CountStore) persist(current uint64) (written int) {
	oldest := current - min(current, PersistedWindows-1)
	for _, window := range s.collector.store.TakeChanged(oldest) {
		persisted := PersistedWindow{Window: window, Counts: s.collector.store.Window(window)}
		if raw, err := rpc.Marshal(&persisted); err == nil {
			s.storage.QueueNodeValue(PersistedWindowKey(window), raw)
			written += len(raw)
		}
	}
	return written
}

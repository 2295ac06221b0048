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

// PersistedWindows is the number of newest windows that are stored.
const PersistedWindows = 4

// NodeStorage stores values that belong to this node.
type NodeStorage interface {
	// NodeValue returns a stored value, or nil.
	NodeValue(key string) []byte
	// QueueNodeValue stores a value without waiting for it to become durable.
	QueueNodeValue(key string, value []byte)
}

// PersistedWindow is the stored record of a window.
type PersistedWindow struct {
	Window uint64                  `cbor:"1,keyasint"`
	Counts usage.IncarnationCounts `cbor:"2,keyasint"`
}

// PersistedWindowKey returns the key in NodeStorage under which a window is stored. Windows whose
// numbers are equal modulo PersistedWindows share a key, so a new window overwrites an old one.
func PersistedWindowKey(window uint64) string { return fmt.Sprint("usage/", window%PersistedWindows) }

// CountStore stores the counts of the newest windows on disk. Without it, counts would be lost if
// a control node failed together with the data plane nodes that reported to it.
type CountStore struct {
	collector    *Collector
	storage      NodeStorage
	windowLength time.Duration
}

// NewCountStore returns a CountStore; Run starts it.
func NewCountStore(collector *Collector, storage NodeStorage, windowLength time.Duration) *CountStore {
	return &CountStore{collector: collector, storage: storage, windowLength: windowLength}
}

// Restore loads the counts that former incarnations stored into the collector. It skips records
// that it can't decode.
func (s *CountStore) Restore() {
	for slot := range uint64(PersistedWindows) {
		var persisted PersistedWindow
		raw := s.storage.NodeValue(PersistedWindowKey(slot))
		if raw != nil && rpc.Unmarshal(raw, &persisted) == nil {
			s.collector.store.Merge(persisted.Window, persisted.Counts)
		}
	}
}

// Run stores changed counts until the context ends. It pauses between writes so that they stay
// below persistBytesPerSecond. It writes nothing before there is an agreed time.
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

// persist stores those of the newest PersistedWindows windows that have changed. It returns the
// number of bytes.
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

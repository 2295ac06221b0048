package reconcile

import (
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
)

// TestPurgesAreCompacted: a purge is removed once minPurgeRetention has passed since it was first
// seen, and the low watermark is then its log index.
func TestPurgesAreCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestState(t)
		compactor := newPurgeCompactor(s.committer())
		meta := s.cell(schema.MetaCell)
		put := func(logIndex uint64) {
			key := paxos.AppendedKey(schema.PurgeKeyPrefix, logIndex, "x")
			meta.Commit(paxos.Txn{Ops: []paxos.Op{schema.PutOp(key, []distribution.Purge{{Label: "l"}})}})
		}
		check := func(when string, keys int, lowWatermark uint64) {
			t.Helper()
			compactor.compact(t.Context())
			if got := meta.Replica().KeysWithPrefix(schema.PurgeKeyPrefix, schema.PurgeKeyPrefix); len(got) != keys {
				t.Errorf("%s: keys of purges are %v, want %d keys", when, got, keys)
			}
			value, exists := meta.Replica().Get(schema.PurgeCompactedKey)
			if exists != (lowWatermark > 0) || exists && !value.Equal(schema.UintValue(lowWatermark)) {
				t.Errorf("%s: low watermark is %v, want %d (0 is none)", when, value.Int, lowWatermark)
			}
		}
		put(7)
		check("after the first purge", 1, 0)
		time.Sleep(minPurgeRetention / 2)
		put(9)
		check("after half of its retention", 2, 0)
		time.Sleep(minPurgeRetention/2 + time.Second)
		check("after the retention of the first purge", 1, 7)
		time.Sleep(minPurgeRetention / 2)
		check("after the retention of the second purge", 0, 9)
	})
}

package reconcile

import (
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
)

// TestPurgesAreCompacted: a purge goes once it was seen for minPurgeRetention, and the low
// watermark says up to where.
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
				t.Errorf("%s: %v", when, got)
			}
			value, exists := meta.Replica().Get(schema.PurgeCompactedKey)
			if exists != (lowWatermark > 0) || exists && !value.Equal(schema.UintValue(lowWatermark)) {
				t.Errorf("%s: the low watermark is %v", when, value.Int)
			}
		}
		put(7)
		check("at first", 1, 0)
		time.Sleep(minPurgeRetention / 2)
		put(9)
		check("halfway", 2, 0)
		time.Sleep(minPurgeRetention/2 + time.Second)
		check("after the first's retention", 1, 7)
		time.Sleep(minPurgeRetention / 2)
		check("after the second's", 0, 9)
	})
}

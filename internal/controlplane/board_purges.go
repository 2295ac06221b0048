package controlplane

import (
	"sort"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// SetPurges takes the recalls of the exchange cell. Those already held are
// not decoded again.
func (b *Distributor) SetPurges(m *paxos.Replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	floor := uint64(0)
	if v, ok := m.Get(schema.PurgeCompactedKey); ok && v.Int != nil {
		floor = v.Int.Uint64()
	}
	moved := false
	if floor > b.purgeLowWatermark {
		b.purgeLowWatermark = floor
		b.purgePosition = max(b.purgePosition, floor)
		at := sort.Search(len(b.purges), func(i int) bool { return b.purges[i].LogIndex > floor })
		b.purges = append([]distribution.Purge(nil), b.purges[at:]...)
	}
	held := b.purgePosition
	for _, k := range m.KeysWithPrefix(schema.PurgeKeyPrefix, purgeKeyAfter(held)) {
		var list []distribution.Purge
		v, _ := m.Get(k)
		if rpc.Unmarshal(v.Bytes, &list) != nil {
			continue
		}
		pos := schema.LogIndexOfKey(k, schema.PurgeKeyPrefix)
		for _, rec := range list {
			rec.LogIndex = pos
			b.purges = append(b.purges, rec)
		}
		b.purgePosition = max(b.purgePosition, pos)
		moved = true
	}
	if moved {
		b.notifyLocked()
	}
}

func purgeKeyAfter(pos uint64) string { return paxos.AppendedKey(schema.PurgeKeyPrefix, pos+1, "") }

// addPurgesLocked adds the recalls that the caller lacks.
func (b *Distributor) addPurgesLocked(h distribution.HeldVersions, n *distribution.Update) {
	if b.purgePosition <= h.PurgeIndex {
		return
	}
	rs := &distribution.PurgeUpdate{LogIndex: b.purgePosition, Reset: h.PurgeIndex < b.purgeLowWatermark}
	at := sort.Search(len(b.purges), func(i int) bool { return b.purges[i].LogIndex > h.PurgeIndex })
	rs.Purges = b.purges[at:len(b.purges):len(b.purges)]
	n.Purges = rs
}

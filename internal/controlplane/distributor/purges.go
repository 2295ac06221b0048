package distributor

import (
	"slices"
	"sort"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// purgeLog holds the purges that have not been compacted, ordered by log index.
type purgeLog struct {
	purges       []distribution.Purge
	readIndex    uint64 // log index up to which purges have been read
	lowWatermark uint64 // purges up to this log index have been compacted
}

// read removes the purges that the meta cell has compacted, adds the new purges in its state, and
// reports whether there were new ones. It decodes only the new ones.
func (l *purgeLog) read(replica *paxos.Replica) bool {
	if value, exists := replica.Get(schema.PurgeCompactedKey); exists && value.Int != nil {
		l.compact(value.Int.Uint64())
	}
	hasNew := false
	firstMissingKey := paxos.AppendedKey(schema.PurgeKeyPrefix, l.readIndex+1, "")
	for _, key := range replica.KeysWithPrefix(schema.PurgeKeyPrefix, firstMissingKey) {
		var batch []distribution.Purge
		value, _ := replica.Get(key)
		if rpc.Unmarshal(value.Bytes, &batch) != nil {
			continue
		}
		logIndex := schema.LogIndexOfKey(key, schema.PurgeKeyPrefix)
		for _, purge := range batch {
			purge.LogIndex = logIndex
			l.purges = append(l.purges, purge)
		}
		l.readIndex = max(l.readIndex, logIndex)
		hasNew = true
	}
	return hasNew
}

// compact removes the purges up to the log index lowWatermark.
func (l *purgeLog) compact(lowWatermark uint64) {
	if lowWatermark <= l.lowWatermark {
		return
	}
	l.lowWatermark = lowWatermark
	l.readIndex = max(l.readIndex, lowWatermark)
	l.purges = slices.Clone(l.purges[l.firstAfter(lowWatermark):])
}

// firstAfter returns the slice index of the first purge after a log index.
func (l *purgeLog) firstAfter(logIndex uint64) int {
	return sort.Search(len(l.purges), func(i int) bool { return l.purges[i].LogIndex > logIndex })
}

// updateFrom returns the update for a node that holds the purges up to the log index held, or nil
// if the node is up to date.
func (l *purgeLog) updateFrom(held uint64) *distribution.PurgeUpdate {
	if l.readIndex <= held {
		return nil
	}
	end := len(l.purges)
	return &distribution.PurgeUpdate{
		LogIndex: l.readIndex,
		Reset:    held < l.lowWatermark,
		Purges:   l.purges[l.firstAfter(held):end:end], // the capacity limit prevents appends into the shared array
	}
}

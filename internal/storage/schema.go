package storage

import (
	"encoding/binary"
	"errors"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// Names of buckets and keys in the file. They must not change: a newer version opens files of an older one.
//
//	node                bucket of the values of the node itself, by key
//	cell/<name>         bucket of a cell's replica:
//	    promised        paxos.ProposalNumber in cbor
//	    round           term of the replica's last campaign, 8 bytes, big endian
//	    chosen          commit index, 8 bytes, big endian
//	    snapshot        paxos.Snapshot in cbor
//	    log             bucket of paxos.Entry in cbor, by log index, 8 bytes, big endian
const cellBucketPrefix = "cell/"

var (
	nodeBucket     = []byte("node")
	promisedKey    = []byte("promised")
	termKey        = []byte("round")
	commitIndexKey = []byte("chosen")
	snapshotKey    = []byte("snapshot")
	logBucket      = []byte("log")
)

const uint64Bytes = 8

func cellBucket(cell string) []byte { return []byte(cellBucketPrefix + cell) }

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// decodeUint64 decodes a number. It returns 0 if raw does not have 8 bytes, as for a missing key.
func decodeUint64(raw []byte) uint64 {
	if len(raw) != uint64Bytes {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

func putNodeValue(tx *bolt.Tx, key string, value []byte) error {
	bucket, err := tx.CreateBucketIfNotExists(nodeBucket)
	if err != nil {
		return err
	}
	return bucket.Put([]byte(key), value)
}

// putReplicaWrites stores the writes of a cell's replica. The log is truncated only together with a new snapshot.
func putReplicaWrites(tx *bolt.Tx, cell string, writes *paxos.Writes) error {
	if writes.Empty() {
		return nil
	}
	bucket, err := tx.CreateBucketIfNotExists(cellBucket(cell))
	if err != nil {
		return err
	}
	log, err := bucket.CreateBucketIfNotExists(logBucket)
	if err != nil {
		return err
	}
	if writes.Promised != nil {
		if err := putEncoded(bucket, promisedKey, writes.Promised); err != nil {
			return err
		}
	}
	if writes.Term != 0 {
		if err := bucket.Put(termKey, encodeUint64(writes.Term)); err != nil {
			return err
		}
	}
	for i := range writes.Entries {
		if err := putEncoded(log, encodeUint64(writes.Entries[i].Index), &writes.Entries[i]); err != nil {
			return err
		}
	}
	if writes.Snapshot != nil {
		if err := putEncoded(bucket, snapshotKey, writes.Snapshot); err != nil {
			return err
		}
		if err := truncateLog(log, writes.TruncateTo); err != nil {
			return err
		}
	}
	return bucket.Put(commitIndexKey, encodeUint64(writes.CommitIndex))
}

func putEncoded(bucket *bolt.Bucket, key []byte, value any) error {
	raw, err := rpc.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, raw)
}

// truncateLog removes the entries up to and including a log index.
func truncateLog(log *bolt.Bucket, last uint64) error {
	cursor := log.Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= last; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// readReplicaState reads the state that putReplicaWrites has stored in the bucket of a cell.
func readReplicaState(bucket *bolt.Bucket, state *paxos.PersistedState) error {
	if raw := bucket.Get(promisedKey); raw != nil {
		if err := rpc.Unmarshal(raw, &state.Promised); err != nil {
			return err
		}
	}
	state.Term = decodeUint64(bucket.Get(termKey))
	state.CommitIndex = decodeUint64(bucket.Get(commitIndexKey))
	if raw := bucket.Get(snapshotKey); raw != nil {
		state.Snapshot = &paxos.Snapshot{}
		if err := rpc.Unmarshal(raw, state.Snapshot); err != nil {
			return err
		}
	}
	log := bucket.Bucket(logBucket)
	if log == nil {
		return nil
	}
	return log.ForEach(func(_, raw []byte) error {
		var entry paxos.Entry
		if err := rpc.Unmarshal(raw, &entry); err != nil {
			return err
		}
		state.Entries = append(state.Entries, entry)
		return nil
	})
}

// corruptError wraps a cause, which is an error or the value of a panic, in ErrCorrupt unless it already wraps it.
func corruptError(cause any) error {
	err, ok := cause.(error)
	switch {
	case !ok:
		return fmt.Errorf("%w: %v", ErrCorrupt, cause)
	case errors.Is(err, ErrCorrupt):
		return err
	}
	return fmt.Errorf("%w: %w", ErrCorrupt, err)
}

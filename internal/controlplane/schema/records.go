package schema

import (
	"bytes"
	"math/big"
	"strconv"
	"strings"

	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// IndexRecord describes an index cell. It is stored in the meta cell.
type IndexRecord struct {
	Voters   []paxos.Voter `cbor:"1,keyasint"` // initial voters of the cell
	Routes   []string      `cbor:"2,keyasint"` // names of the routes, sorted
	Services []string      `cbor:"3,keyasint"` // names of the services that these routes share, sorted
}

// ShardSetRecord holds the services and routes that a configuration assigns to an index cell.
type ShardSetRecord struct {
	Version  uint64   `cbor:"1,keyasint"` // version of the configuration
	Services []string `cbor:"2,keyasint"`
	Routes   []string `cbor:"3,keyasint"`
}

// LeaseRecord is the stored state of a lease.
type LeaseRecord struct {
	Owner paxos.ReplicaID `cbor:"1,keyasint"` // empty if the lease is free
	// Term is the fencing token. It increases each time the lease is acquired.
	Term uint64 `cbor:"2,keyasint"`
	// Renewals increases each time the lease is renewed or released.
	Renewals uint64 `cbor:"3,keyasint"`
}

// IndexCellName returns the name of the index cell with the given number.
func IndexCellName(number int64) string { return "i" + strconv.FormatInt(number, 10) }

// MustEncode encodes a record as a value. It panics on an encoding error, which can't occur for
// the record types of the control plane.
func MustEncode(record any) paxos.Value {
	raw, err := rpc.Marshal(record)
	if err != nil {
		panic(err)
	}
	return paxos.Bytes(raw)
}

// EqualEncoding reports whether two records have the same encoding.
func EqualEncoding(a, b any) bool {
	encodedA, errA := rpc.Marshal(a)
	encodedB, errB := rpc.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// UintValue returns an integer value.
func UintValue(n uint64) paxos.Value { return paxos.Value{Int: new(big.Int).SetUint64(n)} }

// LogIndexOfKey returns the log index in the key of an appended value (see paxos.AppendedKey), or
// 0 if the key contains no number after the prefix.
func LogIndexOfKey(key, prefix string) uint64 {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	index, _ := strconv.ParseUint(digits, 10, 64)
	return index
}

// ReadNodes returns the registered nodes. Records that can't be decoded are skipped.
func ReadNodes(replica *paxos.Replica) []distribution.Node {
	var nodes []distribution.Node
	for _, key := range replica.Keys() {
		if !strings.HasPrefix(key, NodeKeyPrefix) {
			continue
		}
		var node distribution.Node
		if value, _ := replica.Get(key); rpc.Unmarshal(value.Bytes, &node) == nil {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// ReadIndexes returns the records of the index cells by cell name. Records that can't be decoded
// are skipped.
func ReadIndexes(replica *paxos.Replica) map[string]IndexRecord {
	indexes := map[string]IndexRecord{}
	for _, key := range replica.Keys() {
		if !strings.HasPrefix(key, IndexKeyPrefix) {
			continue
		}
		var record IndexRecord
		if value, _ := replica.Get(key); rpc.Unmarshal(value.Bytes, &record) == nil {
			indexes[strings.TrimPrefix(key, IndexKeyPrefix)] = record
		}
	}
	return indexes
}

// ReadEjections returns the services of an index cell, and the marks of their ejected and draining
// endpoints.
func ReadEjections(cell string, replica *paxos.Replica) distribution.EjectionMarks {
	marks := distribution.EjectionMarks{
		IndexName: cell,
		LogIndex:  replica.AppliedIndex(),
		Ejected:   map[string]distribution.EjectionMark{},
	}
	for _, key := range replica.Keys() {
		value, _ := replica.Get(key)
		switch {
		case strings.HasPrefix(key, EjectionKeyPrefix):
			var mark distribution.EjectionMark
			if rpc.Unmarshal(value.Bytes, &mark) == nil {
				marks.Ejected[strings.TrimPrefix(key, EjectionKeyPrefix)] = mark
			}
		case key == ShardSetKey:
			var record ShardSetRecord
			if rpc.Unmarshal(value.Bytes, &record) == nil {
				marks.Services = record.Services
			}
		}
	}
	return marks
}

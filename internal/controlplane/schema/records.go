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

// IndexRecord lists an index cell in the meta cell.
type IndexRecord struct {
	Voters   []paxos.Voter `cbor:"1,keyasint"` // the first voters of the cell
	Routes   []string      `cbor:"2,keyasint"` // names of the routes, sorted
	Services []string      `cbor:"3,keyasint"` // that these routes share, sorted
}

// ShardSetRecord lists the services and routes of an index cell as of a configuration.
type ShardSetRecord struct {
	Version  uint64   `cbor:"1,keyasint"` // of the configuration
	Services []string `cbor:"2,keyasint"`
	Routes   []string `cbor:"3,keyasint"`
}

// LeaseRecord is a lease and its owner.
type LeaseRecord struct {
	Owner paxos.ReplicaID `cbor:"1,keyasint"` // the owner; empty if the lease is free
	// Term is the fencing token. It rises each time the lease is acquired.
	Term uint64 `cbor:"2,keyasint"`
	// Renewals rises each time the lease is renewed or released.
	Renewals uint64 `cbor:"3,keyasint"`
}

// IndexCellName is the name of the index cell with a number.
func IndexCellName(number int64) string { return "i" + strconv.FormatInt(number, 10) }

// MustEncode returns a record as a value. It panics if the record can't be encoded, which a
// record of ours always can.
func MustEncode(record any) paxos.Value {
	raw, err := rpc.Marshal(record)
	if err != nil {
		panic(err)
	}
	return paxos.Bytes(raw)
}

// EqualEncoding reports whether two records are stored as the same bytes.
func EqualEncoding(a, b any) bool {
	encodedA, errA := rpc.Marshal(a)
	encodedB, errB := rpc.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// UintValue returns a number as a value.
func UintValue(n uint64) paxos.Value { return paxos.Value{Int: new(big.Int).SetUint64(n)} }

// LogIndexOfKey reads the log index out of the key of an appended value.
func LogIndexOfKey(key, prefix string) uint64 {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	index, _ := strconv.ParseUint(digits, 10, 64)
	return index
}

// ReadNodes lists the registered nodes.
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

// ReadIndexes returns the index cells by name.
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

// ReadEjections returns the services of an index cell, and which of their endpoints are
// ejected or draining.
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

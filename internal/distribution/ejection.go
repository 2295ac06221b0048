package distribution

import (
	"encoding/binary"
	"hash/fnv"
)

// The reasons of ejection marks. The values are stored and sent: they must not change.
const (
	// ReasonDraining marks an endpoint that the platform lists as draining.
	ReasonDraining = "list"
	// ReasonUnresponsive marks an endpoint that nodes reported as faulty.
	ReasonUnresponsive = "silent"
)

// EjectionMark states why an endpoint receives no requests.
type EjectionMark struct {
	Reason string `cbor:"1,keyasint"` // one of the Reason constants
	// Reporter is the control node that set a mark for ReasonUnresponsive.
	Reporter string `cbor:"2,keyasint,omitempty"`
}

// EjectionMarks holds the ejected endpoints of one search index, as recorded by its cell.
type EjectionMarks struct {
	IndexName string `cbor:"1,keyasint"`
	// LogIndex is the position in the cell's log up to which the marks are current.
	LogIndex uint64 `cbor:"2,keyasint"`
	// Ejected maps endpoint IDs to their marks.
	Ejected map[string]EjectionMark `cbor:"3,keyasint,omitempty"`
	// Services are the shards of the index.
	Services []string `cbor:"4,keyasint,omitempty"`
}

// MarksDigest returns a hash of the log indexes at which a node holds the marks of each search
// index. Nodes with equal digests hold the same marks. The digest of an empty map is 0.
func MarksDigest(logIndexes map[string]uint64) uint64 {
	digest := uint64(0)
	for indexName, logIndex := range logIndexes {
		hash := fnv.New64a()
		_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte(indexName), logIndex)) // never fails
		digest ^= hash.Sum64()
	}
	return digest
}

package schema

import "comethold/internal/paxos"

// PutOp is the operation that stores a record under a key.
func PutOp(key string, record any) paxos.Op {
	return paxos.Op{Kind: paxos.OpPut, Key: key, Value: MustEncode(record)}
}

// DeleteOp is the operation that removes a key.
func DeleteOp(key string) paxos.Op { return paxos.Op{Kind: paxos.OpDelete, Key: key} }

// Unchanged is the condition that a row is stored as it was read.
func (r StoredRow) Unchanged() paxos.Condition {
	return paxos.Condition{Key: r.Key, Equals: paxos.Bytes(r.Raw)}
}

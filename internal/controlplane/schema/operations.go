package schema

import "comethold/internal/paxos"

// PutOp returns the operation that stores a record under a key.
func PutOp(key string, record any) paxos.Op { return PutValueOp(key, MustEncode(record)) }

// PutValueOp returns the operation that stores a value under a key.
func PutValueOp(key string, value paxos.Value) paxos.Op {
	return paxos.Op{Kind: paxos.OpPut, Key: key, Value: value}
}

// DeleteOp returns the operation that removes a key.
func DeleteOp(key string) paxos.Op { return paxos.Op{Kind: paxos.OpDelete, Key: key} }

// UnchangedCondition returns the condition that a key still holds the value that was read, or is
// still absent if found is false. A transaction with this condition changes nothing if another
// transaction changes the key first.
func UnchangedCondition(key string, value paxos.Value, found bool) paxos.Condition {
	if found {
		return paxos.Condition{Key: key, Equals: value}
	}
	return paxos.Condition{Key: key, Absent: true}
}

// Unchanged returns the condition that the row is still stored as it was read.
func (r StoredRow) Unchanged() paxos.Condition {
	return UnchangedCondition(r.Key, paxos.Bytes(r.Raw), true)
}

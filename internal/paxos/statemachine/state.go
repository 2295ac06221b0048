package statemachine

import (
	"maps"
	"math/big"
	"slices"
	"strings"
)

// MembershipVersionKey is the key of the number of membership changes of a cell. Each change has a
// condition on this number, so that only one of two concurrent changes is applied.
const MembershipVersionKey = "@seats"

// Snapshot is a copy of the state after the entry at AppliedIndex is applied.
type Snapshot struct {
	AppliedIndex uint64           `cbor:"1,keyasint"`
	State        map[string]Value `cbor:"2,keyasint"`
	Memberships  []Membership     `cbor:"3,keyasint"`
}

// State holds the key-values and the memberships that result from the committed entries.
// Invariants: the state depends only on the applied entries, so replicas that have applied the
// same entries hold the same state; memberships are in ascending order of EffectiveFrom.
type State struct {
	keyValues   map[string]Value
	memberships []Membership
	// changedKeys are the keys changed since the last call of TakeChangedKeys.
	changedKeys ChangedKeys
}

// NewState returns a state without keys and memberships. The first membership comes from a
// snapshot.
func NewState() State { return State{keyValues: map[string]Value{}} }

// Get returns the value of a key, and whether the key exists.
func (s *State) Get(key string) (Value, bool) {
	value, ok := s.keyValues[key]
	return value, ok
}

// Keys returns all keys in ascending order.
func (s *State) Keys() []string {
	keys := make([]string, 0, len(s.keyValues))
	for key := range s.keyValues {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// KeysWithPrefix returns, in ascending order, the keys that have the prefix and are not less than
// from.
func (s *State) KeysWithPrefix(prefix, from string) []string {
	var keys []string
	for key := range s.keyValues {
		if key >= from && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// TakeChangedKeys returns the keys that were changed since the last call, and resets them.
func (s *State) TakeChangedKeys() ChangedKeys {
	changed := s.changedKeys
	s.changedKeys = ChangedKeys{}
	return changed
}

// Apply applies the transaction of the entry at a log index, and reports whether it did. It changes
// nothing if a condition does not hold or an operation is not possible. A membership change takes
// effect at index+alpha.
func (s *State) Apply(txn Txn, index, alpha uint64) bool {
	if !s.conditionsHold(txn.Conditions) {
		return false
	}
	staged := make(stagedValues, len(txn.Ops))
	var voters []Voter // nil if the membership does not change
	for i := range txn.Ops {
		op := &txn.Ops[i]
		ok := true
		switch op.Kind {
		case OpAppend:
			staged[AppendedKey(op.Key, index, txn.ID)] = &op.Value
		case OpSetVoters:
			ok = s.isSingleVoterChange(op.Voters, index)
			voters = op.Voters
		default:
			ok = s.stage(staged, op)
		}
		if !ok {
			return false
		}
	}
	for key, value := range staged {
		s.changedKeys.Keys = append(s.changedKeys.Keys, key)
		if value == nil {
			delete(s.keyValues, key)
		} else {
			s.keyValues[key] = *value
		}
	}
	if voters != nil {
		s.changeMembership(Membership{EffectiveFrom: index + alpha, Voters: voters})
	}
	return true
}

// conditionsHold reports whether the state meets all conditions.
func (s *State) conditionsHold(conditions []Condition) bool {
	for _, condition := range conditions {
		value, exists := s.keyValues[condition.Key]
		if condition.Absent == exists {
			return false
		}
		if !condition.Absent && !value.Equal(condition.Equals) {
			return false
		}
	}
	return true
}

// changeMembership appends a membership and increments the value of MembershipVersionKey.
func (s *State) changeMembership(membership Membership) {
	s.memberships = append(s.memberships, membership)
	version := big.NewInt(1)
	if old, ok := s.keyValues[MembershipVersionKey]; ok && old.Int != nil {
		version.Add(version, old.Int)
	}
	s.keyValues[MembershipVersionKey] = Value{Int: version}
}

// stagedValues holds the values that a transaction writes until all of its operations have
// succeeded. A nil value deletes the key. A value may point into its operation, which is never
// modified. The map does not outlive Apply, so that it need not be allocated on the heap.
type stagedValues map[string]*Value

// stage performs one operation on a single key in staged, and reports whether it was possible.
func (s *State) stage(staged stagedValues, op *Op) bool {
	switch op.Kind {
	case OpPut:
		staged[op.Key] = &op.Value
	case OpDelete:
		staged[op.Key] = nil
	case OpAdd:
		return s.stageAdd(staged, op)
	case OpPatch:
		old, _ := s.stagedValue(staged, op.Key)
		patched, err := ApplyPatch(old.Bytes, op.Value.Bytes)
		if err != nil {
			return false
		}
		staged[op.Key] = &Value{Bytes: patched}
	default:
		return false
	}
	return true
}

// stageAdd performs OpAdd in staged. It reports false if one of the values is not an integer.
func (s *State) stageAdd(staged stagedValues, op *Op) bool {
	old, exists := s.stagedValue(staged, op.Key)
	if op.Value.Int == nil || (exists && old.Int == nil) {
		return false
	}
	sum := new(big.Int).Set(op.Value.Int)
	if exists {
		sum.Add(sum, old.Int)
	}
	staged[op.Key] = &Value{Int: sum}
	return true
}

// stagedValue returns the value of a key after the operations that are already staged, and whether
// the key exists.
func (s *State) stagedValue(staged stagedValues, key string) (Value, bool) {
	if value, ok := staged[key]; ok {
		if value == nil {
			return Value{}, false
		}
		return *value, true
	}
	return s.Get(key)
}

// Load replaces the state with that of a snapshot. All keys then count as changed.
func (s *State) Load(snapshot *Snapshot) {
	s.keyValues = make(map[string]Value, len(snapshot.State))
	maps.Copy(s.keyValues, snapshot.State)
	s.memberships = slices.Clone(snapshot.Memberships)
	s.changedKeys = ChangedKeys{All: true}
}

// Snapshot returns a copy of the state. appliedIndex is the index of the last applied entry.
func (s *State) Snapshot(appliedIndex uint64) *Snapshot {
	state := make(map[string]Value, len(s.keyValues))
	maps.Copy(state, s.keyValues)
	return &Snapshot{AppliedIndex: appliedIndex, State: state, Memberships: slices.Clone(s.memberships)}
}

// Size estimates the encoded size of the keys and values in bytes.
func (s *State) Size() int { return KeyValuesSize(s.keyValues) }

// KeyValuesSize estimates the encoded size of keys and values in bytes.
func KeyValuesSize(keyValues map[string]Value) int {
	size := 0
	for key, value := range keyValues {
		size += len(key) + len(value.Bytes) + itemOverheadBytes
	}
	return size
}

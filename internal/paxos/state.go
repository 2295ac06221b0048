package paxos

import (
	"fmt"
	"math/big"
	"sort"
)

// MembershipVersionKey counts the membership changes of a cell; a move is conditioned on it.
const MembershipVersionKey = "@seats"

// stateMachine is the replicated key-value map with the memberships that the log made.
type stateMachine struct {
	kv          map[string]Value
	memberships []Membership
	changedKeys ChangedKeys
}

func (s *stateMachine) membershipAt(slot uint64) Membership {
	for i := len(s.memberships) - 1; i >= 0; i-- {
		if s.memberships[i].EffectiveFrom <= slot {
			return s.memberships[i]
		}
	}
	return Membership{}
}

// hasMembership reports whether the first membership is known: it comes with a snapshot.
func (s *stateMachine) hasMembership() bool { return len(s.memberships) > 0 }

func (s *stateMachine) latestMembership() Membership {
	if len(s.memberships) == 0 {
		return Membership{}
	}
	return s.memberships[len(s.memberships)-1]
}

// apply commits or ignores one transaction at its log position.
func (s *stateMachine) apply(t Txn, slot, alpha uint64) bool {
	for _, c := range t.Conditions {
		v, ok := s.kv[c.Key]
		if c.Absent == ok || (!c.Absent && !v.Equal(c.Equals)) {
			return false
		}
	}
	staged := make(map[string]*Value, len(t.Ops))
	get := func(k string) (Value, bool) {
		if v, ok := staged[k]; ok {
			if v == nil {
				return Value{}, false
			}
			return *v, true
		}
		v, ok := s.kv[k]
		return v, ok
	}
	var seats []Voter
	for _, op := range t.Ops {
		switch op.Kind {
		case OpPut:
			v := op.Value
			staged[op.Key] = &v
		case OpDelete:
			staged[op.Key] = nil
		case OpAdd:
			old, ok := get(op.Key)
			if op.Value.Int == nil || (ok && old.Int == nil) {
				return false
			}
			sum := new(big.Int).Set(op.Value.Int)
			if ok {
				sum.Add(sum, old.Int)
			}
			staged[op.Key] = &Value{Int: sum}
		case OpPatch:
			old, _ := get(op.Key)
			b, err := ApplyPatch(old.Bytes, op.Value.Bytes)
			if err != nil {
				return false
			}
			staged[op.Key] = &Value{Bytes: b}
		case OpAppend:
			v := op.Value
			staged[AppendedKey(op.Key, slot, t.ID)] = &v
		case OpSetVoters:
			if !s.isSingleVoterChange(op.Voters, slot) {
				return false
			}
			seats = op.Voters
		default:
			return false
		}
	}
	for k, v := range staged {
		s.changedKeys.Keys = append(s.changedKeys.Keys, k)
		if v == nil {
			delete(s.kv, k)
		} else {
			s.kv[k] = *v
		}
	}
	if seats != nil {
		s.memberships = append(s.memberships, Membership{EffectiveFrom: slot + alpha, Voters: seats})
		n := big.NewInt(1)
		if old, ok := s.kv[MembershipVersionKey]; ok && old.Int != nil {
			n.Add(n, old.Int)
		}
		s.kv[MembershipVersionKey] = Value{Int: n}
	}
	return true
}

// AppendedKey is the key that OpAppend makes at a log position.
func AppendedKey(prefix string, slot uint64, id string) string {
	return fmt.Sprintf("%s%020d/%s", prefix, slot, id)
}

// isSingleVoterChange holds a membership change to one node at a time, each only after the
// one before it is in effect.
func (s *stateMachine) isSingleVoterChange(next []Voter, slot uint64) bool {
	cur := s.latestMembership()
	if cur.EffectiveFrom > slot || len(next) == 0 {
		return false
	}
	added, kept := 0, 0
	seen := map[ReplicaID]bool{}
	for _, n := range next {
		if seen[n.ID] {
			return false
		}
		seen[n.ID] = true
		if cur.Contains(n.ID) {
			kept++
		} else {
			added++
		}
	}
	removed := len(cur.Voters) - kept
	return added <= 1 && removed <= 1 && added+removed > 0
}

// pruneMemberships forgets memberships that no open log position can need.
func (s *stateMachine) pruneMemberships(applied uint64) {
	for len(s.memberships) > 1 && s.memberships[1].EffectiveFrom <= applied+1 {
		s.memberships = s.memberships[1:]
	}
}

func (s *stateMachine) snapshot(applied uint64) *Snapshot {
	kv := make(map[string]Value, len(s.kv))
	for k, v := range s.kv {
		kv[k] = v
	}
	return &Snapshot{AppliedIndex: applied, State: kv, Memberships: append([]Membership(nil), s.memberships...)}
}

func (s *stateMachine) sizeBytes() int {
	n := 0
	for k, v := range s.kv {
		n += len(k) + len(v.Bytes) + 16
	}
	return n
}

func entrySize(e *Entry) int {
	n := 32
	for _, t := range e.Txns {
		n += len(t.ID)
		for _, c := range t.Conditions {
			n += len(c.Key) + len(c.Equals.Bytes) + 16
		}
		for _, o := range t.Ops {
			n += len(o.Key) + len(o.Value.Bytes) + 48*len(o.Voters) + 16
		}
	}
	return n
}

func sortedKeys(kv map[string]Value) []string {
	keys := make([]string, 0, len(kv))
	for k := range kv {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

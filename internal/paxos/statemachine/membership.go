package statemachine

// ReplicaID identifies a replica together with its stored state. A machine whose disk was lost
// gets another ReplicaID and never votes under the old one.
type ReplicaID string

// Voter is one voting replica in a cell's membership.
type Voter struct {
	ID   ReplicaID `cbor:"1,keyasint"`
	Addr string    `cbor:"2,keyasint"`
	Zone string    `cbor:"3,keyasint"`
}

// Membership is the set of voters from log index EffectiveFrom on.
//
// As in section 2.4 and figure 6 of the paper, a change that is committed at index i takes effect
// at i+alpha, because the leader may have up to alpha entries in flight, whose voters must be
// known. Invariant: a membership differs from the previous one by at most one added and one
// removed voter. A change is ignored until the previous one is in effect.
type Membership struct {
	EffectiveFrom uint64  `cbor:"1,keyasint"`
	Voters        []Voter `cbor:"2,keyasint"`
}

// Contains reports whether id is a voter of this membership.
func (m Membership) Contains(id ReplicaID) bool {
	for _, voter := range m.Voters {
		if voter.ID == id {
			return true
		}
	}
	return false
}

// IsQuorum reports whether has returns true for a majority of the voters.
func (m Membership) IsQuorum(has func(ReplicaID) bool) bool {
	count := 0
	for _, voter := range m.Voters {
		if has(voter.ID) {
			count++
		}
	}
	return len(m.Voters) > 0 && count > len(m.Voters)/2
}

// MembershipAt returns the membership that votes on the entry at a log index, or one without
// voters if none is known for it.
func (s *State) MembershipAt(index uint64) Membership {
	for i := len(s.memberships) - 1; i >= 0; i-- {
		if s.memberships[i].EffectiveFrom <= index {
			return s.memberships[i]
		}
	}
	return Membership{}
}

// HasMembership reports whether any membership is known. A new state has none until a snapshot is
// loaded.
func (s *State) HasMembership() bool { return len(s.memberships) > 0 }

// LatestMembership returns the newest membership, which may not be in effect yet. It has no voters
// if no membership is known.
func (s *State) LatestMembership() Membership {
	if len(s.memberships) == 0 {
		return Membership{}
	}
	return s.memberships[len(s.memberships)-1]
}

// isSingleVoterChange reports whether a membership change to next, at a log index, is allowed: it
// adds at most one voter, removes at most one, and the previous change is in effect.
func (s *State) isSingleVoterChange(next []Voter, index uint64) bool {
	current := s.LatestMembership()
	if current.EffectiveFrom > index || len(next) == 0 {
		return false
	}
	added := 0
	kept := 0
	seen := map[ReplicaID]bool{}
	for _, voter := range next {
		if seen[voter.ID] {
			return false
		}
		seen[voter.ID] = true
		if current.Contains(voter.ID) {
			kept++
		} else {
			added++
		}
	}
	removed := len(current.Voters) - kept
	return added <= 1 && removed <= 1 && added+removed > 0
}

// PruneMemberships removes the memberships that are not in effect at any index after appliedIndex.
func (s *State) PruneMemberships(appliedIndex uint64) {
	for len(s.memberships) > 1 && s.memberships[1].EffectiveFrom <= appliedIndex+1 {
		s.memberships = s.memberships[1:]
	}
}

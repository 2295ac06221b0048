package statemachine

// ReplicaID names one incarnation of one disk. A machine whose disk was lost comes back under
// another ReplicaID and never votes under the old one.
type ReplicaID string

// Voter is one voting replica in a cell's membership.
type Voter struct {
	ID   ReplicaID `cbor:"1,keyasint"`
	Addr string    `cbor:"2,keyasint"`
	Zone string    `cbor:"3,keyasint"`
}

// Membership is the set of voters from one log index on.
//
// The paper's section 2.4 and figure 6: a change that is committed at index i takes effect at
// i+alpha, since the leader may have up to alpha entries in flight whose voters must be known.
// Invariant: a membership differs from the one before it by at most one voter added and one
// removed, and a change is ignored until the one before it is in effect.
type Membership struct {
	EffectiveFrom uint64  `cbor:"1,keyasint"`
	Voters        []Voter `cbor:"2,keyasint"`
}

// Contains reports whether id votes in this membership.
func (m Membership) Contains(id ReplicaID) bool {
	for _, voter := range m.Voters {
		if voter.ID == id {
			return true
		}
	}
	return false
}

// IsQuorum reports whether has is true for a majority of the voters.
func (m Membership) IsQuorum(has func(ReplicaID) bool) bool {
	count := 0
	for _, voter := range m.Voters {
		if has(voter.ID) {
			count++
		}
	}
	return len(m.Voters) > 0 && count > len(m.Voters)/2
}

// MembershipAt returns the membership that votes on an index.
func (s *State) MembershipAt(index uint64) Membership {
	for i := len(s.memberships) - 1; i >= 0; i-- {
		if s.memberships[i].EffectiveFrom <= index {
			return s.memberships[i]
		}
	}
	return Membership{}
}

// HasMembership reports whether the first membership is known: it comes with a snapshot.
func (s *State) HasMembership() bool { return len(s.memberships) > 0 }

// LatestMembership returns the newest membership, in effect or not yet.
func (s *State) LatestMembership() Membership {
	if len(s.memberships) == 0 {
		return Membership{}
	}
	return s.memberships[len(s.memberships)-1]
}

// isSingleVoterChange limits a membership change to one voter at a time, each only after the
// change before it is in effect.
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

// PruneMemberships drops the memberships that no index after appliedIndex needs.
func (s *State) PruneMemberships(appliedIndex uint64) {
	for len(s.memberships) > 1 && s.memberships[1].EffectiveFrom <= appliedIndex+1 {
		s.memberships = s.memberships[1:]
	}
}

package paxos

// The membership of the cell. It is part of the replicated state, and package statemachine
// changes it by one voter at a time. Here it is decided when a change is complete.
//
// Invariant: a change is complete, and the voters that left may be given up, only when the new
// membership is in effect and a majority of it holds on disk all that was committed before.

// nextMembership is the one that votes on the index after the last applied.
func (r *Replica) nextMembership() Membership { return r.state.MembershipAt(r.appliedIndex + 1) }

// IsVoter reports whether the replica votes on the index after the last applied.
func (r *Replica) IsVoter() bool { return r.nextMembership().Contains(r.config.Self) }

// Voters returns the newest membership and whether the change to it is complete: it is in
// effect, and a majority of it holds on disk all that was committed before. Until then the
// voters that leave may be needed. The leader judges it, and tells the others with its
// heartbeats.
func (r *Replica) Voters() (voters []Voter, complete bool) {
	latest := r.state.LatestMembership()
	if r.role == Leader {
		return latest.Voters, r.completedMembershipIndex() == latest.EffectiveFrom
	}
	inEffect := latest.EffectiveFrom <= r.appliedIndex+1
	announced := r.contact.announced.completedMembershipIndex == latest.EffectiveFrom
	return latest.Voters, r.contact.leader != "" && inEffect && announced
}

// SetLearners names replicas without a vote that the leader is to keep current.
func (r *Replica) SetLearners(ids []ReplicaID) { r.learners = ids }

// completedMembershipIndex is where the newest membership begins if the change to it is
// complete, else 0. Only the leader knows what the disks of the others hold.
func (r *Replica) completedMembershipIndex() uint64 {
	latest := r.state.LatestMembership()
	holdsAllBefore := func(id ReplicaID) bool {
		return r.followers.durableCommitIndexes[id]+1 >= latest.EffectiveFrom
	}
	if latest.EffectiveFrom <= r.appliedIndex+1 && latest.IsQuorum(holdsAllBefore) {
		return latest.EffectiveFrom
	}
	return 0
}

// continueMembershipChange brings a change of voters to its end without other traffic: no-ops
// follow, one at a time, until the new membership is in effect and a majority of it is known
// to hold all that came before.
func (r *Replica) continueMembershipChange() {
	idle := len(r.proposer.queue) == 0 && r.proposer.nextIndex == r.appliedIndex+1
	if r.role == Leader && idle && r.completedMembershipIndex() != r.state.LatestMembership().EffectiveFrom {
		r.proposer.queue = append(r.proposer.queue, Txn{})
	}
}

package paxos

// The membership of the cell is part of the replicated state; package statemachine changes it
// by one voter at a time. This file decides when a change is complete.
//
// Invariant: a change is complete, and the removed voters are no longer needed, only when the
// new membership is in effect and a majority of it has on disk everything committed before it.

// nextMembership returns the membership that votes on the index after the last applied one.
func (r *Replica) nextMembership() Membership { return r.state.MembershipAt(r.appliedIndex + 1) }

// IsVoter reports whether the replica votes on the index after the last applied one.
func (r *Replica) IsVoter() bool { return r.nextMembership().Contains(r.config.Self) }

// Voters returns the newest membership and whether the change to it is complete: it is in
// effect, and a majority of it has on disk everything committed before it. Until then the
// removed voters may still be needed. The leader determines this and announces it in its
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

// SetLearners sets the non-voting replicas that this replica replicates to while it is leader.
func (r *Replica) SetLearners(ids []ReplicaID) { r.learners = ids }

// completedMembershipIndex returns the first index of the newest membership if the change to it is
// complete, otherwise 0. The result is valid only on the leader, which knows the commit indexes on
// the followers' disks.
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

// continueMembershipChange completes a membership change when there is no other traffic: the leader
// proposes no-ops, one at a time, until the new membership is in effect and a majority of it
// is known to have on disk everything committed before it.
func (r *Replica) continueMembershipChange() {
	idle := len(r.proposer.queue) == 0 && r.proposer.nextIndex == r.appliedIndex+1
	if r.role == Leader && idle && r.completedMembershipIndex() != r.state.LatestMembership().EffectiveFrom {
		r.proposer.queue = append(r.proposer.queue, Txn{})
	}
}

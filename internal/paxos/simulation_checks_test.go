package paxos

import (
	"strings"
	"time"
)

// This file contains the checks of a simulation. They check that replicas apply the same entries,
// that the reported staleness is an upper bound, and that the commit indexes which replicas report as
// durable are on their disks.

// acknowledgement holds the time at which a client was notified of a commit, and the applied index
// of its node at that time.
type acknowledgement struct {
	at    time.Duration
	index uint64
}

// checkAgreement compares each entry that a replica has applied with the entry that others applied
// at the same index.
func (s *cellSimulation) checkAgreement(node *simulatedNode) {
	for index := node.checkedIndex + 1; index <= node.replica.appliedIndex; index++ {
		node.checkedIndex = index
		entry := node.replica.log.At(index)
		if entry == nil {
			continue
		}
		var ids []string
		for _, txn := range entry.Txns {
			ids = append(ids, txn.ID)
		}
		content := strings.Join(ids, ",")
		if other, ok := s.committedContent[index]; ok && other != content {
			s.t.Fatalf("%s at %v: index %d has %q on %s, want %q as on others", s.name, s.now, index, content, node.id, other)
		}
		s.committedContent[index] = content
	}
}

// checkStaleness checks that each running replica has applied everything that was acknowledged before
// the time up to which it reports its state as current.
func (s *cellSimulation) checkStaleness() {
	for _, name := range s.nodeNames() {
		node := s.nodes[name]
		if !node.up || node.paused {
			continue
		}
		currentUntil := s.now - node.replica.Staleness(s.now)
		newest, ok := s.lastAcknowledgementBefore(currentUntil)
		if ok && node.replica.appliedIndex < newest.index {
			s.t.Fatalf("%s at %v: %s has applied index %d and reports its state as current up to %v, want index %d or higher",
				s.name, s.now, node.id, node.replica.appliedIndex, currentUntil, newest.index)
		}
	}
}

// lastAcknowledgementBefore returns the newest acknowledgement before a time.
func (s *cellSimulation) lastAcknowledgementBefore(limit time.Duration) (acknowledgement, bool) {
	for i := len(s.acknowledgements) - 1; i >= 0; i-- {
		if s.acknowledgements[i].at < limit {
			return s.acknowledgements[i], true
		}
	}
	return acknowledgement{}, false
}

// checkDurableCommits checks the durable commit indexes that replicas have reported to a leader: a
// replica that restarts from its disk must recover at least the reported index.
func (s *cellSimulation) checkDurableCommits() {
	for _, name := range s.nodeNames() {
		leader := s.nodes[name]
		if !leader.up || leader.replica.Role() != Leader {
			continue
		}
		for id, reported := range leader.replica.followers.durableCommitIndexes {
			node := s.nodeByID(id)
			if node == nil {
				continue // this replica lost its disk
			}
			if found := node.disk.recoverableIndex(); found < reported {
				s.t.Fatalf("%s at %v: leader %s has a report that %s stored index %d, but a restart recovers %d, want no less",
					s.name, s.now, leader.id, id, reported, found)
			}
		}
	}
}

// recordOutcome records the outcome that a client receives for its transaction.
func (s *cellSimulation) recordOutcome(node *simulatedNode, outcome Outcome) {
	if s.onOutcome != nil {
		s.onOutcome(node, outcome)
	}
	switch {
	case outcome.Unknown:
		s.txnStatus[outcome.TxnID] = statusUnknown
	case outcome.Committed:
		s.txnStatus[outcome.TxnID] = statusCommitted
		s.acknowledgements = append(s.acknowledgements, acknowledgement{s.now, node.replica.appliedIndex})
		if write, ok := s.proposedWrites[outcome.TxnID]; ok {
			s.acknowledgedValues[write.key] = write.value
		}
	default:
		s.txnStatus[outcome.TxnID] = statusIgnored
	}
}

// checkAcknowledgedValues checks that every running voter has all acknowledged values.
func (s *cellSimulation) checkAcknowledgedValues() {
	voters, _ := s.findNode("leader").replica.Voters()
	for _, name := range s.nodeNames() {
		node := s.nodes[name]
		if !node.up || !(Membership{Voters: voters}).Contains(node.id) {
			continue
		}
		for key, want := range s.acknowledgedValues {
			if got, _ := node.replica.Get(key); string(got.Bytes) != want {
				s.t.Fatalf("%s at %v: voter %s has %s=%q, want the acknowledged value %q",
					s.name, s.now, name, key, got.Bytes, want)
			}
		}
	}
}

// checkMembershipComplete checks that all running voters consider the newest membership change
// complete.
func (s *cellSimulation) checkMembershipComplete() {
	for _, name := range s.nodeNames() {
		node := s.nodes[name]
		voters, complete := node.replica.Voters()
		if node.up && (Membership{Voters: voters}).Contains(node.id) && !complete {
			s.t.Fatalf("%s at %v: on voter %s the membership change is incomplete, want it complete", s.name, s.now, name)
		}
	}
}

package paxos

import (
	"strings"
	"time"
)

// The checks of a simulation while time passes: agreement, staleness, and the truth of the commit
// indexes that replicas report as durable.

// acknowledgement is the time at which a client was notified of a commit, and the applied index of
// its node at that time.
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
			s.t.Fatalf("%s at %v: index %d is %q at %s, %q elsewhere", s.name, s.now, index, content, node.id, other)
		}
		s.committedContent[index] = content
	}
}

// checkStaleness checks that a replica has everything that was acknowledged up to the time until
// which it reports its state as current.
func (s *cellSimulation) checkStaleness() {
	for _, name := range s.nodeNames() {
		node := s.nodes[name]
		if !node.up || node.paused {
			continue
		}
		currentUntil := s.now - node.replica.Staleness(s.now)
		newest, ok := s.lastAcknowledgementBefore(currentUntil)
		if ok && node.replica.appliedIndex < newest.index {
			s.t.Fatalf("%s at %v: %s has applied %d and takes itself to be current until %v, when %d was acknowledged",
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

// checkDurableCommits checks the durable commit indexes that replicas reported to a leader: a
// restart must find the entries up to them, and know them to be committed.
func (s *cellSimulation) checkDurableCommits() {
	for _, name := range s.nodeNames() {
		leader := s.nodes[name]
		if !leader.up || leader.replica.Role() != Leader {
			continue
		}
		for id, reported := range leader.replica.followers.durableCommitIndexes {
			node := s.nodeByID(id)
			if node == nil {
				continue // its disk was lost
			}
			if found := node.disk.recoverableIndex(); found < reported {
				s.t.Fatalf("%s at %v: to %s it was reported that %s holds %d, a restart would find %d",
					s.name, s.now, leader.id, id, reported, found)
			}
		}
	}
}

// recordOutcome records the outcome that a client gets for its transaction.
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

// checkAcknowledgedValues checks that every live voter holds all acknowledged values.
func (s *cellSimulation) checkAcknowledgedValues() {
	voters, _ := s.findNode("leader").replica.Voters()
	for _, name := range s.nodeNames() {
		node := s.nodes[name]
		if !node.up || !(Membership{Voters: voters}).Contains(node.id) {
			continue
		}
		for key, want := range s.acknowledgedValues {
			if got, _ := node.replica.Get(key); string(got.Bytes) != want {
				s.t.Fatalf("%s at %v: %s has %s=%q, acknowledged was %q", s.name, s.now, name, key, got.Bytes, want)
			}
		}
	}
}

// checkMembershipComplete checks that the newest membership change is complete, and that all live
// voters know this.
func (s *cellSimulation) checkMembershipComplete() {
	for _, name := range s.nodeNames() {
		node := s.nodes[name]
		voters, complete := node.replica.Voters()
		if node.up && (Membership{Voters: voters}).Contains(node.id) && !complete {
			s.t.Fatalf("%s at %v: to %s the membership change is not complete", s.name, s.now, name)
		}
	}
}

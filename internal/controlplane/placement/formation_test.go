package placement

import (
	"testing"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/paxos"
)

// TestIsForming guards against configuration changes that a cell commits before it has its five
// voters, and against a cell that counts as forming although no further voter can join.
func TestIsForming(t *testing.T) {
	const (
		long = time.Hour
		few  = 3
		all  = 5
	)
	for _, c := range []struct {
		name            string
		voters          int
		changeComplete  bool
		age             time.Duration
		stableFor       time.Duration
		sinceVoterAdded time.Duration
		liveWithoutVote int
		isForming       bool
	}{
		{"before the end of peerDiscoveryPeriod", few, true, peerDiscoveryPeriod - 1, long, long, 0, true},
		{"after peerDiscoveryPeriod, no live node without a vote", few, true, peerDiscoveryPeriod, long, long, 0, false},
		{"live node without a vote, before formationTimeout", few, true, formationTimeout - 1, long, long, 1, true},
		{"live node without a vote, after formationTimeout", few, true, formationTimeout, long, long, 1, false},
		{"stable for less than stablePeriod", few, true, long, stablePeriod - 1, long, 0, true},
		{"stable for stablePeriod", few, true, long, stablePeriod, long, 1, false},
		{"change not complete, last voter just added", all, false, long, 0, formationTimeout - 1, 0, true},
		{"change not complete, last voter added formationTimeout ago", all, false, long, 0, formationTimeout, 0, false},
		{"change not complete, this node started recently", all, false, formationTimeout - 1, long, long, 0, true},
		{"change to all voters complete", all, true, 0, 0, 0, 1, false},
		{"more voters than intended", all + 1, false, 0, 0, 0, 1, false},
	} {
		cell := replicahost.Stability{
			Voters:                   make([]paxos.Voter, c.voters),
			MembershipChangeComplete: c.changeComplete,
			Age:                      c.age,
			StableFor:                c.stableFor,
			SinceVoterAdded:          c.sinceVoterAdded,
		}
		if got := isForming(cell, c.liveWithoutVote, all); got != c.isForming {
			t.Errorf("%s: isForming returned %v, want %v", c.name, got, c.isForming)
		}
	}
}

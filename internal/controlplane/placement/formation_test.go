package placement

import (
	"testing"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/paxos"
)

// TestIsForming: of a cell that is to have five voters.
func TestIsForming(t *testing.T) {
	const (
		long = time.Hour
		few  = 3
		all  = 5
	)
	for _, c := range []struct {
		name            string
		voters          int
		inEffect        bool
		age             time.Duration
		sinceDisturbed  time.Duration
		sinceVoterAdded time.Duration
		liveWithoutVote int
		isForming       bool
	}{
		{"this node started a moment ago", few, true, peerDiscoveryPeriod - 1, long, long, 0, true},
		{"nodes have met, and nobody else is there", few, true, peerDiscoveryPeriod, long, long, 0, false},
		{"a node is there that may become a voter", few, true, formationTimeout - 1, long, long, 1, true},
		{"it has not become one for long", few, true, formationTimeout, long, long, 1, false},
		{"the cell was disturbed", few, true, long, stablePeriod - 1, long, 0, true},
		{"the cell is at rest", few, true, long, stablePeriod, long, 1, false},
		{"the last voter was just added", all, false, long, 0, formationTimeout - 1, 0, true},
		{"the last voter was added long ago", all, false, long, 0, formationTimeout, 0, false},
		{"the last voter is not in effect since this node started", all, false, formationTimeout - 1, long, long, 0, true},
		{"all voters are in effect", all, true, 0, 0, 0, 1, false},
		{"there are more voters than it takes", all + 1, false, 0, 0, 0, 1, false},
	} {
		cell := replicahost.Stability{
			Voters:             make([]paxos.Voter, c.voters),
			MembershipInEffect: c.inEffect,
			Age:                c.age,
			StableFor:          c.sinceDisturbed,
			SinceVoterAdded:    c.sinceVoterAdded,
		}
		if got := isForming(cell, c.liveWithoutVote, all); got != c.isForming {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

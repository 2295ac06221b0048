package placement

import (
	"time"

	"comethold/internal/controlplane/replicahost"
)

// Timeouts say after how long without contact the mover takes a machine for lost.
type Timeouts struct {
	// Voter is after how long a voter is replaced.
	Voter time.Duration
	// Candidate is after how long a node can no longer become a voter. It is shorter than
	// Voter: of two machines that were lost together, one must not replace the other.
	Candidate time.Duration
}

// minVoterTimeout is two hello intervals of a voter, so that one late hello doesn't cost it its vote.
const minVoterTimeout = 2 * time.Second

// TimeoutsFor returns the timeouts with which a lost voter is replaced within the time after
// which the next machine may be lost, provided that its successor has caught up. One half of
// that time is for noticing the loss. The other is for a new leader, the placement lease and the
// moves, one after the other, since the lost machine may have had them. If catchUp is 0, losses
// have no time limit.
func TimeoutsFor(catchUp time.Duration) Timeouts {
	voter := replicahost.DownTimeout
	if catchUp > 0 {
		voter = min(voter, max(catchUp/2, minVoterTimeout))
	}
	return Timeouts{
		Voter:     voter,
		Candidate: min(replicahost.ReturnTimeout, voter*3/4),
	}
}

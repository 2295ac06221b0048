package placement

import (
	"time"

	"comethold/internal/controlplane/replicahost"
)

// Timeouts are the times without contact after which the mover treats a machine as lost.
type Timeouts struct {
	// Voter is the time without contact after which a voter is replaced.
	Voter time.Duration
	// Candidate is the time without contact after which a node can no longer become a voter.
	// It is shorter than Voter, so that a machine is not replaced by one that was lost at the
	// same time.
	Candidate time.Duration
}

// minVoterTimeout is two hello intervals of a voter, so that a voter is not replaced after one late hello.
const minVoterTimeout = 2 * time.Second

// TimeoutsFor returns the timeouts with which a lost voter is replaced within catchUp, provided that
// the new replica has caught up. catchUp is the time after which the next machine may be lost. One
// half of it is for detecting the loss. The other half is for electing a new leader, acquiring the
// placement lease and executing the moves, one after the other, since the lost machine may have
// been the leader and the owner of the lease. If catchUp is 0, there is no time limit.
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

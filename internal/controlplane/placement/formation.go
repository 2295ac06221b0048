package placement

import (
	"time"

	"comethold/internal/controlplane/replicahost"
)

// Timing of the formation of the meta cell. The reasons for these values are in
// docs/design.md.
const (
	greetingPeriod   = time.Second     // control nodes that start together meet within it
	formationTimeout = 5 * time.Second // a new cell should get its voters within it
	quietPeriod      = 3 * time.Second // a stable cell adds every possible voter within it
)

// FormationHost provides the state of the formation. *replicahost.Host implements it.
type FormationHost interface {
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
	Stability() (cell replicahost.Stability, found bool)
}

// IsForming reports whether the meta cell is still adding its first voters. What it commits
// now could be lost with fewer disk losses than it must tolerate.
func IsForming(host FormationHost, voters int) bool {
	live := host.LivePeers(replicahost.LearnerTimeout)
	cell, found := host.Stability()
	if !found {
		return false
	}
	for _, voter := range cell.Voters {
		delete(live, voter.Addr)
	}
	return isForming(cell, len(live), voters)
}

// isForming decides IsForming. A cell with too few voters is forming for greetingPeriod after
// the start of this node, until it has been stable for quietPeriod, and for formationTimeout
// if there are live nodes without a vote. A node that has no vote by then can't become a
// voter, for example because its disk is faulty, and changes must not wait for it forever.
func isForming(cell replicahost.Stability, liveWithoutVote, voters int) bool {
	switch {
	case len(cell.Voters) < voters:
		return cell.Age < greetingPeriod ||
			cell.StableFor < quietPeriod ||
			liveWithoutVote > 0 && cell.Age < formationTimeout
	case len(cell.Voters) == voters && !cell.MembershipChangeComplete:
		// The last voter may not hold the state yet.
		return cell.Age < formationTimeout || cell.SinceVoterAdded < formationTimeout
	}
	return false
}

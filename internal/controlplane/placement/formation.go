package placement

import (
	"time"

	"comethold/internal/controlplane/replicahost"
)

// Timing of the formation of the meta cell. The reasons for these values are in
// docs/design.md.
const (
	peerDiscoveryPeriod = time.Second     // control nodes that start together are in contact within it
	formationTimeout    = 5 * time.Second // a new cell should have all its voters within it
	stablePeriod        = 3 * time.Second // a stable cell adds every possible voter within it
)

// FormationHost provides the state that IsForming evaluates. *replicahost.Host implements it.
type FormationHost interface {
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
	Stability() (cell replicahost.Stability, found bool)
}

// IsForming reports whether the meta cell is still adding its first voters. Entries that it
// commits during that time could be lost after fewer disk failures than the cell must
// tolerate.
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

// isForming implements IsForming. A cell with too few voters is forming in these cases:
//
//   - the replica of this node was opened less than peerDiscoveryPeriod ago;
//   - the cell has been stable for less than stablePeriod;
//   - there are live nodes without a vote, and formationTimeout has not passed.
//
// A node without a vote after formationTimeout can't become a voter, for example because its
// disk is faulty. Configuration changes must not wait for it forever.
func isForming(cell replicahost.Stability, liveWithoutVote, voters int) bool {
	switch {
	case len(cell.Voters) < voters:
		return cell.Age < peerDiscoveryPeriod ||
			cell.StableFor < stablePeriod ||
			liveWithoutVote > 0 && cell.Age < formationTimeout
	case len(cell.Voters) == voters && !cell.MembershipChangeComplete:
		// The voter that was added last may not have the state yet.
		return cell.Age < formationTimeout || cell.SinceVoterAdded < formationTimeout
	}
	return false
}

package placement

import (
	"time"

	"comethold/internal/controlplane/replicahost"
)

// Times of the formation of the meta cell. The reasons for these values are in
// docs/design.md.
const (
	greetingPeriod   = time.Second     // in which control nodes that start together have met
	formationTimeout = 5 * time.Second // in which a new cell should have its voters
	quietPeriod      = 3 * time.Second // in which a cell at rest takes in whoever can be a voter
)

// FormationHost is what tells how far the meta cell is formed. *replicahost.Host implements
// it.
type FormationHost interface {
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
	Stability() (cell replicahost.Stability, found bool)
}

// IsForming reports whether the meta cell has yet to get the voters that make it bear the
// losses that it must bear, and will get them: what it commits before could be lost with
// fewer disks.
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

// isForming decides it by how many live nodes have no vote. With too few voters the cell is
// forming while this node started a moment ago, and until the cell has been at rest for
// quietPeriod: a node that is no voter by then can't be one, as with a faulty disk, and
// changes can't wait for it for ever.
func isForming(cell replicahost.Stability, liveWithoutVote, voters int) bool {
	switch {
	case len(cell.Voters) < voters:
		return cell.Age < greetingPeriod ||
			cell.SinceDisturbed < quietPeriod ||
			liveWithoutVote > 0 && cell.Age < formationTimeout
	case len(cell.Voters) == voters && !cell.MembershipInEffect:
		// The last of them may not hold the state yet.
		return cell.Age < formationTimeout || cell.SinceVoterAdded < formationTimeout
	}
	return false
}

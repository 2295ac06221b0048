package controlplane

import (
	"time"

	"comethold/internal/controlplane/placement"
	"comethold/internal/controlplane/replicahost"
)

// Times of the formation of the meta cell. The reasons for these values are in
// docs/design.md.
const (
	greetingPeriod   = time.Second     // in which control nodes that start together have met
	formationTimeout = 5 * time.Second // in which a new cell should have its voters
	quietPeriod      = 3 * time.Second // in which a cell at rest takes in whoever can be a voter
)

// isForming reports whether the meta cell has yet to get the voters that make it bear the
// losses that it must bear, and will get them: what it commits before could be lost with
// fewer disks. It will while this node started a moment ago, and until the cell has been at
// rest for quietPeriod: a control node that is no voter by then can't be one, as with a
// faulty disk, and changes can't wait for it for ever.
func (r *Server) isForming() bool {
	live := r.host.LivePeers(replicahost.LearnerTimeout)
	want := placement.VotersFor(r.settings.Tolerance.MachineLosses)
	cell, found := r.host.Stability()
	if !found {
		return false
	}
	for _, voter := range cell.Voters {
		delete(live, voter.Addr)
	}
	switch {
	case len(cell.Voters) < want:
		return cell.Age < greetingPeriod || cell.SinceDisturbed < quietPeriod || len(live) > 0 && cell.Age < formationTimeout
	case len(cell.Voters) == want && !cell.MembershipInEffect: // the last of them may not hold it yet
		return cell.Age < formationTimeout || cell.SinceVoterAdded < formationTimeout
	}
	return false
}

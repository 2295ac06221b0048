package placement

import (
	"slices"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/paxos"
)

// VotersFor returns the number of voters with which a cell survives the loss of the given
// number of machines.
func VotersFor(losses int) int { return 2*losses + 1 }

// survivesZoneLoss reports whether no zone holds a majority of the voters.
func survivesZoneLoss(voters []paxos.Voter) bool {
	perZone := map[string]int{}
	for _, voter := range voters {
		if voter.Zone != "" {
			perZone[voter.Zone]++
		}
	}
	for _, count := range perZone {
		if count > len(voters)/2 && len(voters) > 1 {
			return false
		}
	}
	return true
}

// worsensSpread reports whether the cell survives the loss of any zone now, but not with the
// next voters. The zone of an initial voter is not recorded. If such a voter has the address
// of the added voter, both replicas are on one machine, so the zone of the added voter is used
// for both. Otherwise the replacement of an initial voter on its machine could be rejected.
func worsensSpread(voters, next []paxos.Voter, added paxos.Voter) bool {
	known := slices.Clone(voters)
	for i := range known {
		if known[i].Addr == added.Addr {
			known[i].Zone = added.Zone
		}
	}
	return survivesZoneLoss(known) && !survivesZoneLoss(next)
}

// planInput is the state of a cell from which its next move is planned.
type planInput struct {
	voters   []paxos.Voter
	live     map[string]replicahost.PeerInfo // by address
	isDown   func(address string) bool
	want     int // intended number of voters
	regionOf func(zone string) string
}

// move replaces a voter, or adds one if remove is empty.
type move struct {
	remove paxos.ReplicaID
	add    paxos.Voter
}

// plan returns the most urgent move of a cell, if any is needed:
//
//   - a voter whose machine returned with an empty disk is replaced by its new replica;
//   - a cell with too few voters gets one more;
//   - a voter that has been out of contact for Timeouts.Voter is replaced by a node without a vote.
//
// New voters come from the zone, then the region, with the fewest voters.
func (in *planInput) plan() (planned move, needed bool) {
	for _, voter := range in.voters {
		if peer, isLive := in.live[voter.Addr]; isLive && peer.ID != voter.ID {
			return move{remove: voter.ID, add: voterOf(peer)}, true
		}
	}
	lost, healthy := in.firstLost()
	if lost == nil && len(in.voters) >= in.want {
		return move{}, false
	}
	candidate := in.bestCandidate(healthy)
	if candidate == nil {
		return move{}, false
	}
	if len(in.voters) < in.want {
		return move{add: *candidate}, true // adding comes before replacing
	}
	return move{remove: lost.ID, add: *candidate}, true
}

func voterOf(peer replicahost.PeerInfo) paxos.Voter {
	return paxos.Voter{ID: peer.ID, Addr: peer.Addr, Zone: peer.Zone}
}

// spread holds the numbers of voters in each zone and region.
type spread struct {
	zones, regions map[string]int
}

// firstLost returns the first voter that is out of contact, or nil, and the spread of the
// voters that are in contact.
func (in *planInput) firstLost() (lost *paxos.Voter, healthy spread) {
	healthy = spread{zones: map[string]int{}, regions: map[string]int{}}
	for i, voter := range in.voters {
		if in.isDown(voter.Addr) {
			if lost == nil {
				lost = &in.voters[i]
			}
			continue
		}
		zone := voter.Zone
		if peer, isLive := in.live[voter.Addr]; isLive {
			zone = peer.Zone // initial voters are recorded without a zone
		}
		healthy.zones[zone]++
		healthy.regions[in.regionOf(zone)]++
	}
	return lost, healthy
}

// bestCandidate returns the live node without a vote that gives the best spread, or nil.
func (in *planInput) bestCandidate(healthy spread) *paxos.Voter {
	isVoter := map[string]bool{}
	for _, voter := range in.voters {
		isVoter[voter.Addr] = true
	}
	var best *paxos.Voter
	for _, peer := range in.live {
		if isVoter[peer.Addr] {
			continue
		}
		if candidate := voterOf(peer); best == nil || in.isBetter(healthy, candidate, *best) {
			best = &candidate
		}
	}
	return best
}

// isBetter reports whether candidate a gives a better spread than candidate b. The ID breaks a tie.
func (in *planInput) isBetter(healthy spread, a, b paxos.Voter) bool {
	if healthy.zones[a.Zone] != healthy.zones[b.Zone] {
		return healthy.zones[a.Zone] < healthy.zones[b.Zone]
	}
	inRegionOfA := healthy.regions[in.regionOf(a.Zone)]
	inRegionOfB := healthy.regions[in.regionOf(b.Zone)]
	if inRegionOfA != inRegionOfB {
		return inRegionOfA < inRegionOfB
	}
	return a.ID < b.ID
}

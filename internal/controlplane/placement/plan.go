package placement

import (
	"slices"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/paxos"
)

// VotersFor returns the number of voters with which a cell survives the given losses.
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
// next voters. The zone of an initial voter is not recorded: at the address of the added voter
// it is the same, so a replica that takes the vote of the one before it on its machine
// worsens nothing.
func worsensSpread(voters, next []paxos.Voter, added paxos.Voter) bool {
	known := slices.Clone(voters)
	for i := range known {
		if known[i].Addr == added.Addr {
			known[i].Zone = added.Zone
		}
	}
	return survivesZoneLoss(known) && !survivesZoneLoss(next)
}

// situation is the input from which a move is planned.
type situation struct {
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
//   - a voter that is out of contact for Timeouts.Voter is replaced by a node without a vote.
//
// New voters come from the zone, then the region, with the fewest voters.
func (s *situation) plan() (planned move, needed bool) {
	for _, voter := range s.voters {
		if peer, isLive := s.live[voter.Addr]; isLive && peer.ID != voter.ID {
			return move{remove: voter.ID, add: voterOf(peer)}, true
		}
	}
	lost, healthy := s.firstLost()
	if lost == nil && len(s.voters) >= s.want {
		return move{}, false
	}
	newcomer := s.bestCandidate(healthy)
	if newcomer == nil {
		return move{}, false
	}
	if len(s.voters) < s.want {
		return move{add: *newcomer}, true // adding comes before replacing
	}
	return move{remove: lost.ID, add: *newcomer}, true
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
func (s *situation) firstLost() (lost *paxos.Voter, healthy spread) {
	healthy = spread{zones: map[string]int{}, regions: map[string]int{}}
	for i, voter := range s.voters {
		if s.isDown(voter.Addr) {
			if lost == nil {
				lost = &s.voters[i]
			}
			continue
		}
		zone := voter.Zone
		if peer, isLive := s.live[voter.Addr]; isLive {
			zone = peer.Zone // initial voters are recorded without a zone
		}
		healthy.zones[zone]++
		healthy.regions[s.regionOf(zone)]++
	}
	return lost, healthy
}

// bestCandidate returns the live node without a vote that gives the best spread, or nil.
func (s *situation) bestCandidate(healthy spread) *paxos.Voter {
	isVoter := map[string]bool{}
	for _, voter := range s.voters {
		isVoter[voter.Addr] = true
	}
	var best *paxos.Voter
	for _, peer := range s.live {
		if isVoter[peer.Addr] {
			continue
		}
		if candidate := voterOf(peer); best == nil || s.isBetter(healthy, candidate, *best) {
			best = &candidate
		}
	}
	return best
}

func (s *situation) isBetter(healthy spread, a, b paxos.Voter) bool {
	if healthy.zones[a.Zone] != healthy.zones[b.Zone] {
		return healthy.zones[a.Zone] < healthy.zones[b.Zone]
	}
	inRegionOfA := healthy.regions[s.regionOf(a.Zone)]
	inRegionOfB := healthy.regions[s.regionOf(b.Zone)]
	if inRegionOfA != inRegionOfB {
		return inRegionOfA < inRegionOfB
	}
	return a.ID < b.ID
}

package placement

import (
	"strings"
	"testing"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/paxos"
)

// TestPlanMove checks the move that is planned first. Voters and live nodes are given as
// "ID@address/zone", and the machine that is out of contact by its address.
func TestPlanMove(t *testing.T) {
	for _, c := range []struct {
		name, voters, live, down string
		want                     int
		move                     string // "removed+added"
	}{
		{"no move needed", "a@1/x b@2/y c@3/z", "a@1/x b@2/y c@3/z", "", 3, ""},
		{"too few voters: a new zone first", "a@1/x b@2/y c@3/z", "a@1/x b@2/y c@3/z d@4/x e@5/w", "", 5, "+e"},
		{"a new replica replaces the former one on its machine", "a@1/x b@2/y c@3/z", "a2@1/x b@2/y c@3/z", "", 3, "a+a2"},
		{"a node without a vote replaces a voter that is down", "a@1/x b@2/y c@3/z", "b@2/y c@3/z d@4/x", "1", 3, "a+d"},
		{"no node can replace a voter that is down", "a@1/x b@2/y c@3/z", "b@2/y c@3/z", "1", 3, ""},
		{"add before replacing", "a@1/x b@2/y c@3/z", "b@2/y c@3/z d@4/x", "1", 5, "+d"},
		{"the region with fewer voters", "a@1/x1 b@2/y1 c@3/x2", "a@1/x1 b@2/y1 c@3/x2 d@4/x3 e@5/y3", "", 5, "+e"},
	} {
		input := planInput{
			voters:   parseVoters(c.voters),
			live:     map[string]replicahost.PeerInfo{},
			isDown:   func(address string) bool { return c.down != "" && address == c.down },
			want:     c.want,
			regionOf: func(zone string) string { return zone[:1] },
		}
		for _, peer := range parseVoters(c.live) {
			input.live[peer.Addr] = replicahost.PeerInfo{ID: peer.ID, Addr: peer.Addr, Zone: peer.Zone}
		}
		planned, needed := input.plan()
		got := ""
		if needed {
			got = string(planned.remove) + "+" + string(planned.add.ID)
		}
		if got != c.move {
			t.Errorf("%s: planned move %q, want %q", c.name, got, c.move)
		}
	}
}

func parseVoters(list string) (voters []paxos.Voter) {
	for _, word := range strings.Fields(list) {
		id, rest, _ := strings.Cut(word, "@")
		address, zone, _ := strings.Cut(rest, "/")
		voters = append(voters, paxos.Voter{ID: paxos.ReplicaID(id), Addr: address, Zone: zone})
	}
	return voters
}

// TestWorsensSpread guards against a machine that returns with an empty disk and never gets its
// vote back, because the zone of its former replica was not recorded.
func TestWorsensSpread(t *testing.T) {
	for _, c := range []struct {
		name, voters, next, added string
		want                      bool
	}{
		{"new replica on the machine, former zone not recorded", "a@1/ d@4/x c@3/", "a2@1/x d@4/x c@3/", "a2@1/x", false},
		{"added voter in the zone of another voter", "a@1/x b@2/y c@3/z", "a@1/x d@4/x c@3/z", "d@4/x", true},
		{"added voter in the zone of the removed voter", "a@1/x b@2/y c@3/z", "a@1/x d@4/y c@3/z", "d@4/y", false},
	} {
		added := parseVoters(c.added)[0]
		if got := worsensSpread(parseVoters(c.voters), parseVoters(c.next), added); got != c.want {
			t.Errorf("%s: worsensSpread returned %v, want %v", c.name, got, c.want)
		}
	}
}

package controlplane

import (
	"context"
	"sync"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/logging"
	"comethold/internal/paxos"
)

// MoveRequest asks a cell's proposer to give a seat to another member. Out is
// empty where a seat is added.
type MoveRequest struct {
	Cell   string          `cbor:"1,keyasint"`
	Remove paxos.ReplicaID `cbor:"2,keyasint"`
	Add    paxos.Voter     `cbor:"3,keyasint"`
}

// MinReplicaAge is how old a replica is at least before the voters of its cell are moved.
const MinReplicaAge = time.Second

// VotersFor is how many voters bear the loss of so many machines.
func VotersFor(losses int) int { return 2*losses + 1 }

// moveLocal moves a cell by one node at its proposer, once the newcomer has
// caught up and the move before it is done; the proposer brings it to its end.
func (r *Server) moveLocal(ctx context.Context, o *MoveRequest) replicahost.ProposeResult {
	var t paxos.Txn
	v := replicahost.ProposeResult{NoLeader: true}
	r.host.View(o.Cell, func(m *paxos.Replica) {
		if m.Role() != paxos.Leader {
			return
		}
		v = replicahost.ProposeResult{Busy: true}
		seats, settled := m.Voters()
		if !settled || m.DurableCommitIndex(o.Add.ID)+replicahost.Alpha < m.AppliedIndex() || m.DurableCommitIndex(o.Add.ID) == 0 && m.AppliedIndex() > 0 {
			return
		}
		var next []paxos.Voter
		for _, s := range seats {
			if s.ID != o.Remove {
				next = append(next, s)
			}
		}
		next = append(next, o.Add)
		if o.Remove != "" && len(next) > len(seats) || o.Remove == "" && len(next) > VotersFor(r.settings.Tolerance.MachineLosses) {
			return
		}
		if !survivesZoneLoss(next) && survivesZoneLoss(seats) {
			return
		}
		cond := paxos.Condition{Key: paxos.MembershipVersionKey, Absent: true}
		if c, ok := m.Get(paxos.MembershipVersionKey); ok {
			cond = paxos.Condition{Key: paxos.MembershipVersionKey, Equals: c}
		}
		t = paxos.Txn{ID: replicahost.NewTransactionID(), Conditions: []paxos.Condition{cond}, Ops: []paxos.Op{{Kind: paxos.OpSetVoters, Voters: next}}}
	})
	if t.Ops == nil {
		return v
	}
	v = r.host.ProposeLocal(ctx, o.Cell, t)
	if v.Committed {
		r.log.Info(logging.VotersChanged).Str("cell", o.Cell).Str("out", string(o.Remove)).Str("in", string(o.Add.ID)).Msg("a seat changed hands")
	}
	return v
}

// survivesZoneLoss reports whether no zone holds a majority of the seats.
func survivesZoneLoss(seats []paxos.Voter) bool {
	n := map[string]int{}
	for _, s := range seats {
		if s.Zone != "" {
			n[s.Zone]++
		}
	}
	for _, k := range n {
		if k > len(seats)/2 && len(seats) > 1 {
			return false
		}
	}
	return true
}

// planMove decides the one move that a cell needs most, if any: a machine that
// came back with an empty disk takes over its former seat; a seat unheard for
// long goes to a registrar that has none; a cell with too few seats gets one
// more. Newcomers come from the zone, then the region, with the fewest seats.
func planMove(seats []paxos.Voter, live map[string]replicahost.PeerInfo, silent func(addr string) bool, want int, region func(zone string) string) (out paxos.ReplicaID, in paxos.Voter, ok bool) {
	for _, s := range seats {
		if h, here := live[s.Addr]; here && h.ID != s.ID {
			return s.ID, paxos.Voter{ID: h.ID, Addr: h.Addr, Zone: h.Zone}, true
		}
	}
	zones, regions, seated := map[string]int{}, map[string]int{}, map[string]bool{}
	var lost *paxos.Voter
	for i, s := range seats {
		seated[s.Addr] = true
		if silent(s.Addr) {
			if lost == nil {
				lost = &seats[i]
			}
			continue
		}
		zone := s.Zone
		if h, here := live[s.Addr]; here {
			zone = h.Zone // founders are known by their address alone
		}
		zones[zone]++
		regions[region(zone)]++
	}
	if lost == nil && len(seats) >= want {
		return "", in, false
	}
	for _, h := range live {
		if seated[h.Addr] {
			continue
		}
		better := in.ID == "" || zones[h.Zone] < zones[in.Zone]
		if in.ID != "" && zones[h.Zone] == zones[in.Zone] {
			a, b := regions[region(h.Zone)], regions[region(in.Zone)]
			better = a < b || a == b && h.ID < in.ID
		}
		if better {
			in = paxos.Voter{ID: h.ID, Addr: h.Addr, Zone: h.Zone}
		}
	}
	if in.ID == "" {
		return "", in, false
	}
	if len(seats) < want {
		return "", in, true // add before replacing: the majority grows with it
	}
	return lost.ID, in, true
}

// placementLoop moves seats while this node holds the duty. It has a loop of its own: the
// desk's work on a cell without a majority must not delay the repair of the others.
func (r *Server) placementLoop() {
	pause := ReconcileInterval
	for {
		select {
		case <-time.After(pause):
		case <-r.quit:
			return
		}
		pause = ReconcileInterval
		if _, ok := r.placementLease.Held(); ok && r.host.QuorumContactAge() <= replicahost.StaleAfter && r.placeVoters() {
			pause = moveRetryInterval
		}
	}
}

// placeVoters carries out the moves that the cells need, of each cell one, and reports
// whether there were any: until all are done a further loss may be one too many.
func (r *Server) placeVoters() bool {
	type job struct {
		o    MoveRequest
		addr string
		here bool
	}
	var jobs []job
	want := VotersFor(r.settings.Tolerance.MachineLosses)
	var live map[string]replicahost.PeerInfo
	silent := func(addr string) bool { return r.host.SilenceOf(addr) > replicaTimeout }
	r.host.ViewAll(func(open replicahost.OpenReplica) {
		seats, settled := open.Replica.Voters()
		if !settled || open.Age < MinReplicaAge {
			return
		}
		if live == nil {
			live = r.host.LivePeers(replicahost.CandidateTimeout)
		}
		if out, in, ok := planMove(seats, live, silent, want, r.settings.RegionOf); ok {
			jobs = append(jobs, job{MoveRequest{Cell: open.Cell, Remove: out, Add: in}, open.LeaderAddress, open.Replica.Role() == paxos.Leader})
		}
	})
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), ProposalTimeout)
			defer cancel()
			if j.here {
				r.moveLocal(ctx, &j.o)
			} else if j.addr != "" {
				var v replicahost.ProposeResult
				_ = r.host.CallPeer(ctx, j.addr, "/move", &j.o, &v)
			}
		})
	}
	wg.Wait()
	return len(jobs) > 0
}

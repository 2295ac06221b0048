package controlplane

import (
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/paxos"
)

// CellView is the state of a cell as this node sees it.
type CellView struct {
	Voters  []paxos.Voter
	Settled bool // whether the newest membership is in effect
	Voter   bool // whether this node is a voter
	Applied uint64
	Role    paxos.Role
	Leader  paxos.ReplicaID // as far as this node knows
}

// Cells returns the state of the cells by name. It is empty until the storage is open.
func (s *Server) Cells() map[string]CellView {
	views := map[string]CellView{}
	if !s.isReady() {
		return views
	}
	s.host.ViewAll(func(open replicahost.OpenReplica) {
		voters, settled := open.Replica.Voters()
		views[open.Cell] = CellView{
			Voters:  voters,
			Settled: settled,
			Voter:   open.Replica.IsVoter(),
			Applied: open.Replica.AppliedIndex(),
			Role:    open.Replica.Role(),
			Leader:  open.Replica.Leader(),
		}
	})
	return views
}

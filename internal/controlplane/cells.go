package controlplane

import (
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/paxos"
)

// CellView is the state of a cell as this node sees it.
type CellView struct {
	Voters             []paxos.Voter // the newest membership
	MembershipComplete bool          // whether the change to the newest membership is complete
	IsVoter            bool          // whether this node is a voter
	Applied            uint64        // index of the last applied log entry
	Role               paxos.Role
	Leader             paxos.ReplicaID // as far as this node knows
}

// Cells returns the state of this node's cells by name. It is empty until the storage is open.
func (s *Server) Cells() map[string]CellView {
	views := map[string]CellView{}
	if !s.isReady() {
		return views
	}
	s.host.ViewAll(func(open replicahost.OpenReplica) {
		voters, complete := open.Replica.Voters()
		views[open.Cell] = CellView{
			Voters:             voters,
			MembershipComplete: complete,
			IsVoter:            open.Replica.IsVoter(),
			Applied:            open.Replica.AppliedIndex(),
			Role:               open.Replica.Role(),
			Leader:             open.Replica.Leader(),
		}
	})
	return views
}

// Package placement keeps the voters of each cell where they bear the loss of machines and
// zones: it adds voters to cells that have too few, and replaces those whose machine is
// lost. One node plans the moves, under a lease; the leader of a cell carries each out, and
// checks it against what the cell's state is by then.
package placement

import (
	"context"
	"sync"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/paxos"
)

// PathMove is where the leader of a cell takes a MoveRequest.
const PathMove = "/move"

const (
	planInterval  = 400 * time.Millisecond
	retryInterval = planInterval / 4 // while voters are to move
	moveTimeout   = 1200 * time.Millisecond
	// minReplicaAge is how old a replica is at least before the voters of its cell are moved.
	minReplicaAge = time.Second
)

// MoveRequest asks the leader of a cell to give the vote of a replica to another one.
type MoveRequest struct {
	Cell   string          `cbor:"1,keyasint"`
	Remove paxos.ReplicaID `cbor:"2,keyasint"` // empty where a voter is added
	Add    paxos.Voter     `cbor:"3,keyasint"`
}

// Host is what the mover needs of this node's replicas. *replicahost.Host implements it.
type Host interface {
	View(cell string, read func(*paxos.Replica)) bool
	ViewAll(read func(replicahost.OpenReplica))
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
	SilenceOf(address string) time.Duration
	QuorumContactAge() time.Duration
	ProposeLocal(ctx context.Context, cell string, txn paxos.Txn) replicahost.ProposeResult
	CallPeer(ctx context.Context, address, path string, request, response any) error
}

// Lease tells whether this node is the one that plans moves.
type Lease interface {
	Held() (term uint64, held bool)
}

// Options are what a Mover is made from.
type Options struct {
	Host     Host
	Lease    Lease
	Voters   int // that each cell should have
	RegionOf func(zone string) string
	Log      *logging.Logger
}

// Mover moves voters.
type Mover struct {
	options Options
}

// NewMover makes a mover. Run starts it.
func NewMover(options Options) *Mover { return &Mover{options: options} }

// Run moves voters while this node holds the lease, until ctx is done. A move that was begun
// is brought to its end.
func (m *Mover) Run(ctx context.Context) {
	pause := planInterval
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = planInterval
		_, held := m.options.Lease.Held()
		if held && m.options.Host.QuorumContactAge() <= replicahost.StaleAfter && m.moveVoters(context.WithoutCancel(ctx)) {
			pause = retryInterval
		}
	}
}

// plannedMove is a request with where it is to be made.
type plannedMove struct {
	request       MoveRequest
	leaderAddress string // empty if that is not known
	isLocal       bool   // this node leads the cell
}

// moveVoters carries out the moves that the cells need, of each cell one, and reports
// whether there were any: until all are done a further loss may be one too many.
func (m *Mover) moveVoters(ctx context.Context) bool {
	moves := m.planMoves()
	var calls sync.WaitGroup
	for _, planned := range moves {
		calls.Go(func() { m.carryOut(ctx, planned) })
	}
	calls.Wait()
	return len(moves) > 0
}

func (m *Mover) planMoves() (moves []plannedMove) {
	host := m.options.Host
	isSilent := func(address string) bool { return host.SilenceOf(address) > replicahost.DownTimeout }
	var live map[string]replicahost.PeerInfo
	host.ViewAll(func(open replicahost.OpenReplica) {
		voters, inEffect := open.Replica.Voters()
		if !inEffect || open.Age < minReplicaAge {
			return
		}
		if live == nil {
			live = host.LivePeers(replicahost.CandidateTimeout)
		}
		s := situation{
			voters:   voters,
			live:     live,
			isSilent: isSilent,
			want:     m.options.Voters,
			regionOf: m.options.RegionOf,
		}
		if planned, needed := s.plan(); needed {
			moves = append(moves, plannedMove{
				request:       MoveRequest{Cell: open.Cell, Remove: planned.remove, Add: planned.add},
				leaderAddress: open.LeaderAddress,
				isLocal:       open.Replica.Role() == paxos.Leader,
			})
		}
	})
	return moves
}

// carryOut asks the leader of the cell. What fails is planned again.
func (m *Mover) carryOut(ctx context.Context, planned plannedMove) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	if planned.isLocal {
		m.MoveLocal(ctx, &planned.request)
		return
	}
	if planned.leaderAddress != "" {
		var result replicahost.ProposeResult
		_ = m.options.Host.CallPeer(ctx, planned.leaderAddress, PathMove, &planned.request, &result)
	}
}

// MoveLocal moves a vote at this node, which must lead the cell: once the newcomer has
// caught up and the move before it is done. Until then the result is Busy.
func (m *Mover) MoveLocal(ctx context.Context, request *MoveRequest) replicahost.ProposeResult {
	result := replicahost.ProposeResult{NoLeader: true}
	var txn paxos.Txn
	isDue := false
	m.options.Host.View(request.Cell, func(replica *paxos.Replica) {
		if replica.Role() != paxos.Leader {
			return
		}
		result = replicahost.ProposeResult{Busy: true}
		txn, isDue = moveTxn(replica, request, m.options.Voters)
	})
	if !isDue {
		return result
	}
	result = m.options.Host.ProposeLocal(ctx, request.Cell, txn)
	if result.Committed {
		m.options.Log.Info(logging.VotersChanged).
			Str("cell", request.Cell).
			Str("removed", string(request.Remove)).
			Str("added", string(request.Add.ID)).
			Msg("voters changed")
	}
	return result
}

// moveTxn makes the transaction of a move; false if it must not be made now.
func moveTxn(replica *paxos.Replica, request *MoveRequest, maxVoters int) (txn paxos.Txn, isDue bool) {
	voters, inEffect := replica.Voters()
	if !inEffect || !hasCaughtUp(replica, request.Add.ID) {
		return txn, false
	}
	var next []paxos.Voter
	for _, voter := range voters {
		if voter.ID != request.Remove {
			next = append(next, voter)
		}
	}
	next = append(next, request.Add)
	limit := maxVoters
	if request.Remove != "" {
		limit = len(voters)
	}
	if len(next) > limit || !survivesZoneLoss(next) && survivesZoneLoss(voters) {
		return txn, false
	}
	version, found := replica.Get(paxos.MembershipVersionKey)
	return paxos.Txn{
		ID:         replicahost.NewTransactionID(),
		Conditions: []paxos.Condition{schema.UnchangedCondition(paxos.MembershipVersionKey, version, found)},
		Ops:        []paxos.Op{{Kind: paxos.OpSetVoters, Voters: next}},
	}, true
}

// hasCaughtUp reports whether a replica has nearly all that is committed on its disk.
func hasCaughtUp(leader *paxos.Replica, id paxos.ReplicaID) bool {
	has := leader.DurableCommitIndex(id)
	applied := leader.AppliedIndex()
	return has+replicahost.Alpha >= applied && (has > 0 || applied == 0)
}

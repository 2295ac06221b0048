// Package placement places the voters of each cell so that it survives the loss of machines
// and zones: it adds voters to cells that have too few, and replaces those whose machine is
// lost. The owner of a lease plans the moves. The leader of a cell checks each move against
// the current state of the cell and executes it.
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

// PathMove is the RPC path of a MoveRequest to the leader of a cell.
const PathMove = "/move"

const (
	planInterval  = 400 * time.Millisecond
	checkInterval = planInterval / 4 // between checks of the lease, and between plans while moves are needed
	moveTimeout   = 1200 * time.Millisecond
	// minReplicaAge is the time that a replica must be open before moves of its cell are planned.
	minReplicaAge = time.Second
)

// MoveRequest asks the leader of a cell to replace a voter, or to add one.
type MoveRequest struct {
	Cell   string          `cbor:"1,keyasint"`
	Remove paxos.ReplicaID `cbor:"2,keyasint"` // empty to add a voter
	Add    paxos.Voter     `cbor:"3,keyasint"`
}

// Host provides access to this node's replicas and to its peers. *replicahost.Host implements it.
type Host interface {
	View(cell string, read func(*paxos.Replica)) bool
	ViewAll(read func(replicahost.OpenReplica))
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
	ContactAge(address string) time.Duration
	QuorumContactAge() time.Duration
	ProposeLocal(ctx context.Context, cell string, txn paxos.Txn) replicahost.ProposeResult
	CallPeer(ctx context.Context, address, path string, request, response any) error
}

// Lease is the lease whose owner plans the moves. *lease.Lease implements it.
type Lease interface {
	Held() (term uint64, held bool)
}

// Options configures a Mover.
type Options struct {
	Host     Host
	Lease    Lease
	Voters   int // the intended number of voters of each cell
	Timeouts Timeouts
	RegionOf func(zone string) string
	Log      *logging.Logger
}

// Mover adds and replaces the voters of cells.
type Mover struct {
	options Options
}

// NewMover returns a Mover. Run starts it.
func NewMover(options Options) *Mover { return &Mover{options: options} }

// Run moves voters while this node holds the lease, until ctx is done. It returns after the
// moves in progress are complete. It plans as soon as this node acquires the lease, because
// the machine of the previous owner may be lost.
func (m *Mover) Run(ctx context.Context) {
	var nextPlanAt time.Time
	for {
		select {
		case <-time.After(checkInterval):
		case <-ctx.Done():
			return
		}
		_, held := m.options.Lease.Held()
		if !held {
			nextPlanAt = time.Time{}
			continue
		}
		now := time.Now()
		if now.Before(nextPlanAt) {
			continue
		}
		nextPlanAt = now.Add(planInterval)
		if m.options.Host.QuorumContactAge() <= replicahost.StaleAfter && m.moveVoters(context.WithoutCancel(ctx)) {
			nextPlanAt = now
		}
	}
}

// plannedMove is a request and the leader to send it to.
type plannedMove struct {
	request       MoveRequest
	leaderAddress string // empty if unknown
	isLocal       bool   // this node leads the cell
}

// moveVoters executes at most one move per cell and reports whether any was needed. While
// moves are needed, a cell may not survive a further loss, so Run plans again sooner.
func (m *Mover) moveVoters(ctx context.Context) bool {
	moves := m.planMoves()
	var calls sync.WaitGroup
	for _, planned := range moves {
		calls.Go(func() { m.executeMove(ctx, planned) })
	}
	calls.Wait()
	return len(moves) > 0
}

func (m *Mover) planMoves() (moves []plannedMove) {
	host := m.options.Host
	isDown := func(address string) bool { return host.ContactAge(address) > m.options.Timeouts.Voter }
	var live map[string]replicahost.PeerInfo
	host.ViewAll(func(open replicahost.OpenReplica) {
		voters, complete := open.Replica.Voters()
		if !complete || open.Age < minReplicaAge {
			return
		}
		if live == nil {
			live = host.LivePeers(m.options.Timeouts.Candidate)
		}
		input := planInput{
			voters:   voters,
			live:     live,
			isDown:   isDown,
			want:     m.options.Voters,
			regionOf: m.options.RegionOf,
		}
		if planned, needed := input.plan(); needed {
			moves = append(moves, plannedMove{
				request:       MoveRequest{Cell: open.Cell, Remove: planned.remove, Add: planned.add},
				leaderAddress: open.LeaderAddress,
				isLocal:       open.Replica.Role() == paxos.Leader,
			})
		}
	})
	return moves
}

// executeMove executes the move if this node leads the cell, and otherwise sends it to the
// leader. A failed move is planned again.
func (m *Mover) executeMove(ctx context.Context, planned plannedMove) {
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

// MoveLocal executes a move at this node. The result is NoLeader if this node does not lead
// the cell. It is Busy if the move is not allowed now, for example because the new replica
// has not caught up or the previous move is not complete yet.
func (m *Mover) MoveLocal(ctx context.Context, request *MoveRequest) replicahost.ProposeResult {
	result := replicahost.ProposeResult{NoLeader: true}
	var txn paxos.Txn
	isAllowed := false
	m.options.Host.View(request.Cell, func(replica *paxos.Replica) {
		if replica.Role() != paxos.Leader {
			return
		}
		result = replicahost.ProposeResult{Busy: true}
		txn, isAllowed = moveTxn(replica, request, m.options.Voters)
	})
	if !isAllowed {
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

// moveTxn returns the transaction of a move. isAllowed is false if the move is not allowed now.
func moveTxn(replica *paxos.Replica, request *MoveRequest, maxVoters int) (txn paxos.Txn, isAllowed bool) {
	voters, complete := replica.Voters()
	if !complete || !hasCaughtUp(replica, request.Add.ID) {
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
	if len(next) > limit || worsensSpread(voters, next, request.Add) {
		return txn, false
	}
	version, found := replica.Get(paxos.MembershipVersionKey)
	return paxos.Txn{
		ID:         replicahost.NewTransactionID(),
		Conditions: []paxos.Condition{schema.UnchangedCondition(paxos.MembershipVersionKey, version, found)},
		Ops:        []paxos.Op{{Kind: paxos.OpSetVoters, Voters: next}},
	}, true
}

// hasCaughtUp reports whether a replica has durably stored all but at most the last
// replicahost.Alpha entries that the leader has applied.
func hasCaughtUp(leader *paxos.Replica, id paxos.ReplicaID) bool {
	durable := leader.DurableCommitIndex(id)
	applied := leader.AppliedIndex()
	return durable+replicahost.Alpha >= applied && (durable > 0 || applied == 0)
}

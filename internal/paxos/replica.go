package paxos

import (
	"errors"
	"time"

	"comethold/internal/paxos/entrylog"
	"comethold/internal/paxos/statemachine"
)

// Errors of Propose and Read.
var (
	// ErrNotLeader means that another replica is the leader, or that there is no leader.
	ErrNotLeader = errors.New("paxos: this replica is not the leader")
	// ErrPipelineFull means that the queue of transactions is full (Propose), or that the leader
	// has not yet applied all entries that earlier leaders committed (Read). The caller should
	// retry with a backoff.
	ErrPipelineFull = errors.New("paxos: the transaction queue is full or the leader is still catching up")
)

// Role is the state of a replica in the election of a leader.
type Role uint8

// The roles of a replica.
const (
	// Follower accepts the proposals of the leader.
	Follower Role = iota
	// PersistingTerm waits until the term of its next campaign is on its disk.
	PersistingTerm
	// Candidate has asked for promises and waits for a majority of them.
	Candidate
	// Leader is the distinguished proposer.
	Leader
)

// String returns the role as it appears in log lines.
func (role Role) String() string {
	return [...]string{"follower", "persisting term", "candidate", "leader"}[role]
}

// Config holds the settings of a replica. They do not change while it runs.
type Config struct {
	Cell string
	Self ReplicaID
	// Alpha is the maximum number of entries in flight, and the number of indexes after which a
	// committed membership change takes effect. It must be the same on all replicas of a cell.
	Alpha uint64
	// MaxQueue is the maximum number of queued transactions; Propose rejects more.
	MaxQueue int
	// MaxBatch is the maximum number of transactions in one entry.
	MaxBatch int
	// RetainedEntries is the number of applied entries that are retained for catch-up by log
	// segment.
	RetainedEntries uint64
	// HeartbeatInterval is the time between heartbeats, and before a retransmission.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the maximum time that a leader remains leader without contact to a
	// majority. A follower campaigns after one to two election timeouts without its leader.
	ElectionTimeout time.Duration
	// Jitter returns a random number in [0,1).
	Jitter func() float64
}

// Replica is one voter or learner of one cell. It owns its role and the role's transitions, and
// dispatches each message to its handler.
//
// Invariant: a replica is deterministic. The same PersistedState, calls and Jitter give the
// same Ready values, except for the order of ChangedKeys and ConfirmedReads. The order of
// messages is part of that: no code here sends messages while it ranges over an unsorted map.
type Replica struct {
	config   Config
	learners []ReplicaID // a leader replicates to them as well as to the voters

	role             Role
	roleSince        time.Duration
	electionDeadline time.Duration // of a follower or candidate

	acceptor  acceptor
	proposer  proposer        // the current campaign or leadership
	contact   leaderContact   // used as a follower
	followers followerContact // used as the leader
	catchUp   catchUp

	log   entrylog.Log
	state statemachine.State
	// appliedIndex is the last log index that state includes; all entries up to it are committed.
	appliedIndex uint64
	// durableCommitIndex is the commit index that is on disk once all Writes are synced.
	durableCommitIndex uint64

	ready Ready
}

// NewReplica returns a replica that starts from its persisted state. A voter of a new cell starts
// with a snapshot at index 0 that contains the first membership.
func NewReplica(config Config, persisted PersistedState, now time.Duration) *Replica {
	r := &Replica{
		config:    config,
		acceptor:  acceptor{promised: persisted.Promised},
		proposer:  newProposer(max(persisted.Promised.Term, persisted.Term)),
		contact:   leaderContact{timestampBase: uint64(config.Jitter() * maxTimestampBase)},
		followers: newFollowerContact(),
		catchUp:   catchUp{transfers: map[ReplicaID]transfer{}},
		log:       entrylog.New(),
		state:     statemachine.NewState(),
	}
	if persisted.Snapshot != nil {
		r.loadSnapshot(persisted.Snapshot)
	}
	for _, entry := range persisted.Entries {
		r.log.Store(entry)
	}
	for r.appliedIndex < persisted.CommitIndex && r.log.At(r.appliedIndex+1) != nil && r.state.HasMembership() {
		r.applyNext()
	}
	r.durableCommitIndex = r.appliedIndex
	r.becomeFollower(now)
	// There may be no leader after a start, so campaign soon. If there is a leader, the replicas in
	// contact with it reject the campaign. The campaign does not prevent this replica from following
	// that leader, since a candidate makes its own promise last.
	r.electionDeadline = now + time.Duration((0.2+config.Jitter())*float64(config.ElectionTimeout)/3)
	return r
}

// Role returns the replica's role in the election.
func (r *Replica) Role() Role { return r.role }

// Leader returns the ID of the leader, or "" if the replica does not know one.
func (r *Replica) Leader() ReplicaID { return r.contact.leader }

// AppliedIndex returns the last log index that the state includes.
func (r *Replica) AppliedIndex() uint64 { return r.appliedIndex }

// Get returns a value of the applied state, which may be stale; see Read.
func (r *Replica) Get(key string) (Value, bool) { return r.state.Get(key) }

// Keys returns the keys of the applied state in order.
func (r *Replica) Keys() []string { return r.state.Keys() }

// KeysWithPrefix returns, in order, the keys with a prefix that are equal to or after from.
func (r *Replica) KeysWithPrefix(prefix, from string) []string {
	return r.state.KeysWithPrefix(prefix, from)
}

// Tick passes the current time to the replica. The owner calls it several times per
// HeartbeatInterval.
func (r *Replica) Tick(now time.Duration) {
	switch r.role {
	case Leader:
		r.tickLeader(now)
	case PersistingTerm:
		// A slow or hanging disk has delayed the campaign so long that the information about the
		// ended leadership is too old to use.
		if now-r.roleSince > r.config.ElectionTimeout {
			r.contact.endedLeadership = ProposalNumber{}
		}
	case Candidate, Follower:
		if now >= r.electionDeadline {
			r.startElection(now)
		}
	}
}

// Step handles a message. A message for another replica or cell is ignored.
func (r *Replica) Step(now time.Duration, msg Message) {
	if msg.To != r.config.Self || msg.Cell != r.config.Cell {
		return
	}
	switch msg.Kind {
	case Prepare:
		r.handlePrepare(now, msg)
	case Promise:
		r.handlePromise(now, msg)
	case Reject:
		r.handleReject(now, msg)
	case Accept:
		r.handleAccept(now, msg)
	case Accepted:
		r.handleAccepted(now, msg)
	case Heartbeat:
		r.handleHeartbeat(now, msg)
	case HeartbeatAck:
		r.handleHeartbeatAck(now, msg)
	case TermPersisted:
		r.handleTermPersisted(now, msg)
	case CommitPersisted:
		r.handleCommitPersisted(msg)
	case LeadershipTransfer:
		r.handleLeadershipTransfer(now, msg)
	case CatchUpRequest:
		r.handleCatchUpRequest(now, msg)
	case CatchUpResponse:
		r.handleCatchUpResponse(now, msg)
	}
}

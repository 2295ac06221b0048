package paxos

import (
	"time"

	"comethold/internal/paxos/entrylog"
)

// Catch-up, the paper's "teaching" (section 2.4): a replica that lacks committed entries
// requests them from the leader; a candidate gets them with its acceptors' promises. The answer
// is a log segment if the entries are still in the log and not larger than the state, else a
// snapshot.
//
// The paper's third mode, a no-op proposed into a gap of the log, is done by the leader: it
// fills gaps below the last adopted index (proposer.nextContent).

const (
	// maxBackoffHeartbeats bounds the backoff, in heartbeat intervals, of repeated requests and
	// of repeated large answers to a replica that has made no progress.
	maxBackoffHeartbeats = 16
	// smallTransferBytes is the size up to which a log segment is sent without a backoff.
	smallTransferBytes = 4 << 10
	// minSegmentEntries is how many entries are sent as a segment even if they are larger
	// than the state.
	minSegmentEntries = 4
)

// catchUp owns the replica's own request for missing entries, and the backoff of its large
// answers to others.
//
// Invariant: a large answer to a replica that has made no progress since the last one is
// repeated only after a backoff that doubles up to maxBackoffHeartbeats, since the first may
// still be in transit; a replica that has made progress is answered at once.
type catchUp struct {
	// Of the last request:
	pending       bool
	requestedAt   time.Duration
	requestedFrom ReplicaID
	backoff       time.Duration

	// transfers has the last large answer to each replica.
	transfers map[ReplicaID]transfer
}

// transfer is a large answer to a replica: from which index on, and when it may be repeated.
type transfer struct {
	index   uint64
	sentAt  time.Duration
	backoff time.Duration
}

// finish records that no entry is missing.
func (c *catchUp) finish() {
	c.pending = false
	c.backoff = 0
}

// nextBackoff doubles a backoff up to the bound.
func (r *Replica) nextBackoff(backoff time.Duration) time.Duration {
	return min(2*backoff, maxBackoffHeartbeats*r.config.HeartbeatInterval)
}

// requestCatchUp asks the leader for the missing entries up to its commit index. A replica that
// lacks no more than the pipeline may hold has probably lost a message, and asks with each
// heartbeat; a replica that lacks more backs off, since the answer may be large and slow.
func (r *Replica) requestCatchUp(now time.Duration, leader ReplicaID, commitIndex uint64) {
	request := &r.catchUp
	interval := r.config.HeartbeatInterval
	otherLeader := request.requestedFrom != leader
	few := r.state.HasMembership() && commitIndex <= r.lastOpenIndex() && now-request.requestedAt >= interval/2
	if request.pending && !otherLeader && !few && now-request.requestedAt < request.backoff {
		return
	}
	request.backoff = r.nextBackoff(request.backoff)
	if request.backoff == 0 || few || otherLeader {
		request.backoff = interval
	}
	request.pending = true
	request.requestedFrom = leader
	request.requestedAt = now
	r.send(Message{Kind: CatchUpRequest, To: leader, Index: r.appliedIndex, NeedsSnapshot: !r.state.HasMembership()})
}

// handleCatchUpRequest sends a log segment or a snapshot.
func (r *Replica) handleCatchUpRequest(now time.Duration, msg Message) {
	if !r.state.HasMembership() || msg.Index >= r.appliedIndex && !msg.NeedsSnapshot {
		return
	}
	response := Message{Kind: CatchUpResponse, To: msg.From, CommitIndex: r.appliedIndex}
	if msg.Index >= r.log.CompactedIndex() && !msg.NeedsSnapshot {
		segment := r.log.Between(msg.Index, r.appliedIndex)
		size := entrylog.Size(segment)
		if size <= r.state.Size() || len(segment) <= minSegmentEntries {
			if size <= smallTransferBytes || r.beginTransfer(now, msg.From, msg.Index) {
				response.Entries = segment
				r.send(response)
			}
			return
		}
	}
	if r.beginTransfer(now, msg.From, msg.Index) {
		response.Snapshot = r.state.Snapshot(r.appliedIndex)
		r.send(response)
	}
}

// beginTransfer reports whether a replica that has applied up to an index may be sent a large
// answer now, and if so records that one is sent.
func (r *Replica) beginTransfer(now time.Duration, to ReplicaID, index uint64) bool {
	last, ok := r.catchUp.transfers[to]
	backoff := r.config.HeartbeatInterval
	if ok && last.index == index {
		if now-last.sentAt < last.backoff {
			return false
		}
		backoff = r.nextBackoff(last.backoff)
	}
	r.catchUp.transfers[to] = transfer{index: index, sentAt: now, backoff: backoff}
	return true
}

// handleCatchUpResponse applies what was missing and lets the next request go out at once.
func (r *Replica) handleCatchUpResponse(now time.Duration, msg Message) {
	before := r.appliedIndex
	r.learn(now, msg)
	r.catchUp.pending = false
	if r.appliedIndex > before {
		r.catchUp.backoff = 0
	}
	r.contact.advanceCurrentUntil(r.appliedIndex)
	r.fillPipeline(now)
}

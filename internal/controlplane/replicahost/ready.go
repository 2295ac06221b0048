package replicahost

import (
	"comethold/internal/logging"
	"comethold/internal/paxos"
)

// processReady does what a replica wants done, until it wants nothing more. What must be
// durable first is sent once it is.
func (h *Host) processReady(cell string, hosted *hostedReplica) {
	replica := hosted.replica
	for {
		ready := replica.Ready()
		if ready.StateChanged {
			h.recordVoterAddresses(replica)
		}
		toSelf := h.sendToPeers(ready.Messages)
		toSelf = append(toSelf, h.persist(cell, hosted, ready)...)
		h.answerWaiters(replica, ready)
		h.logRoleChange(cell, hosted)
		if ready.StateChanged {
			h.hooks.OnApply(cell, ready.ChangedKeys)
		}
		if len(toSelf) == 0 {
			return
		}
		for _, message := range toSelf {
			replica.Step(h.now(), message)
		}
	}
}

// persist stores what a replica wants stored, and sends what must not be sent before. If
// there was nothing to wait for, it returns the messages to the replica itself; else the
// event loop hands them over later.
func (h *Host) persist(cell string, hosted *hostedReplica, ready paxos.Ready) (toSelf []paxos.Message) {
	messages := ready.MessagesAfterSync
	if len(messages) == 0 && ready.Writes.Empty() {
		return nil
	}
	synced := func() {
		h.Enqueue(func() {
			if h.replicas[cell] != hosted {
				return // closed meanwhile
			}
			for _, message := range h.sendToPeers(messages) {
				hosted.replica.Step(h.now(), message)
			}
			h.processReady(cell, hosted)
		})
	}
	if h.storage.Submit(cell, ready.Writes, synced) {
		return h.sendToPeers(messages)
	}
	return nil
}

// answerWaiters tells callers what became of their proposals and reads.
func (h *Host) answerWaiters(replica *paxos.Replica, ready paxos.Ready) {
	for _, outcome := range ready.Outcomes {
		if waiter := h.proposalWaiters[outcome.TxnID]; waiter != nil {
			delete(h.proposalWaiters, outcome.TxnID)
			waiter <- outcome
		}
	}
	for _, id := range ready.ConfirmedReads {
		if waiter := h.readWaiters[id]; waiter != nil {
			delete(h.readWaiters, id)
			waiter <- replica.AppliedIndex()
		}
	}
}

func (h *Host) logRoleChange(cell string, hosted *hostedReplica) {
	role := hosted.replica.Role()
	if role == hosted.role {
		return
	}
	hosted.role = role
	h.log.Info(logging.ReplicaRoleChanged).
		Str("cell", cell).
		Stringer("role", role).
		Uint64("applied", hosted.replica.AppliedIndex()).
		Msg("replica role changed")
}

func (h *Host) recordVoterAddresses(replica *paxos.Replica) {
	voters, _ := replica.Voters()
	for _, voter := range voters {
		h.addresses[voter.ID] = voter.Addr
	}
}

// sendToPeers sends messages and hands back those to this node itself.
func (h *Host) sendToPeers(messages []paxos.Message) (toSelf []paxos.Message) {
	byAddress := map[string][]paxos.Message{}
	for _, message := range messages {
		if message.To == h.Self.ID {
			toSelf = append(toSelf, message)
			continue
		}
		if address := h.addresses[message.To]; address != "" && address != h.Self.Addr {
			byAddress[address] = append(byAddress[address], message)
		}
	}
	for address, list := range byAddress {
		h.transport.send(address, list)
	}
	return toSelf
}

// newBatch makes what is sent to a peer. What may be long under way carries no clocks: by
// its arrival they would be wrong.
func (h *Host) newBatch(messages []paxos.Message) *Batch {
	batch := &Batch{
		Sender:       h.Self,
		Messages:     messages,
		EndpointList: h.hooks.EndpointRevision(),
	}
	bytes := 0
	for i := range messages {
		bytes += messages[i].Size()
	}
	if bytes <= maxClockBatchBytes {
		batch.WallTime, batch.AgreedTime = h.hooks.ReadClocks()
	}
	return batch
}

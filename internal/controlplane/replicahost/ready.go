package replicahost

import (
	"comethold/internal/logging"
	"comethold/internal/paxos"
)

// processReady processes the output of a replica until there is none left: it persists
// writes, sends messages, answers waiters and calls OnApply.
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

// persist submits a replica's writes, and sends the messages that must not be sent before these
// writes are durable. If no sync is needed, it sends them immediately and returns those that are
// addressed to the replica itself. Otherwise it returns nil; after the sync the event loop sends
// the messages and passes the replica those that are addressed to it.
func (h *Host) persist(cell string, hosted *hostedReplica, ready paxos.Ready) (toSelf []paxos.Message) {
	messages := ready.MessagesAfterSync
	if len(messages) == 0 && ready.Writes.Empty() {
		return nil
	}
	synced := func() {
		h.Enqueue(func() {
			if h.replicas[cell] != hosted {
				return // the replica was closed during the sync
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

// answerWaiters passes the outcomes of proposals and reads to the waiting callers.
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

// sendToPeers sends messages and returns those that are addressed to this node.
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

// newBatch returns a batch for a peer. A large batch carries no clocks because they would be
// outdated when it arrives.
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

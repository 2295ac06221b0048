package paxos

import (
	"container/heap"
	"slices"
	"time"
)

// link is the directed connection from one replica to another.
type link struct{ from, to ReplicaID }

// inTransit is a message that has not arrived yet. Messages that arrive at the same time are ordered
// by sequence.
type inTransit struct {
	arrivesAt time.Duration
	sequence  int
	message   Message
}

// network is a heap of the messages in transit, ordered by time of arrival.
type network []inTransit

func (n network) Len() int      { return len(n) }
func (n network) Swap(i, j int) { n[i], n[j] = n[j], n[i] }

func (n network) Less(i, j int) bool {
	if n[i].arrivesAt != n[j].arrivesAt {
		return n[i].arrivesAt < n[j].arrivesAt
	}
	return n[i].sequence < n[j].sequence
}

func (n *network) Push(x any) {
	item, ok := x.(inTransit)
	if !ok {
		panic("network.Push: the value is not an inTransit message")
	}
	*n = append(*n, item)
}

func (n *network) Pop() any {
	last := (*n)[len(*n)-1]
	*n = (*n)[:len(*n)-1]
	return last
}

// sendMessages sends a node's messages to other nodes over the network, some of them twice. It returns
// those that are addressed to the node itself.
func (s *cellSimulation) sendMessages(node *simulatedNode, messages []Message) []Message {
	var toSelf []Message
	for _, msg := range messages {
		if msg.To == node.id {
			toSelf = append(toSelf, msg)
			continue
		}
		copies := 1
		if s.rng.Float64() < s.duplicateRate {
			copies = 2
		}
		for range copies {
			s.transmit(msg)
		}
	}
	return toSelf
}

// transmit drops a message at random, or adds it to the network with a random time of arrival.
func (s *cellSimulation) transmit(msg Message) {
	if s.rng.Float64() < s.lossRate {
		return
	}
	s.messagesSent++
	delay := s.messageDelay + s.randomDuration(s.messageDelay)
	if s.lateRate > 0 && s.rng.Float64() < s.lateRate {
		delay += s.randomDuration(maxLateDelay)
	}
	heap.Push(&s.network, inTransit{arrivesAt: s.now + delay, sequence: s.messagesSent, message: msg})
}

// nextArrival removes the next message from the network and returns it if its time of arrival has
// been reached.
func (s *cellSimulation) nextArrival() (Message, bool) {
	if len(s.network) == 0 || s.network[0].arrivesAt > s.now {
		return Message{}, false
	}
	item, ok := heap.Pop(&s.network).(inTransit)
	return item.message, ok
}

// partition blocks all links between the named nodes and the others.
func (s *cellSimulation) partition(names ...string) {
	for _, a := range s.nodeNames() {
		for _, b := range s.nodeNames() {
			if slices.Contains(names, a) != slices.Contains(names, b) {
				s.blockedLinks[link{s.nodes[a].id, s.nodes[b].id}] = true
			}
		}
	}
}

// setPartitioned blocks or opens all links from and to one node.
func (s *cellSimulation) setPartitioned(node *simulatedNode, blocked bool) {
	for _, name := range s.nodeNames() {
		if other := s.nodes[name]; other != node {
			s.blockedLinks[link{node.id, other.id}] = blocked
			s.blockedLinks[link{other.id, node.id}] = blocked
		}
	}
}

// healAll opens all links.
func (s *cellSimulation) healAll() { s.blockedLinks = map[link]bool{} }

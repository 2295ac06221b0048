package reconcile

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"comethold/internal/controlplane/nodereports"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

const (
	probeTimeout = 700 * time.Millisecond
	// downNodeRetention is how long a node that is down stays in the list.
	downNodeRetention = 2 * time.Minute
	// controlNodeSuffix is appended to the name of a control node in the node list, since the
	// data plane node of the same machine has the same name.
	controlNodeSuffix = "/registrar"
)

// pathProbe is the RPC path of probes.
const pathProbe = "/here"

// controlNode returns the node list entry of a control node.
func controlNode(info replicahost.PeerInfo) distribution.Node {
	return distribution.Node{
		Name:         info.Name + controlNodeSuffix,
		Addr:         info.Addr,
		Zone:         info.Zone,
		ControlPlane: true,
	}
}

// RPCProber probes nodes with an RPC.
type RPCProber struct {
	Client          *rpc.Client
	DataPlanePort   int
	ObjectCachePort int
}

// Probe returns nil if the node answered, and otherwise the error of the RPC.
func (p RPCProber) Probe(ctx context.Context, node distribution.Node) error {
	port := p.DataPlanePort
	if node.ObjectCache {
		port = p.ObjectCachePort
	}
	address := net.JoinHostPort(node.Addr, strconv.Itoa(port))
	return p.Client.Call(ctx, address, pathProbe, distribution.UpdateRequest{}, nil)
}

// nodeReconciler maintains the node list.
type nodeReconciler struct {
	cells   committer
	peers   Peers
	lists   Lists
	reports *nodereports.Tracker
	prober  Prober
	log     *logging.Logger

	// downSince is the time at which this node first saw a listed node as down, by name.
	downSince map[string]time.Time
}

func newNodeReconciler(options Options, cells committer) *nodeReconciler {
	return &nodeReconciler{
		cells:     cells,
		peers:     options.Peers,
		lists:     options.Lists,
		reports:   options.Reports,
		prober:    options.Prober,
		log:       options.Log,
		downSince: map[string]time.Time{},
	}
}

// unlistedPeers returns the live control nodes that are not in the node list. A control node
// can't add itself while it has no replica with the state.
func (n *nodeReconciler) unlistedPeers() (unlisted []distribution.Node) {
	listed := n.lists.Nodes()
	for _, peer := range n.peers.LivePeers(nodereports.ContactLifetime) {
		node := controlNode(peer)
		if _, isListed := listed[node.Name]; !isListed {
			unlisted = append(unlisted, node)
		}
	}
	return unlisted
}

// reconcile adds live nodes to the list and updates their entries. It marks a node as down if it
// is suspected and does not answer this node's probe.
func (n *nodeReconciler) reconcile(ctx context.Context) {
	listed := n.lists.Nodes()
	now := time.Now()
	live := n.reports.LiveNodes(now)
	var txn paxos.Txn
	for name, node := range live {
		old, isListed := listed[name]
		if !isListed {
			addNode(&txn, node)
		} else if old != node {
			replaceNode(&txn, old, node)
		}
	}
	for _, node := range n.unreachable(ctx, n.suspects(listed, live, now)) {
		replaceNode(&txn, node, downNode(node))
		n.log.Warn(logging.NodeDown).Str("peer", node.Name).Msg("node missed heartbeats and a probe; marking it as down")
	}
	n.commit(ctx, txn)
}

// suspects returns the listed nodes that are not live and whose heartbeats at least
// nodereports.MinReporters nodes miss. If the list has fewer other nodes, all of them must miss
// the heartbeats.
func (n *nodeReconciler) suspects(
	listed, live map[string]distribution.Node, now time.Time,
) (suspects []distribution.Node) {
	required := min(nodereports.MinReporters, len(listed)-1)
	for name, reporterCount := range n.reports.SuspicionCounts(now) {
		_, isLive := live[name]
		node, isListed := listed[name]
		if isListed && !node.Down && !isLive && reporterCount >= required {
			suspects = append(suspects, node)
		}
	}
	return suspects
}

// unreachable probes the suspects, returns those that don't answer, and clears the suspicion
// of the others. A suspect may be healthy: it may get its updates from another control node,
// and a congested link loses heartbeats.
func (n *nodeReconciler) unreachable(
	ctx context.Context, suspects []distribution.Node,
) (unreachable []distribution.Node) {
	answered := make([]bool, len(suspects))
	var probes sync.WaitGroup
	for i, node := range suspects {
		probes.Go(func() {
			probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
			defer cancel()
			answered[i] = n.prober.Probe(probeCtx, node) == nil
		})
	}
	probes.Wait()
	for i, node := range suspects {
		if answered[i] {
			n.reports.ClearSuspicion(node.Name)
		} else {
			unreachable = append(unreachable, node)
		}
	}
	return unreachable
}

// expire marks control nodes as down after replicahost.DownTimeout without contact, and
// removes nodes that have been down for longer than downNodeRetention.
func (n *nodeReconciler) expire(ctx context.Context) {
	now := time.Now()
	listed := n.lists.Nodes()
	unreachable := n.unreachableControlNodes(listed)
	var txn paxos.Txn
	for name, node := range listed {
		since, isTracked := n.downSince[name]
		switch {
		case !node.Down:
			delete(n.downSince, name)
			if unreachable[name] {
				replaceNode(&txn, node, downNode(node))
			}
		case !isTracked:
			n.downSince[name] = now
		case now.Sub(since) > downNodeRetention:
			delete(n.downSince, name)
			removeNode(&txn, node)
		}
	}
	n.commit(ctx, txn)
}

// unreachableControlNodes reports by name which of the listed control nodes that are not marked
// as down have been out of contact for longer than replicahost.DownTimeout.
func (n *nodeReconciler) unreachableControlNodes(listed map[string]distribution.Node) map[string]bool {
	unreachable := map[string]bool{}
	n.peers.Do(func() {
		for name, node := range listed {
			if node.ControlPlane && !node.Down {
				unreachable[name] = n.peers.ContactAge(node.Addr) > replicahost.DownTimeout
			}
		}
	})
	return unreachable
}

func (n *nodeReconciler) commit(ctx context.Context, txn paxos.Txn) {
	if len(txn.Ops) > 0 {
		n.cells.commit(ctx, schema.MetaCell, txn) // if it fails, the next round retries
	}
}

func downNode(node distribution.Node) distribution.Node {
	node.Down = true
	return node
}

func nodeKey(node distribution.Node) string { return schema.NodeKeyPrefix + node.Name }

func addNode(txn *paxos.Txn, node distribution.Node) {
	txn.Conditions = append(txn.Conditions, paxos.Condition{Key: nodeKey(node), Absent: true})
	txn.Ops = append(txn.Ops, schema.PutOp(nodeKey(node), node))
}

func replaceNode(txn *paxos.Txn, old, next distribution.Node) {
	txn.Conditions = append(txn.Conditions, paxos.Condition{Key: nodeKey(old), Equals: schema.MustEncode(old)})
	txn.Ops = append(txn.Ops, schema.PutOp(nodeKey(next), next))
}

func removeNode(txn *paxos.Txn, node distribution.Node) {
	txn.Conditions = append(txn.Conditions, paxos.Condition{Key: nodeKey(node), Equals: schema.MustEncode(node)})
	txn.Ops = append(txn.Ops, schema.DeleteOp(nodeKey(node)))
}

package reconcile

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/controlplane/nodereports"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// TestSuspectThatAnswersProbeIsReachable: a suspected node that requests its updates from another
// control node, but answers the probe, must not be marked as down.
func TestSuspectThatAnswersProbeIsReachable(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	_, port, err := net.SplitHostPort(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	dataPlanePort, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	reconciler := newNodeReconciler(Options{
		Reports: nodereports.NewTracker(),
		Prober:  RPCProber{Client: rpc.NewClient(rpc.TCPNetwork), DataPlanePort: dataPlanePort},
	}, committer{})
	reconciler.reports.Record(&distribution.UpdateRequest{
		Node:     distribution.Node{Name: "w"},
		Suspects: []string{"a", "b"},
	}, time.Now())
	unreachable := reconciler.unreachable(t.Context(), []distribution.Node{
		{Name: "a", Addr: "127.0.0.1"},
		{Name: "b", Addr: "127.0.0.2"},
	})
	if len(unreachable) != 1 || unreachable[0].Name != "b" {
		t.Errorf("unreachable returned %v, want only b, which does not answer", unreachable)
	}
	counts := reconciler.reports.SuspicionCounts(time.Now())
	if counts["a"] != 0 || counts["b"] != 1 || len(counts) != 1 {
		t.Errorf("SuspicionCounts after the probes returned %v, want a count of 1 for b and no others", counts)
	}
}

// TestNodeListFollowsRequestsAndSuspicions: nodes that send requests are listed. A node whose
// heartbeats two neighbours miss, and that does not answer the probe, is marked as down until it
// sends a request again.
func TestNodeListFollowsRequestsAndSuspicions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestState(t)
		nodes := newNodeReconciler(s.options(), s.committer())
		request := func(name string, suspects ...string) {
			node := distribution.Node{Name: name, Addr: name, Zone: "z"}
			s.reports.Record(&distribution.UpdateRequest{Node: node, Suspects: suspects}, time.Now())
		}
		check := func(when string, wantDown map[string]bool) {
			t.Helper()
			nodes.reconcile(t.Context())
			s.readNodes()
			if len(s.nodes) != len(wantDown) {
				t.Errorf("%s: node list is %v, want %d nodes", when, s.nodes, len(wantDown))
			}
			for name, isDown := range wantDown {
				if s.nodes[name].Down != isDown {
					t.Errorf("%s: %s has Down = %v, want %v", when, name, !isDown, isDown)
				}
			}
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			request(name)
		}
		check("all nodes live", map[string]bool{"a": false, "b": false, "c": false, "d": false})
		time.Sleep(nodereports.ContactLifetime + time.Second)
		s.answersProbe["d"] = true
		request("a", "c", "d")
		check("c and d missed by one neighbour", map[string]bool{"a": false, "b": false, "c": false, "d": false})
		request("b", "c", "d")
		check("c and d missed by two, d answers probes", map[string]bool{"a": false, "b": false, "c": true, "d": false})
		request("c")
		check("c live again", map[string]bool{"a": false, "b": false, "c": false, "d": false})
	})
}

// TestNodesExpire: control nodes that are out of contact are marked as down, and nodes that have
// been down for longer than downNodeRetention are removed. Other nodes are not changed.
func TestNodesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestState(t)
		nodes := newNodeReconciler(s.options(), s.committer())
		for _, node := range []distribution.Node{
			controlNode(replicahost.PeerInfo{Name: "out-of-contact", Addr: "1"}),
			controlNode(replicahost.PeerInfo{Name: "in-contact", Addr: "2"}),
			{Name: "data-plane", Addr: "1"},
		} {
			var txn paxos.Txn
			addNode(&txn, node)
			s.cell(schema.MetaCell).Commit(txn)
		}
		s.contactAges["1"] = replicahost.DownTimeout + time.Second
		check := func(when string, listed int, isDown bool) {
			t.Helper()
			s.readNodes()
			nodes.expire(t.Context())
			s.readNodes()
			if len(s.nodes) != listed || s.nodes["out-of-contact"+controlNodeSuffix].Down != isDown {
				t.Errorf("%s: node list is %v, want %d nodes, out-of-contact with Down = %v", when, s.nodes, listed, isDown)
			}
			if s.nodes["in-contact"+controlNodeSuffix].Down || s.nodes["data-plane"].Down {
				t.Errorf("%s: node list is %v, want no other node down", when, s.nodes)
			}
		}
		check("after the first round", 3, true)
		check("after the second round, which sees the node as down", 3, true)
		time.Sleep(downNodeRetention)
		check("at downNodeRetention", 3, true)
		time.Sleep(time.Second)
		check("after downNodeRetention", 2, false)
	})
}

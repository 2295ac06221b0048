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

// TestProbeUnreachable: a node that its neighbours miss and that gets no updates from this
// control node, but that answers, is not taken for down.
func TestProbeUnreachable(t *testing.T) {
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
		t.Errorf("unreachable: %v", unreachable)
	}
	suspects := reconciler.reports.SuspicionCounts(time.Now())
	if suspects["a"] != 0 || suspects["b"] != 1 || len(suspects) != 1 {
		t.Errorf("suspected: %v", suspects)
	}
}

// TestNodesAreListed: nodes that call are listed, those that their neighbours miss and that
// don't answer are marked as down, and they are listed as up once they call again.
func TestNodesAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestState(t)
		nodes := newNodeReconciler(s.options(), s.committer())
		call := func(name string, suspects ...string) {
			node := distribution.Node{Name: name, Addr: name, Zone: "z"}
			s.reports.Record(&distribution.UpdateRequest{Node: node, Suspects: suspects}, time.Now())
		}
		check := func(when string, wantDown map[string]bool) {
			t.Helper()
			nodes.reconcile(t.Context())
			s.readNodes()
			if len(s.nodes) != len(wantDown) {
				t.Errorf("%s: %v", when, s.nodes)
			}
			for name, isDown := range wantDown {
				if s.nodes[name].Down != isDown {
					t.Errorf("%s: %s is down: %v", when, name, !isDown)
				}
			}
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			call(name)
		}
		check("all call", map[string]bool{"a": false, "b": false, "c": false, "d": false})
		time.Sleep(nodereports.ContactLifetime + time.Second)
		s.answers["d"] = true
		call("a", "c", "d")
		check("one neighbour misses them", map[string]bool{"a": false, "b": false, "c": false, "d": false})
		call("b", "c", "d")
		check("two do", map[string]bool{"a": false, "b": false, "c": true, "d": false})
		call("c")
		check("one calls again", map[string]bool{"a": false, "b": false, "c": false, "d": false})
	})
}

// TestNodesExpire: control nodes that are silent are marked as down, and nodes that have been
// down for downNodeRetention are removed.
func TestNodesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestState(t)
		nodes := newNodeReconciler(s.options(), s.committer())
		for _, node := range []distribution.Node{
			controlNode(replicahost.PeerInfo{Name: "silent", Addr: "1"}),
			controlNode(replicahost.PeerInfo{Name: "heard", Addr: "2"}),
			{Name: "data-plane", Addr: "1"},
		} {
			var txn paxos.Txn
			addNode(&txn, node)
			s.cell(schema.MetaCell).Commit(txn)
		}
		s.silence["1"] = replicahost.DownTimeout + time.Second
		check := func(when string, listed int, isDown bool) {
			t.Helper()
			s.readNodes()
			nodes.expire(t.Context())
			s.readNodes()
			if len(s.nodes) != listed || s.nodes["silent"+controlNodeSuffix].Down != isDown {
				t.Errorf("%s: %v", when, s.nodes)
			}
			if s.nodes["heard"+controlNodeSuffix].Down || s.nodes["data-plane"].Down {
				t.Errorf("%s: others are down: %v", when, s.nodes)
			}
		}
		check("at first", 3, true)
		check("seen as down", 3, true)
		time.Sleep(downNodeRetention)
		check("at the end of the retention", 3, true)
		time.Sleep(time.Second)
		check("after it", 2, false)
	})
}

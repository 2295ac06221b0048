package reconcile

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"comethold/internal/controlplane/nodereports"
	"comethold/internal/distribution"
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
	suspects := reconciler.reports.Suspects(time.Now())
	if suspects["a"] != 0 || suspects["b"] != 1 || len(suspects) != 1 {
		t.Errorf("suspected: %v", suspects)
	}
}

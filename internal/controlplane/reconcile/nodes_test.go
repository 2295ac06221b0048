package reconcile

import (
	"net"
	"net/http"
	"testing"
	"time"

	"comethold/internal/controlplane/nodereports"
	"comethold/internal/distribution"
	"comethold/internal/rpc"
)

// TestProbeUnreachable: a node that its watchers miss and that this registrar does not
// feed, but that answers, is not taken for down.
func TestProbeUnreachable(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	}()
	port := l.Addr().(*net.TCPAddr).Port
	reconciler := newNodeReconciler(Options{
		Reports: nodereports.NewTracker(),
		Prober:  RPCProber{Client: rpc.NewClient(rpc.TCPNetwork), DataPlanePort: port},
	}, committer{})
	reconciler.reports.Record(&distribution.UpdateRequest{Node: distribution.Node{Name: "w"}, Suspects: []string{"a", "b"}}, time.Now())
	out := reconciler.unreachable(t.Context(), []distribution.Node{{Name: "a", Addr: "127.0.0.1"}, {Name: "b", Addr: "127.0.0.2"}})
	if len(out) != 1 || out[0].Name != "b" {
		t.Errorf("not reached: %v", out)
	}
	if suspects := reconciler.reports.Suspects(time.Now()); suspects["a"] != 0 || suspects["b"] != 1 || len(suspects) != 1 {
		t.Errorf("suspected: %v", suspects)
	}
}

package controlplane

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"comethold/internal/controlplane/nodereports"
	"comethold/internal/distribution"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/simulation"
	"comethold/internal/storage"

	"github.com/labstack/echo/v4"
)

// TestNodeDeltas: whatever a holder has, what the board tells brings it to the
// board's table.
func TestNodeDeltas(t *testing.T) {
	b := NewDistributor()
	holders := []map[string]distribution.Node{{}, {}, {}}
	have := []uint64{0, 0, 0}
	for slot := uint64(1); slot < 60; slot++ {
		var all []distribution.Node
		for n := range uint64(8) {
			if (slot*7+n*n)%5 != 0 {
				all = append(all, distribution.Node{Name: fmt.Sprint("n", n), Zone: "z", Down: (slot+n)%4 == 0})
			}
		}
		b.nodesPublishedAt = time.Time{}
		b.SetNodes(slot, all)
		for i := range holders {
			if slot%uint64(i+1) != 0 {
				continue
			}
			news := b.updateLocked(&distribution.UpdateRequest{Node: distribution.Node{Zone: "z"}, Held: distribution.HeldVersions{NodesIndex: have[i]}})
			if n := news.Nodes; n != nil {
				holders[i] = distribution.ApplyChanges(holders[i], n.Nodes, n.Removed, n.Delta, func(n distribution.Node) string { return n.Name })
				have[i] = n.LogIndex
			}
			var want, got []string
			for _, n := range all {
				want = append(want, fmt.Sprint(n))
			}
			for _, n := range holders[i] {
				got = append(got, fmt.Sprint(n))
			}
			sort.Strings(want)
			sort.Strings(got)
			if fmt.Sprint(want) != fmt.Sprint(got) {
				t.Fatalf("holder %d at %d: %v, not %v", i, slot, got, want)
			}
		}
	}
}

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
	r := &Server{settings: &settings.Settings{InternalPortRange: []int{port - int(settings.DataPlane), port + 9}}, client: rpc.NewClient(rpc.TCPNetwork),
		reports: nodereports.NewTracker()}
	r.reports.Record(&distribution.UpdateRequest{Node: distribution.Node{Name: "w"}, Suspects: []string{"a", "b"}}, time.Now())
	out := r.probeUnreachable([]distribution.Node{{Name: "a", Addr: "127.0.0.1"}, {Name: "b", Addr: "127.0.0.2"}})
	if len(out) != 1 || out[0].Name != "b" {
		t.Errorf("not reached: %v", out)
	}
	if suspects := r.reports.Suspects(time.Now()); suspects["a"] != 0 || suspects["b"] != 1 || len(suspects) != 1 {
		t.Errorf("suspected: %v", suspects)
	}
}

// TestMarkDigests: whatever a holder's sum stands for, be it known here or not, it gets what
// it lacks and no more, and nobody who lacks nothing is answered at once again and again.
func TestMarkDigests(t *testing.T) {
	b := NewDistributor()
	set := func(ix string, slot uint64, leafs ...string) {
		m := distribution.EjectionMarks{IndexName: ix, LogIndex: slot, Ejected: map[string]distribution.EjectionMark{}}
		for _, l := range leafs {
			m.Ejected[l] = distribution.EjectionMark{Reason: distribution.ReasonUnresponsive}
		}
		b.SetMarks(m)
	}
	set("a", 1)
	set("b", 1, "x")
	ask := func(h distribution.HeldVersions) distribution.Update {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.updateLocked(&distribution.UpdateRequest{Held: h})
	}
	have := func(slots map[string]uint64) distribution.HeldVersions {
		return distribution.HeldVersions{MarksDigest: distribution.MarksDigest(slots)}
	}
	if n := ask(distribution.HeldVersions{}); len(n.EjectionMarks) != 2 {
		t.Errorf("a newcomer gets %v", n)
	}
	both := map[string]uint64{"a": 1, "b": 1}
	if n := ask(have(both)); !n.Empty() {
		t.Errorf("who has all gets %v", n)
	}
	set("b", 5, "x", "y")
	if n := ask(have(both)); len(n.EjectionMarks) != 1 || n.EjectionMarks[0].LogIndex != 5 || n.NeedMarkIndexes {
		t.Errorf("who has what was here before gets %v", n)
	}
	// From another registrar, newer in one index and older in the other.
	strange := map[string]uint64{"a": 9, "b": 2}
	if n := ask(have(strange)); !n.NeedMarkIndexes || n.Empty() || len(n.EjectionMarks) > 0 {
		t.Errorf("an unknown sum gets %v", n)
	}
	told := have(strange)
	told.MarkIndexes = strange
	if n := ask(told); len(n.EjectionMarks) != 1 || n.EjectionMarks[0].IndexName != "b" {
		t.Errorf("who tells its positions gets %v", n)
	}
	ahead := map[string]uint64{"a": 9, "b": 9}
	told = have(ahead)
	told.MarkIndexes = ahead
	if n := ask(told); !n.Empty() {
		t.Errorf("who is ahead gets %v", n)
	}
	if n := ask(have(ahead)); !n.Empty() {
		t.Errorf("who is ahead, by its sum, gets %v", n)
	}
	b.DropMarks("b")
	if n := ask(have(ahead)); len(n.RemovedIndexes) != 1 || len(n.EjectionMarks) != 0 {
		t.Errorf("an index is gone: %v", n)
	}
	for slot := range uint64(3 * maxMarkDigests) {
		set("a", 10+slot, "z", strconv.FormatUint(slot, 10))
	}
	if len(b.markDigests.versions) > maxMarkDigests || len(b.markDigests.order) > maxMarkDigests {
		t.Errorf("%d sums are known", len(b.markDigests.versions))
	}
}

// TestSavedEstimates: a line that was torn costs no other line, and what was saved before
// a loss of power is there after it, also right after the file was put aside.
func TestSavedEstimates(t *testing.T) {
	dir := t.TempDir()
	d := &simulation.FaultyDisk{Base: storage.LocalDisk{}, Random: func() float64 { return 0 }}
	r := &Server{settings: &settings.Settings{DataDirectory: dir}, disk: d}
	saved := func() (nodes []int) {
		w := httptest.NewRecorder()
		if err := r.readSavedEstimates(echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/", nil), w)); err != nil {
			t.Fatal(err)
		}
		var all []EstimatesView
		if err := json.Unmarshal(w.Body.Bytes(), &all); err != nil {
			t.Fatal(err)
		}
		for _, v := range all {
			nodes = append(nodes, v.Nodes)
		}
		return nodes
	}
	path := filepath.Join(dir, exportFileName)
	torn := `{"nodes":7,"una`
	for i, before := range []string{"", torn, strings.Repeat(" ", maxExportFileSize) + "\n", ""} {
		if f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
			t.Fatal(err)
		} else if _, err = f.WriteString(before); err != nil || f.Close() != nil {
			t.Fatal(err)
		}
		if err := r.appendEstimates(EstimatesView{Nodes: i + 1}); err != nil {
			t.Fatal(err)
		}
		d.LosePower()
	}
	if got := saved(); fmt.Sprint(got) != "[1 2 3 4]" {
		t.Errorf("saved are %v", got)
	}
}

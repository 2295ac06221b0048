package controlplane

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
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

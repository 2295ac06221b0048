package latency

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"comethold/internal/simulation"
	"comethold/internal/storage"
)

// TestAppendedViewsSurvivePowerLoss: views are durable once Append returns. After a rotation this requires
// that the directory entry of the new file is durable too. A torn line makes no other view unreadable.
func TestAppendedViewsSurvivePowerLoss(t *testing.T) {
	dir := t.TempDir()
	disk := &simulation.FaultyDisk{Base: storage.LocalDisk{}, Random: func() float64 { return 0 }}
	file := NewExportFile(dir, disk)
	path := filepath.Join(dir, ExportFileName)
	torn := `{"nodes":7,"una`
	for i, before := range []string{"", torn, strings.Repeat(" ", maxFileSize) + "\n", ""} {
		appendRaw(t, path, before)
		if err := file.Append(View{Nodes: i + 1}); err != nil {
			t.Fatalf("Append of view %d returned %v, want nil", i+1, err)
		}
		disk.LosePower()
	}
	if got := savedNodes(t, file); fmt.Sprint(got) != "[1 2 3 4]" {
		t.Errorf("after power losses the file holds views %v, want [1 2 3 4]", got)
	}
}

func appendRaw(t *testing.T, path, text string) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = file.WriteString(text); err != nil || file.Close() != nil {
		t.Fatal(err)
	}
}

// savedNodes returns the Nodes field of each stored view, decoded from the JSON that operators get.
func savedNodes(t *testing.T, file *ExportFile) (nodes []int) {
	t.Helper()
	raw, err := json.Marshal(file.Lines())
	if err != nil {
		t.Fatal(err)
	}
	var views []View
	if err := json.Unmarshal(raw, &views); err != nil {
		t.Fatal(err)
	}
	for _, view := range views {
		nodes = append(nodes, view.Nodes)
	}
	return nodes
}

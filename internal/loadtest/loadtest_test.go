package loadtest

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestSmallCluster runs the load test at a small size. It guards against measurements that are missing, and against
// figures outside of bounds that a system of this size meets by a wide margin.
func TestSmallCluster(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	dir := t.TempDir()
	binary := filepath.Join(dir, "comethold")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, "comethold/cmd/comethold")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build failed: %v: %s", err, out)
	}
	if err := os.Mkdir(filepath.Join(dir, "data"), 0o755); err != nil {
		t.Fatal(err)
	}
	size := Size{
		Hollow: 12, Real: 1, ControlNodes: 3, Zones: 3, Leafs: 60, Routes: 20, Tenants: 10,
		PerNode: 20, Changes: 2, Rest: 2 * time.Second,
	}
	cluster := New(size, binary, filepath.Join(dir, "data"))
	defer cluster.Close()
	report, err := cluster.Measure(ctx)
	if err != nil {
		t.Fatal("Measure returned an error, want none:", err)
	}
	measured := len(report.ControlNodes) == 3 && len(report.Loaded) == 3 && report.Proxy.RSSMb > 0 &&
		len(report.InForce) == 2
	if !measured {
		t.Fatalf("report %+v lacks measurements, want 3 idle and 3 loaded control nodes, 1 proxy and 2 changes", report)
	}
	for _, d := range report.InForce {
		if d > 3*time.Second {
			t.Errorf("configuration change reached all nodes after %v, want at most 3 s", d)
		}
	}
	inBounds := report.Drained <= 4*time.Second && report.IdleBytes > 0 && report.IdleBytes <= 5000 &&
		report.ChangeBytes > 0 && report.Refused <= 0.2
	if !inBounds {
		t.Errorf("report %+v is out of bounds, want Drained <= 4 s, 0 < IdleBytes <= 5000, ChangeBytes > 0, Refused <= 0.2",
			report)
	}
}

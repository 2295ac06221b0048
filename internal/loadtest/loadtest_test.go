package loadtest

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestSmallCluster plays the load test at a small size: everything that it measures is
// measured, and within bounds that a system of this size keeps by far.
func TestSmallCluster(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	dir := t.TempDir()
	binary := filepath.Join(dir, "comethold")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, "comethold/cmd/comethold")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
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
		t.Fatal(err)
	}
	measured := len(report.ControlNodes) == 3 && len(report.Loaded) == 3 && report.Proxy.RSSMb > 0 &&
		len(report.InForce) == 2
	if !measured {
		t.Fatalf("not all was measured: %+v", report)
	}
	for _, d := range report.InForce {
		if d > 3*time.Second {
			t.Errorf("a change took %v", d)
		}
	}
	inBounds := report.Drained <= 4*time.Second && report.IdleBytes > 0 && report.IdleBytes <= 5000 &&
		report.ChangeBytes > 0 && report.Refused <= 0.2
	if !inBounds {
		t.Errorf("out of bounds: %+v", report)
	}
}

package loadtest

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestSmallCluster plays the scale run at a small size: everything that it measures is
// measured, and within bounds that a system of this size keeps by far.
func TestSmallCluster(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "comethold")
	if out, err := exec.Command("go", "build", "-o", binary, "comethold/cmd/comethold").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if err := os.Mkdir(filepath.Join(dir, "data"), 0o755); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	s := Size{Hollow: 12, Real: 1, Registrars: 3, Zones: 3, Leafs: 60, Routes: 20, Tenants: 10, PerNode: 20, Changes: 2, Rest: 2 * time.Second}
	r := New(s, binary, filepath.Join(dir, "data"))
	defer r.Close()
	rep, err := r.Measure(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if len(rep.Registrars) != 3 || len(rep.Loaded) != 3 || rep.Switch.RSSMb <= 0 || len(rep.InForce) != 2 {
		t.Fatalf("not all was measured: %+v", rep)
	}
	for _, d := range rep.InForce {
		if d > 3*time.Second {
			t.Errorf("a change took %v", d)
		}
	}
	if rep.Drained > 4*time.Second || rep.IdleBytes <= 0 || rep.IdleBytes > 5000 || rep.ChangeBytes <= 0 || rep.Refused > 0.2 {
		t.Errorf("out of bounds: %+v", rep)
	}
}

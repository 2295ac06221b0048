package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// minimal is a settings file with all required fields and an unknown one.
const minimal = `
nodeName = "n1"
ipAddress = "10.0.0.1"
availabilityZone = "z1"
internalPortRange = [7120, 7135]
seedNodes = ["10.0.0.1:7120", "10.0.0.2:7120"]
unknown = "is ignored"
`

// TestParseMinimalFile guards against an error for a file that has only the required fields and an unknown field, and
// against wrong defaults.
func TestParseMinimalFile(t *testing.T) {
	s, err := Parse([]byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(s.SeedHosts()); got != "[10.0.0.1 10.0.0.2]" {
		t.Errorf("SeedHosts returned %s, want [10.0.0.1 10.0.0.2]", got)
	}
	if s.HeartbeatInterval() != time.Second || s.RegionOf("z1") != "z1" || s.Bounds.RevocationTimeout() != 0 {
		t.Errorf("defaults: HeartbeatInterval %v, RegionOf(z1) %s, RevocationTimeout %v, want 1s, z1, 0s",
			s.HeartbeatInterval(), s.RegionOf("z1"), s.Bounds.RevocationTimeout())
	}
	if control, data, cache := s.PortOf(ControlPlane), s.PortOf(DataPlane), s.PortOf(ObjectCache); control != 7120 ||
		data != 7121 || cache != 7122 {
		t.Errorf("PortOf returned %d, %d and %d, want 7120, 7121 and 7122", control, data, cache)
	}
}

// TestParseListsViolations guards against an error that omits an invalid field or does not use its name in the file.
func TestParseListsViolations(t *testing.T) {
	_, err := Parse([]byte(`
ipAddress = "here"
internalPortRange = [7120, 7121]
seedNodes = []
heartbeatIntervalMs = -1
[log]
level = "loud"
`))
	if !errors.Is(err, ErrSettings) {
		t.Fatalf("Parse returned %v, want ErrSettings", err)
	}
	for _, name := range []string{
		"nodeName", "ipAddress", "availabilityZone", "internalPortRange", "seedNodes",
		"heartbeatIntervalMs", "log.level",
	} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("the error of Parse does not contain %s: %v", name, err)
		}
	}
}

// TestDurationsAndSingletonRoles guards against methods that confuse the units of the file, against usage reports
// without a window, and against an unknown singleton role that is not listed as such.
func TestDurationsAndSingletonRoles(t *testing.T) {
	s, err := Parse([]byte(minimal + `
[timingBounds]
drainMs = 1500
gracePeriodS = 2.5
quotaWindowS = 5
revocationGlobal = true
revocationMs = 700
[platformApi]
address = "10.0.0.9:80"
duties = ["usage_reporting", "dance"]
`))
	if err != nil {
		t.Fatal(err)
	}
	b := s.Bounds
	got := fmt.Sprint(b.DrainTimeout(), b.GracePeriod(), b.AdmissionBounds().Window, b.RevocationTimeout())
	if got != "1.5s 2.5s 5s 700ms" {
		t.Errorf("drain, grace, quota and revocation times are %s, want 1.5s 2.5s 5s 700ms", got)
	}
	if s.ReportsUsage() {
		t.Error("ReportsUsage returned true without a usage window, want false")
	}
	if got := fmt.Sprint(s.UnknownSingletonRoles()); got != "[dance]" {
		t.Errorf("UnknownSingletonRoles returned %s, want [dance]", got)
	}
}

package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

const minimal = `
nodeName = "n1"
ipAddress = "10.0.0.1"
availabilityZone = "z1"
internalPortRange = [7120, 7135]
seedNodes = ["10.0.0.1:7120", "10.0.0.2:7120"]
unknown = "is ignored"
`

// TestParse: the smallest file is accepted, with its defaults.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(s.SeedHosts()); got != "[10.0.0.1 10.0.0.2]" {
		t.Errorf("the seeds are %s", got)
	}
	if s.HeartbeatInterval() != time.Second || s.RegionOf("z1") != "z1" || s.Bounds.RevocationTimeout() != 0 {
		t.Errorf("defaults: %v, %s, %v", s.HeartbeatInterval(), s.RegionOf("z1"), s.Bounds.RevocationTimeout())
	}
	if control, data, cache := s.PortOf(ControlPlane), s.PortOf(DataPlane), s.PortOf(ObjectCache); control != 7120 ||
		data != 7121 || cache != 7122 {
		t.Errorf("the ports are %d, %d and %d", control, data, cache)
	}
}

// TestViolations: the error names every field at fault, as the file does.
func TestViolations(t *testing.T) {
	_, err := Parse([]byte(`
ipAddress = "here"
internalPortRange = [7120, 7121]
seedNodes = []
heartbeatIntervalMs = -1
[log]
level = "loud"
`))
	if !errors.Is(err, ErrSettings) {
		t.Fatalf("the error is %v", err)
	}
	for _, name := range []string{
		"nodeName", "ipAddress", "availabilityZone", "internalPortRange", "seedNodes",
		"heartbeatIntervalMs", "log.level",
	} {
		if !strings.Contains(err.Error(), name) {
			t.Errorf("%s is not named: %v", name, err)
		}
	}
}

// TestUnits: methods convert from the units of the file.
func TestUnits(t *testing.T) {
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
	got := fmt.Sprint(b.DrainTimeout(), b.GracePeriod(), b.QuotaRules().Window, b.RevocationTimeout())
	if got != "1.5s 2.5s 5s 700ms" {
		t.Errorf("the durations are %s", got)
	}
	if s.ReportsUsage() {
		t.Error("usage is reported without a window")
	}
	if got := fmt.Sprint(s.UnknownDuties()); got != "[dance]" {
		t.Errorf("unknown duties are %s", got)
	}
}

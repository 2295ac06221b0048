package loadtest

import (
	"fmt"
	"path/filepath"

	"comethold/internal/settings"
)

// Ports, as offsets from Cluster.basePort. The internal range is 0 to lastInternalPort.
const (
	lastInternalPort = 15
	controlPort      = 20
	frontendPort     = 21
	readinessPort    = 22
	platformPort     = 23
	leafPort         = 24
)

const regions = 2

// machine is one simulated machine, which runs one node.
type machine struct {
	name             string
	ip               string
	zone             string
	hasDataDirectory bool
}

func zoneName(i, zones int) string { return fmt.Sprintf("zone-%d", i%zones) }

// address joins an address and a port of the cluster.
func (c *Cluster) address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, c.basePort+port)
}

// settingsOf returns the settings of a machine.
func (c *Cluster) settingsOf(m machine) *settings.Settings {
	set := &settings.Settings{
		NodeName:          m.name,
		IPAddress:         m.ip,
		AvailabilityZone:  m.zone,
		RegionName:        "region-" + m.zone[len(m.zone)-1:],
		InternalPortRange: []int{c.basePort, c.basePort + lastInternalPort},
		SeedNodes:         c.seedNodes,
		FirstStart:        true,
		HeartbeatMs:       1200,
		Zones:             map[string]string{},
		Listen: settings.Listen{
			Frontend:  c.address(m.ip, frontendPort),
			Readiness: c.address(m.ip, readinessPort),
		},
		Tolerance: settings.Tolerance{MachineLosses: 2},
		Bounds: settings.Bounds{
			DrainMs: 4000, GracePeriodS: 6, ConfigApplyMs: 3000,
			RetryBudgetRatio: 0.2, RetryWindowS: 10, RetryBudgetSlack: 200,
			QuotaWindowS: 5, QuotaOvershoot: 0.1, QuotaSlack: 20,
		},
		Platform:  settings.Platform{Address: c.address(platformIP, platformPort), RatePerS: 1000},
		Log:       settings.Log{Level: "error"},
		Estimates: settings.Estimates{Enabled: c.size.Estimates},
	}
	for i := range c.size.Zones {
		set.Zones[zoneName(i, c.size.Zones)] = fmt.Sprintf("region-%d", i%regions)
	}
	if m.hasDataDirectory {
		set.DataDirectory = filepath.Join(c.dir, m.name)
		set.Listen.ControlPlane = c.address(m.ip, controlPort)
	}
	return set
}

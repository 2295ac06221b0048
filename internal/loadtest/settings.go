package loadtest

import (
	"fmt"
	"path/filepath"
	"strings"
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

// machine is a node's name and address, and whether it has a data directory.
type machine struct {
	name string
	ip   string
	zone string
	disk bool
}

func zoneName(i, zones int) string { return fmt.Sprintf("zone-%d", i%zones) }

// address joins an address and a port of the cluster.
func (c *Cluster) address(ip string, port int) string {
	return fmt.Sprintf("%s:%d", ip, c.basePort+port)
}

// settingsFile returns the content of a machine's settings file.
func (c *Cluster) settingsFile(m machine) string {
	var zones strings.Builder
	for i := range c.size.Zones {
		fmt.Fprintf(&zones, "%q = %q\n", zoneName(i, c.size.Zones), fmt.Sprintf("region-%d", i%regions))
	}
	dataDirectory, controlPlane := "", ""
	if m.disk {
		dataDirectory = fmt.Sprintf("dataDirectory = %q\n", filepath.Join(c.dir, m.name))
		controlPlane = fmt.Sprintf("controlPlane = %q\n", c.address(m.ip, controlPort))
	}
	return fmt.Sprintf(`nodeName = %q
ipAddress = %q
availabilityZone = %q
regionName = %q
internalPortRange = [%d,%d]
seedNodes = ["%s"]
firstStart = true
heartbeatIntervalMs = 1200
%s
[zones]
%s
[listenAddresses]
frontend = %q
readiness = %q
%s
[faultTolerance]
machineLosses = 2
[timingBounds]
drainMs = 4000
gracePeriodS = 6
configApplyMs = 3000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = 200
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
[platformApi]
address = %q
ratePerS = 1000
[log]
level = "error"
[estimates]
enabled = %t
`,
		m.name, m.ip, m.zone, "region-"+m.zone[len(m.zone)-1:],
		c.basePort, c.basePort+lastInternalPort,
		strings.Join(c.seedNodes, `","`), dataDirectory, zones.String(),
		c.address(m.ip, frontendPort), c.address(m.ip, readinessPort), controlPlane,
		c.address(platformIP, platformPort), c.size.Estimates)
}

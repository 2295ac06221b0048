package soak

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"

	"comethold/internal/settings"
)

// Ports; the same on every simulated machine.
const (
	frontendPort  = 8726
	readinessPort = 8723
	controlPort   = 8729
	platformPort  = 8727
	leafPort      = 8080
	internalPort  = 7120
	internalPorts = 16
)

// Last octets of the IP addresses of the simulated platform and leafs. Those of the units start at 1.
const (
	platformHost  = 200
	firstLeafHost = 210
)

const (
	zones        = 3
	memoryMb     = 284
	gracePeriodS = 4
	maxSeeds     = 3
)

// Program names, as passed on the command line.
const (
	controlPlane = "control-plane"
	dataPlane    = "data-plane"
	objectCache  = "object-cache"
)

func zoneName(i int) string { return fmt.Sprint("zone-", i%zones) }

// hostIP returns the IP address in the subnet of the run that ends in number.
func (f *Fleet) hostIP(number int) string { return f.subnet + strconv.Itoa(number) }

func hostPort(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// unitSettings returns the settings of the unit with the given index.
func (f *Fleet) unitSettings(number int, program string) *settings.Settings {
	host := f.hostIP(number + 1)
	set := &settings.Settings{
		NodeName:          fmt.Sprintf("%s-%d", program, number),
		IPAddress:         host,
		AvailabilityZone:  zoneName(number),
		RegionName:        "region-" + zoneName(number),
		InternalPortRange: []int{internalPort, internalPort + internalPorts - 1},
		FirstStart:        true,
		HeartbeatMs:       1200,
		Zones:             map[string]string{},
		Tolerance:         settings.Tolerance{MachineLosses: 1},
		Limits:            settings.ProcessLimits{MemoryMb: memoryMb, FileDescriptors: 4100, DiskMb: 64},
		Bounds: settings.Bounds{
			DrainMs: 3000, GracePeriodS: gracePeriodS, ConfigApplyMs: 3000, CatchUpS: 4,
			RetryBudgetRatio: 0.2, RetryWindowS: 10, RetryBudgetSlack: 60,
		},
		Platform: settings.Platform{Address: hostPort(f.hostIP(platformHost), platformPort), RatePerS: 50, MaxLagMs: 800},
	}
	for i := range zones {
		set.Zones[zoneName(i)] = "region-" + zoneName(i)
	}
	for i := range min(maxSeeds, f.plan.Size.ControlNodes) {
		set.SeedNodes = append(set.SeedNodes, hostPort(f.hostIP(i+1), controlPort))
	}
	switch program {
	case controlPlane:
		set.Listen.ControlPlane = hostPort(host, controlPort)
		set.DataDirectory = filepath.Join(f.dir, "data", set.NodeName)
	case dataPlane:
		set.Listen.Frontend, set.Listen.Readiness = hostPort(host, frontendPort), hostPort(host, readinessPort)
	case objectCache:
		set.DataDirectory = filepath.Join(f.dir, "data", set.NodeName)
	}
	return set
}

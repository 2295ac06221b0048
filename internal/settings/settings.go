// Package settings reads and validates the settings file of a process.
//
// The names of fields in the file (the toml tags) are an interface to operators and never change. Errors use
// the same names. Methods return durations, converted from the units of the file.
package settings

import (
	"slices"
	"strings"
	"time"
)

// Settings are the settings of one process. Fields of the file that are not listed here are ignored.
type Settings struct {
	NodeName          string            `toml:"nodeName" validate:"required"`
	Role              string            `toml:"role"`
	DeploymentMode    string            `toml:"deploymentMode"`
	Serves            []string          `toml:"serves"`
	IPAddress         string            `toml:"ipAddress" validate:"required,ip4_addr"`
	AvailabilityZone  string            `toml:"availabilityZone" validate:"required"`
	RegionName        string            `toml:"regionName"`
	InternalPortRange []int             `toml:"internalPortRange" validate:"len=2,dive,min=1,max=65535"`
	SeedNodes         []string          `toml:"seedNodes" validate:"min=1,dive,hostname_port"`
	FirstStart        bool              `toml:"firstStart"`
	DataDirectory     string            `toml:"dataDirectory"`
	HeartbeatMs       int64             `toml:"heartbeatIntervalMs" validate:"min=0"`
	Zones             map[string]string `toml:"zones"`
	Listen            Listen            `toml:"listenAddresses"`
	Limits            ProcessLimits     `toml:"limits"`
	Bounds            Bounds            `toml:"timingBounds"`
	Tolerance         Tolerance         `toml:"faultTolerance"`
	Platform          Platform          `toml:"platformApi"`
	Log               Log               `toml:"log"`
	Estimates         Estimates         `toml:"estimates"`
}

const defaultHeartbeatInterval = time.Second

// UsageReportingRole is the singleton role of the node that reports the tenants' usage to the platform.
const UsageReportingRole = "usage_reporting"

// ContentMode is the DeploymentMode of a deployment that delivers cacheable objects.
const ContentMode = "content"

// Listen holds the addresses on which the process accepts connections from clients and operators.
type Listen struct {
	Frontend     string `toml:"frontend" validate:"omitempty,hostname_port"`
	Readiness    string `toml:"readiness" validate:"omitempty,hostname_port"`
	ControlPlane string `toml:"controlPlane" validate:"omitempty,hostname_port"`
}

// ProcessLimits are the resources that the process may use.
type ProcessLimits struct {
	MemoryMb        int64 `toml:"memoryMb" validate:"min=0"`
	FileDescriptors int64 `toml:"fileDescriptors" validate:"min=0"`
	DiskMb          int64 `toml:"diskMb" validate:"min=0"`
}

// Tolerance is the set of faults that the system must survive.
type Tolerance struct {
	// MachineLosses is the number of control machines that may be lost at the same time.
	MachineLosses int `toml:"machineLosses" validate:"min=0,max=16"`
}

// Platform configures calls to the platform's API, which lists the endpoints and receives reports.
type Platform struct {
	Address  string  `toml:"address" validate:"omitempty,hostname_port"`
	RatePerS float64 `toml:"ratePerS" validate:"min=0"` // list calls of all nodes together; 0 if not known
	// SingletonRoles are roles that only one node at a time holds: the owner of the role's lease. Only this node makes
	// the role's calls to the platform.
	SingletonRoles         []string `toml:"duties"`
	SingletonRoleCallsPerS float64  `toml:"dutiesPerS" validate:"min=0"`
	MaxLagMs               int64    `toml:"maxLagMs" validate:"min=0"`
}

// Estimates configures the latency estimates for lookups on routes with a lookup class.
type Estimates struct {
	Enabled bool `toml:"enabled"`
	// ShadowShare is the share of lookups that are also sent to a second replica to compare the answers. The additional
	// requests count against the retry budget.
	ShadowShare float64 `toml:"shadowShare" validate:"min=0,max=0.05"`
}

// Log configures logging.
type Log struct {
	// Level is the lowest level of log lines that are written; empty means info.
	Level string `toml:"level" validate:"omitempty,oneof=trace debug info warn error"`
}

// HeartbeatInterval returns the time between two heartbeats of a node.
func (s *Settings) HeartbeatInterval() time.Duration {
	if s.HeartbeatMs <= 0 {
		return defaultHeartbeatInterval
	}
	return milliseconds(s.HeartbeatMs)
}

// ReportsUsage reports whether usage is counted and reported to the platform.
func (s *Settings) ReportsUsage() bool {
	return slices.Contains(s.Platform.SingletonRoles, UsageReportingRole) &&
		s.Bounds.UsageWindowS > 0 &&
		s.Platform.Address != ""
}

// UnknownSingletonRoles returns the singleton roles in the file that this version does not support.
func (s *Settings) UnknownSingletonRoles() []string {
	return slices.DeleteFunc(slices.Clone(s.Platform.SingletonRoles), func(role string) bool {
		return role == UsageReportingRole
	})
}

// RegionOf returns the region of a zone, or the zone itself if the file names no region for it.
func (s *Settings) RegionOf(zone string) string {
	if region, ok := s.Zones[zone]; ok {
		return region
	}
	return zone
}

// SeedHosts returns the hosts of the seed nodes, without their ports.
func (s *Settings) SeedHosts() []string {
	hosts := make([]string, 0, len(s.SeedNodes))
	for _, address := range s.SeedNodes {
		if colon := strings.LastIndexByte(address, ':'); colon > 0 {
			hosts = append(hosts, address[:colon])
		}
	}
	return hosts
}

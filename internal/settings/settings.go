// Package settings reads and checks the settings file of a process.
package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"comethold/internal/quota"
	"comethold/internal/routing"

	"github.com/BurntSushi/toml"
	"github.com/go-playground/validator/v10"
)

// Env is the variable that names the settings file.
const Env = "COMETHOLD_SETTINGS"

// ErrSettings is the error of this layer.
var ErrSettings = errors.New("settings")

// Settings of one process. Fields that are not listed here are ignored.
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

// ContentMode is the mode of a deployment that delivers cacheable objects.
const ContentMode = "content"

// Listen holds the addresses of what the role serves.
type Listen struct {
	Frontend     string `toml:"frontend" validate:"omitempty,hostname_port"`
	Readiness    string `toml:"readiness" validate:"omitempty,hostname_port"`
	ControlPlane string `toml:"controlPlane" validate:"omitempty,hostname_port"`
}

// ProcessLimits of the process.
type ProcessLimits struct {
	MemoryMb        int64 `toml:"memoryMb" validate:"min=0"`
	FileDescriptors int64 `toml:"fileDescriptors" validate:"min=0"`
	DiskMb          int64 `toml:"diskMb" validate:"min=0"`
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	DrainMs          int64   `toml:"drainMs" validate:"min=0"`
	GracePeriodS     float64 `toml:"gracePeriodS" validate:"min=0"`
	ConfigApplyMs    int64   `toml:"configApplyMs" validate:"min=0"`
	RetryBudgetRatio float64 `toml:"retryBudgetRatio" validate:"min=0"`
	RetryWindowS     float64 `toml:"retryWindowS" validate:"min=0"`
	RetryBudgetSlack float64 `toml:"retryBudgetSlack" validate:"min=0"`
	StaleSlackS      float64 `toml:"staleSlackS" validate:"min=0"`
	QuotaWindowS     float64 `toml:"quotaWindowS" validate:"min=0"`
	QuotaOvershoot   float64 `toml:"quotaOvershoot" validate:"min=0"`
	QuotaSlack       float64 `toml:"quotaSlack" validate:"min=0"`
	RevocationGlobal bool    `toml:"revocationGlobal"`
	RevocationMs     int64   `toml:"revocationMs" validate:"min=0"`
	LeaseMs          int64   `toml:"leaseMs" validate:"min=0"`
	UsageWindowS     float64 `toml:"usageWindowS" validate:"min=0"`
	UsageDelayS      float64 `toml:"usageDelayS" validate:"min=0"`
}

// Tolerance says how much may be lost at one time.
type Tolerance struct {
	MachineLosses int `toml:"machineLosses" validate:"min=0,max=16"`
}

// Platform is where the list of leafs is kept.
type Platform struct {
	Address  string  `toml:"address" validate:"omitempty,hostname_port"`
	RatePerS float64 `toml:"ratePerS" validate:"min=0"`
	// Duties are calls that one node at a time makes.
	Duties     []string `toml:"duties"`
	DutiesPerS float64  `toml:"dutiesPerS" validate:"min=0"`
	MaxLagMs   int64    `toml:"maxLagMs" validate:"min=0"`
}

// Estimates says whether lookups of routes with a class are followed, and which share of
// them another copy is asked too, within the retry budget, to see what it answers.
type Estimates struct {
	Enabled     bool    `toml:"enabled"`
	ShadowShare float64 `toml:"shadowShare" validate:"min=0,max=0.05"`
}

// Log sets what is logged: trace, debug, info, warn or error.
type Log struct {
	Level string `toml:"level" validate:"omitempty,oneof=trace debug info warn error"`
}

var validate = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	return v
}()

// Path returns the path that the environment names.
func Path() (string, error) {
	p := os.Getenv(Env)
	if p == "" {
		return "", fmt.Errorf("%w: the variable %s names no file", ErrSettings, Env)
	}
	return p, nil
}

// Load reads and checks a settings file; the error names every fault.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSettings, err)
	}
	return Parse(raw)
}

// Parse reads and checks settings.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSettings, err)
	}
	var faults []string
	if err := validate.Struct(s); err != nil {
		faults = routing.Violations(err)
	}
	if len(s.InternalPortRange) == 2 && s.InternalPortRange[1] < s.InternalPortRange[0]+int(lastProgram) {
		faults = append(faults, "internalPortRange: needs three ports at least, the lower first")
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrSettings, strings.Join(faults, "; "))
	}
	return s, nil
}

// HeartbeatInterval is the pause between heartbeats.
func (s *Settings) HeartbeatInterval() time.Duration {
	if s.HeartbeatMs <= 0 {
		return time.Second
	}
	return time.Duration(s.HeartbeatMs) * time.Millisecond
}

// RetryWindow is the span over which the retry budget counts.
func (b Bounds) RetryWindow() time.Duration {
	return time.Duration(b.RetryWindowS * float64(time.Second))
}

// DrainTimeout is how soon a leaf that leaves must get no more requests.
func (b Bounds) DrainTimeout() time.Duration { return time.Duration(b.DrainMs) * time.Millisecond }

// GracePeriod is the time between SIGTERM and SIGKILL.
func (b Bounds) GracePeriod() time.Duration {
	return time.Duration(b.GracePeriodS * float64(time.Second))
}

// StaleSlack is how long past its time a copy may still be served.
func (b Bounds) StaleSlack() time.Duration {
	return time.Duration(b.StaleSlackS * float64(time.Second))
}

// QuotaRules holds the bounds of the tenants' quotas.
func (b Bounds) QuotaRules() quota.Rules {
	return quota.Rules{Window: time.Duration(b.QuotaWindowS * float64(time.Second)), Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}
}

// UsageReportingDuty is the duty of reporting what tenants use.
const UsageReportingDuty = "usage_reporting"

// ReportsUsage reports whether usage is to be counted and reported.
func (s *Settings) ReportsUsage() bool {
	return slices.Contains(s.Platform.Duties, UsageReportingDuty) && s.Bounds.UsageWindowS > 0 && s.Platform.Address != ""
}

// UnknownDuties lists duties that this version does not know.
func (s *Settings) UnknownDuties() []string {
	return slices.DeleteFunc(slices.Clone(s.Platform.Duties), func(d string) bool { return d == UsageReportingDuty })
}

// UsageWindow is the length of the windows by which usage is counted.
func (b Bounds) UsageWindow() time.Duration {
	return time.Duration(b.UsageWindowS * float64(time.Second))
}

// ConfigApplyTimeout is how long an acknowledged configuration may take to be in force everywhere.
func (b Bounds) ConfigApplyTimeout() time.Duration {
	return time.Duration(b.ConfigApplyMs) * time.Millisecond
}

// UsageReportDelay is how long after its window's end a report falls due.
func (b Bounds) UsageReportDelay() time.Duration {
	return time.Duration(b.UsageDelayS * float64(time.Second))
}

// Lease is the span within which two holders of a duty may not take turns.
func (b Bounds) Lease() time.Duration { return time.Duration(b.LeaseMs) * time.Millisecond }

// RevocationTimeout is within what time a key that is taken away must be refused by every
// node, in touch or not; 0 asks it of those in touch alone.
func (b Bounds) RevocationTimeout() time.Duration {
	if !b.RevocationGlobal {
		return 0
	}
	return time.Duration(b.RevocationMs) * time.Millisecond
}

// RegionOf returns the region of a zone.
func (s *Settings) RegionOf(zone string) string {
	if r, ok := s.Zones[zone]; ok {
		return r
	}
	return zone
}

// PortOf says which internal port a program listens on; the internal range is
// the same on every machine.
func (s *Settings) PortOf(p Program) int { return s.InternalPortRange[0] + int(p) }

// Program is one of the programs of a node.
type Program int

// The programs.
const (
	ControlPlane Program = iota
	DataPlane
	ObjectCache
	lastProgram = ObjectCache
)

// SeedHosts returns the hosts of the seeds.
func (s *Settings) SeedHosts() []string {
	out := make([]string, 0, len(s.SeedNodes))
	for _, a := range s.SeedNodes {
		if i := strings.LastIndexByte(a, ':'); i > 0 {
			out = append(out, a[:i])
		}
	}
	return out
}

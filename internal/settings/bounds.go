package settings

import (
	"time"

	"comethold/internal/quota"
)

// Bounds are the limits that the system must keep. The methods return the times as durations.
type Bounds struct {
	DrainMs          int64   `toml:"drainMs" validate:"min=0"`
	GracePeriodS     float64 `toml:"gracePeriodS" validate:"min=0"`
	ConfigApplyMs    int64   `toml:"configApplyMs" validate:"min=0"`
	CatchUpS         float64 `toml:"catchUpS" validate:"min=0"`
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

// DrainTimeout is the time after which an endpoint that the platform drains must get no more requests.
func (b Bounds) DrainTimeout() time.Duration { return milliseconds(b.DrainMs) }

// GracePeriod is the time between SIGTERM and SIGKILL.
func (b Bounds) GracePeriod() time.Duration { return seconds(b.GracePeriodS) }

// ConfigApplyTimeout is how long an acknowledged configuration may take to be in force everywhere.
func (b Bounds) ConfigApplyTimeout() time.Duration { return milliseconds(b.ConfigApplyMs) }

// CatchUp is how long a machine that was replaced, or that returned, still counts as lost; 0 if that is not given.
// After it the next machine may be lost.
func (b Bounds) CatchUp() time.Duration { return seconds(b.CatchUpS) }

// RetryWindow is the span over which the retry budget counts.
func (b Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// StaleSlack is how long after its time to live a cached object may still be served.
func (b Bounds) StaleSlack() time.Duration { return seconds(b.StaleSlackS) }

// QuotaRules are the bounds of the tenants' quotas.
func (b Bounds) QuotaRules() quota.AdmissionBounds {
	return quota.AdmissionBounds{Window: seconds(b.QuotaWindowS), Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}
}

// RevocationTimeout is the time within which every node must reject a revoked key, even without contact to the control
// plane; 0: only nodes in contact must.
func (b Bounds) RevocationTimeout() time.Duration {
	if !b.RevocationGlobal {
		return 0
	}
	return milliseconds(b.RevocationMs)
}

// Lease is the span within which a duty must not return to an earlier owner: its calls must not be made by nodes A, B
// and A again.
func (b Bounds) Lease() time.Duration { return milliseconds(b.LeaseMs) }

// UsageWindow is the length of the windows by which usage is counted.
func (b Bounds) UsageWindow() time.Duration { return seconds(b.UsageWindowS) }

// UsageReportDelay is how long after the end of its window a usage report is due.
func (b Bounds) UsageReportDelay() time.Duration { return seconds(b.UsageDelayS) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

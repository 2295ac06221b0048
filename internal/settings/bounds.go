package settings

import (
	"time"

	"comethold/internal/quota"
)

// Bounds are the limits on times, retries and quotas that the system must observe. The methods return the times as
// durations.
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

// DrainTimeout returns the time after which an endpoint that the platform drains must receive no more requests.
func (b Bounds) DrainTimeout() time.Duration { return milliseconds(b.DrainMs) }

// GracePeriod returns the time between SIGTERM and SIGKILL.
func (b Bounds) GracePeriod() time.Duration { return seconds(b.GracePeriodS) }

// ConfigApplyTimeout returns how long an acknowledged configuration may take to come into effect on all nodes.
func (b Bounds) ConfigApplyTimeout() time.Duration { return milliseconds(b.ConfigApplyMs) }

// CatchUpPeriod returns how long a machine still counts as lost after it was replaced or returned. Another machine may
// be lost after this period. 0 means that the file gives no period.
func (b Bounds) CatchUpPeriod() time.Duration { return seconds(b.CatchUpS) }

// RetryWindow returns the length of the time window over which the retry budget counts requests.
func (b Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// StaleSlack returns how long after its time to live a cached object may still be served.
func (b Bounds) StaleSlack() time.Duration { return seconds(b.StaleSlackS) }

// AdmissionBounds returns the bounds on the requests that tenants' quotas admit.
func (b Bounds) AdmissionBounds() quota.AdmissionBounds {
	return quota.AdmissionBounds{Window: seconds(b.QuotaWindowS), Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}
}

// RevocationTimeout returns the time within which every node must reject a revoked key, even without contact to the
// control plane. 0 means that only nodes in contact with the control plane must reject it.
func (b Bounds) RevocationTimeout() time.Duration {
	if !b.RevocationGlobal {
		return 0
	}
	return milliseconds(b.RevocationMs)
}

// LeaseDuration returns the time during which a singleton role must not return to an earlier owner. For example, calls
// of the role by node A, then by node B, then by A again must not occur within this time.
func (b Bounds) LeaseDuration() time.Duration { return milliseconds(b.LeaseMs) }

// UsageWindow returns the length of the time windows for which usage is counted.
func (b Bounds) UsageWindow() time.Duration { return seconds(b.UsageWindowS) }

// UsageReportDelay returns how long after the end of its window a usage report is due.
func (b Bounds) UsageReportDelay() time.Duration { return seconds(b.UsageDelayS) }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

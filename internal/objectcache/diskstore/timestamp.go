package diskstore

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// maxClockDisagreement is the maximum difference between the spans that the monotonic clock and the
// wall clock measure. If the difference is larger, the span is unknown.
const maxClockDisagreement = 1500 * time.Millisecond

// timestamp is a time that a later process on the same machine can compare with its own time,
// unless the machine was rebooted. The monotonic clock is checked against the wall clock. The zero
// value is an unknown time.
type timestamp struct {
	BootID      string `cbor:"1,keyasint,omitempty"`
	MonotonicNs int64  `cbor:"2,keyasint,omitempty"`
	WallNs      int64  `cbor:"3,keyasint,omitempty"` // since the Unix epoch
}

// readBootID returns the kernel's ID of the current boot, or "" if it can't be read.
func readBootID() string {
	content, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(content))
}

// currentTimestamp returns the current time, or the zero value if the monotonic clock can't be read.
func currentTimestamp(bootID string) timestamp {
	var monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return timestamp{}
	}
	return timestamp{BootID: bootID, MonotonicNs: monotonic.Nano(), WallNs: time.Now().UnixNano()}
}

// minus returns the time that is d before t.
func (t timestamp) minus(d time.Duration) timestamp {
	if t.BootID == "" {
		return timestamp{}
	}
	return timestamp{BootID: t.BootID, MonotonicNs: t.MonotonicNs - int64(d), WallNs: t.WallNs - int64(d)}
}

// elapsedSince returns the time from earlier to t, and whether it is known. It returns the larger of
// the spans of both clocks.
func (t timestamp) elapsedSince(earlier timestamp) (time.Duration, bool) {
	if t.BootID == "" || earlier.BootID != t.BootID || t.MonotonicNs < earlier.MonotonicNs {
		return 0, false
	}
	monotonic := time.Duration(t.MonotonicNs - earlier.MonotonicNs)
	wall := time.Duration(t.WallNs - earlier.WallNs)
	if (monotonic - wall).Abs() > maxClockDisagreement {
		return 0, false
	}
	return max(monotonic, wall), true
}

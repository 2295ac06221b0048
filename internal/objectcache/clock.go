package objectcache

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// timestamp is a point in time that a later process on the same machine may be
// able to place: by the machine's steady clock, in one boot of it, borne out by
// the time of day.
type timestamp struct {
	BootID      string `cbor:"1,keyasint,omitempty"`
	MonotonicNs int64  `cbor:"2,keyasint,omitempty"` // ns
	WallNs      int64  `cbor:"3,keyasint,omitempty"` // ns
}

// maxClockDisagreement is how far the two clocks may differ over the span before neither
// is believed.
const maxClockDisagreement = 1500 * time.Millisecond

func readBootID() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
}

func currentTimestamp(boot string) timestamp {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts) != nil {
		return timestamp{}
	}
	return timestamp{BootID: boot, MonotonicNs: ts.Nano(), WallNs: time.Now().UnixNano()}
}

// minus is the moment that lay so long before m.
func (m timestamp) minus(d time.Duration) timestamp {
	if m.BootID == "" {
		return timestamp{}
	}
	return timestamp{m.BootID, m.MonotonicNs - int64(d), m.WallNs - int64(d)}
}

// elapsedSince is the time from old to m, if it can be told.
func (m timestamp) elapsedSince(old timestamp) (time.Duration, bool) {
	if m.BootID == "" || old.BootID != m.BootID || m.MonotonicNs < old.MonotonicNs {
		return 0, false
	}
	a, b := time.Duration(m.MonotonicNs-old.MonotonicNs), time.Duration(m.WallNs-old.WallNs)
	if d := a - b; d > maxClockDisagreement || d < -maxClockDisagreement {
		return 0, false
	}
	return max(a, b), true
}

package process

import (
	"runtime/metrics"

	"comethold/internal/logging"
)

// memoryWarningFraction is the fraction of the memory limit above which a process logs a warning.
const memoryWarningFraction = 0.85

const bytesPerMb = 1 << 20

// Runtime metrics; the memory in use is metricMapped minus metricReleased.
const (
	metricMapped   = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
)

// memoryWatch logs a warning when the memory use of the process rises above memoryWarningFraction of its limit. It
// warns again only after the memory use has fallen below that level. A process that exceeds the limit is killed by the
// system and can't log the reason.
type memoryWatch struct {
	log         *logging.Logger
	limitMb     int64 // 0: no limit
	isNearLimit bool  // whether the last check found memory use above memoryWarningFraction
}

func (w *memoryWatch) check() {
	if w.limitMb <= 0 {
		return
	}
	used := runtimeMemory()
	wasNearLimit := w.isNearLimit
	w.isNearLimit = float64(used) > memoryWarningFraction*float64(w.limitMb*bytesPerMb)
	if w.isNearLimit && !wasNearLimit {
		w.log.Warn(logging.MemoryNearLimit).
			Uint64("memoryMb", used/bytesPerMb).
			Int64("limitMb", w.limitMb).
			Msg("the memory of the process is near its limit")
	}
}

// runtimeMemory returns the memory that the Go runtime has mapped and not returned to the system, in bytes.
func runtimeMemory() uint64 {
	samples := []metrics.Sample{{Name: metricMapped}, {Name: metricReleased}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

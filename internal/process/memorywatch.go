package process

import (
	"runtime/metrics"

	"comethold/internal/logging"
)

// memoryWarningFraction is the part of the memory limit from which a process logs a warning.
const memoryWarningFraction = 0.85

const bytesPerMb = 1 << 20

// Metrics of the runtime whose difference is the memory that it holds.
const (
	metricMapped   = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
)

// memoryWatch warns, once until it has fallen again, when the memory of the process comes near its limit. A process
// that goes over it is killed from outside and can't tell.
type memoryWatch struct {
	log     *logging.Logger
	limitMb int64 // 0: none
	isNear  bool
}

func (w *memoryWatch) check() {
	if w.limitMb <= 0 {
		return
	}
	used := heldMemory()
	wasNear := w.isNear
	w.isNear = float64(used) > memoryWarningFraction*float64(w.limitMb*bytesPerMb)
	if w.isNear && !wasNear {
		w.log.Warn(logging.MemoryNearLimit).
			Uint64("memoryMb", used/bytesPerMb).
			Int64("limitMb", w.limitMb).
			Msg("the memory of the process is near its limit")
	}
}

// heldMemory is the memory that the runtime has mapped and not returned to the system, in bytes.
func heldMemory() uint64 {
	samples := []metrics.Sample{{Name: metricMapped}, {Name: metricReleased}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

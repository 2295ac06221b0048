package soak

import (
	"context"
	"time"

	"comethold/internal/testbed"
)

const sampleInterval = 200 * time.Millisecond

// watchResources checks rule Fault: no process uses more memory than memoryMb, or more descriptors than
// fileDescriptors. The memory of a program built with the race detector is recorded but not checked, because it does
// not reflect the memory of a regular build.
func (f *Fleet) watchResources(ctx context.Context) {
	for ctx.Err() == nil {
		for _, u := range f.units {
			u.mu.Lock()
			process := u.process
			u.mu.Unlock()
			if process != nil {
				f.checkResources(u, process.PID())
			}
		}
		select {
		case <-time.After(sampleInterval):
		case <-ctx.Done():
		}
	}
}

func (f *Fleet) checkResources(u *unit, pid int) {
	used := resourceUsage{MemoryMb: testbed.MemoryOf(pid).Peak, Descriptors: testbed.DescriptorsOf(pid)}
	limits := u.settings.Limits
	if !f.plan.RaceBuilt && used.MemoryMb > float64(limits.MemoryMb) {
		f.recorder.addViolation(ruleFault, "%s uses %.0f MB of memory, limit %d MB",
			u.settings.NodeName, used.MemoryMb, limits.MemoryMb)
	}
	if int64(used.Descriptors) > limits.FileDescriptors {
		f.recorder.addViolation(ruleFault, "%s has %d open descriptors, above its limit",
			u.settings.NodeName, used.Descriptors)
	}
	f.recorder.recordResources(u.program, used)
}

func (r *recorder) recordResources(program string, used resourceUsage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peak := r.peakResources[program]
	peak.MemoryMb = max(peak.MemoryMb, used.MemoryMb)
	peak.Descriptors = max(peak.Descriptors, used.Descriptors)
	r.peakResources[program] = peak
}

package soak

import (
	"context"
	"time"

	"comethold/internal/testbed"
)

const sampleInterval = 200 * time.Millisecond

// watchResources judges rule Fault: a process takes more memory than memoryMb, or more descriptors than
// fileDescriptors. The memory of a race-built program says nothing of the real one's, so it is only noted.
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
	taken := resources{MemoryMb: testbed.MemoryOf(pid).Peak, Descriptors: testbed.DescriptorsOf(pid)}
	limits := u.settings.Limits
	if !f.plan.RaceBuilt && taken.MemoryMb > float64(limits.MemoryMb) {
		f.record.broken(ruleFault, "%s takes %.0f MB of %d", u.settings.NodeName, taken.MemoryMb, limits.MemoryMb)
	}
	if int64(taken.Descriptors) > limits.FileDescriptors {
		f.record.broken(ruleFault, "%s has %d descriptors open", u.settings.NodeName, taken.Descriptors)
	}
	f.record.noteResources(u.program, taken)
}

func (r *record) noteResources(program string, taken resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peak := r.peak[program]
	peak.MemoryMb = max(peak.MemoryMb, taken.MemoryMb)
	peak.Descriptors = max(peak.Descriptors, taken.Descriptors)
	r.peak[program] = peak
}

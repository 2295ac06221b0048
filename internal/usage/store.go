package usage

import "sync"

// Store holds the counts that a control node has received. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex // guards the fields below
	windows map[uint64]IncarnationCounts
	changed map[uint64]bool // windows that changed since the last call of TakeChanged
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{windows: map[uint64]IncarnationCounts{}, changed: map[uint64]bool{}}
}

// Add merges the counts of a report.
func (s *Store) Add(report *CountReport) {
	for window, counts := range report.Windows {
		s.Merge(window, IncarnationCounts{report.Incarnation: counts})
	}
}

// Merge merges counts into a window. Of each count it keeps the greater value.
func (s *Store) Merge(window uint64, counts IncarnationCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.windows[window] == nil {
		s.windows[window] = IncarnationCounts{}
	}
	s.windows[window].merge(counts)
	s.changed[window] = true
}

// TakeChanged returns the windows numbered first or higher that have changed since the last call,
// in no particular order. It also discards the changes of lower-numbered windows.
func (s *Store) TakeChanged(first uint64) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var windows []uint64
	for window := range s.changed {
		if window >= first {
			windows = append(windows, window)
		}
	}
	clear(s.changed)
	return windows
}

// Window returns a copy of the counts of a window.
func (s *Store) Window(window uint64) IncarnationCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := IncarnationCounts{}
	counts.merge(s.windows[window])
	return counts
}

// WindowsFrom returns the windows numbered first or higher that have counts, in no particular
// order.
func (s *Store) WindowsFrom(first uint64) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var windows []uint64
	for window := range s.windows {
		if window >= first {
			windows = append(windows, window)
		}
	}
	return windows
}

// RemoveOld removes the windows more than retainedWindows before the current one.
func (s *Store) RemoveOld(current uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for window := range s.windows {
		if window+retainedWindows < current {
			delete(s.windows, window)
		}
	}
}

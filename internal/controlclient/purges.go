package controlclient

import (
	"slices"

	"comethold/internal/distribution"
)

// maxRememberedPurges bounds the purges that a node remembers.
const maxRememberedPurges = 4096

// applyPurgesLocked records purges and drops cached objects. It moves purgeIndex last, so
// that whoever reads the index finds the purges applied.
func (s *appliedState) applyPurgesLocked(u *distribution.PurgeUpdate) {
	held := s.purgeIndex.Load()
	if u.LogIndex <= held && !u.Reset {
		return
	}
	if u.Reset {
		s.purges = nil
		s.purgeFloor = u.LogIndex
	}
	for _, purge := range u.Purges {
		if purge.LogIndex > held {
			s.purges = append(s.purges, purge)
		}
	}
	if excess := len(s.purges) - maxRememberedPurges; excess > 0 {
		s.purgeFloor = s.purges[excess-1].LogIndex
		s.purges = slices.Clone(s.purges[excess:])
	}
	s.onPurges(u)
	s.purgeIndex.Store(u.LogIndex)
}

// purgedSince reports whether a purge after the log index matches, or whether that is no
// longer known.
func (s *appliedState) purgedSince(index uint64, matches func(distribution.Purge) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < s.purgeFloor {
		return true
	}
	for _, purge := range slices.Backward(s.purges) {
		if purge.LogIndex <= index {
			return false
		}
		if matches(purge) {
			return true
		}
	}
	return false
}

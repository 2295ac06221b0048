package controlclient

import (
	"slices"

	"comethold/internal/distribution"
)

// maxRetainedPurges bounds the purges that a node keeps for purgedSince and for updates of other
// nodes.
const maxRetainedPurges = 4096

// applyPurgesLocked records purges and calls onPurges, which drops the cached objects. It advances
// purgeIndex last, so that all purges up to an index that a reader sees are applied.
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
	if excess := len(s.purges) - maxRetainedPurges; excess > 0 {
		s.purgeFloor = s.purges[excess-1].LogIndex
		s.purges = slices.Clone(s.purges[excess:])
	}
	s.onPurges(u)
	s.purgeIndex.Store(u.LogIndex)
}

// purgedSince reports whether a purge with a log index above index matches. It also returns true
// if purges above index have been discarded.
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

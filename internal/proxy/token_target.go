package proxy

import (
	"net"
	"time"
)

const (
	// avoidDuration is how long a control plane node is avoided after it did not answer in
	// time or held no share of the quotas.
	avoidDuration = time.Second
	// targetsMaxAge is how long the list of control plane nodes is reused.
	targetsMaxAge = 250 * time.Millisecond
)

// targetSelector picks the control plane node that tokens are requested from.
// tokenClient.mu guards it.
type targetSelector struct {
	list       func() []net.Addr // returns the control plane nodes in order of preference
	targets    []net.Addr
	listedAt   time.Time
	avoidUntil map[string]time.Time // by address
}

// pick returns the first target that is not avoided. If all are, it returns the one whose
// avoidance ends first, and nil if there are no targets.
func (s *targetSelector) pick(now time.Time) net.Addr {
	if now.Sub(s.listedAt) > targetsMaxAge {
		s.targets = s.list()
		s.listedAt = now
	}
	var best net.Addr
	for _, target := range s.targets {
		until, avoided := s.avoidUntil[target.String()]
		if !avoided || now.After(until) {
			return target
		}
		if best == nil || until.Before(s.avoidUntil[best.String()]) {
			best = target
		}
	}
	return best
}

// avoid makes pick prefer other targets for avoidDuration.
func (s *targetSelector) avoid(target net.Addr, now time.Time) {
	s.avoidUntil[target.String()] = now.Add(avoidDuration)
	s.listedAt = time.Time{}
}

func (s *targetSelector) removeExpired(now time.Time) {
	for target, until := range s.avoidUntil {
		if now.After(until) {
			delete(s.avoidUntil, target)
		}
	}
}

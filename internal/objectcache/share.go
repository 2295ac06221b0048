package objectcache

import (
	"context"
	"math/rand/v2"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/ratelimit"
)

const (
	shareRenewInterval = 800 * time.Millisecond
	// shareRetryInterval is the interval after a failure and while there is no share.
	shareRetryInterval = shareRenewInterval / 16
	shareCallTimeout   = ratelimit.LeaseDuration / 3
	// Both intervals are multiplied by a random factor from shareJitterMin to
	// shareJitterMin+shareJitter.
	shareJitterMin = 0.8
	shareJitter    = 0.4
)

// RunShareRenewal renews the node's share of the services' rates until the node ends.
func (s *Server) RunShareRenewal() error {
	fair := 0     // the share to ask for
	failures := 0 // in a row
	number := distribution.NewRequestNumber()
	for {
		nextFair, ok := s.renewShare(fair, failures, number.Next())
		if ok {
			fair = nextFair
			failures = 0
		} else {
			failures++
		}
		interval := shareRenewInterval
		if !ok || s.limiter.Share(time.Now()) == 0 {
			interval = shareRetryInterval
		}
		jittered := time.Duration((shareJitterMin + shareJitter*rand.Float64()) * float64(interval))
		select {
		case <-time.After(jittered):
		case <-s.Done():
			return nil
		}
	}
}

// renewShare requests fair, the fair share of the last renewal in thousandths, and returns the
// one of now. skip is how many of the preferred control nodes to pass over.
func (s *Server) renewShare(fair, skip int, number distribution.RequestNumber) (nextFair int, ok bool) {
	// A part that is given up must be unused before the request is sent: it may be granted
	// to another node at once.
	s.limiter.Shrink(fair)
	askedAt := time.Now()
	holdsNone := s.limiter.Share(askedAt) == 0
	if holdsNone {
		s.limiter.Shrink(0)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareCallTimeout)
	defer cancel()
	request := distribution.ShareRequest{
		Node:      s.Settings.NodeName,
		Permille:  fair,
		HoldsNone: holdsNone,
		Number:    number,
	}
	var grant distribution.ShareGrant
	hosts := s.ControlPlaneHosts()
	err := s.rpcClient.Call(ctx, hosts[skip%len(hosts)], sharePath, &request, &grant)
	if err != nil || !grant.Granted {
		return fair, false
	}
	if grant.Permille != s.limiter.Share(askedAt) {
		s.Log.Info(logging.RateShareChanged).
			Int("permille", grant.Permille).
			Int("fair", grant.FairPermille).
			Msg("the share of the origins' rates changed")
	}
	s.limiter.Renew(grant.Permille, askedAt.Add(ratelimit.LeaseDuration))
	return grant.FairPermille, true
}

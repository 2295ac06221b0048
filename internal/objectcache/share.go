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
	// shareRetryInterval is the interval after a failure and while the node has no share.
	shareRetryInterval = shareRenewInterval / 16
	shareCallTimeout   = ratelimit.LeaseDuration / 3
	// Both intervals are multiplied by a random factor from shareJitterMin to
	// shareJitterMin+shareJitter.
	shareJitterMin = 0.8
	shareJitter    = 0.4
)

// RunShareRenewal renews the node's share of the services' rates until the server is closed.
func (s *Server) RunShareRenewal() error {
	fairPermille := 0 // the share to request
	failures := 0     // in a row
	number := distribution.NewRequestNumber()
	for {
		nextFairPermille, ok := s.renewShare(fairPermille, failures, number.Next())
		if ok {
			fairPermille = nextFairPermille
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

// renewShare requests fairPermille, the fair share that the last grant stated, in thousandths. It
// returns the fair share that the new grant states, or fairPermille and false after a failure. skip
// is the number of preferred control nodes to skip.
func (s *Server) renewShare(fairPermille, skip int, number distribution.RequestNumber) (nextFairPermille int, ok bool) {
	// Before the node sends the request, it stops using the part of its share that it gives up,
	// because that part may be granted to another node at once.
	s.limiter.Shrink(fairPermille)
	requestedAt := time.Now()
	holdsNone := s.limiter.Share(requestedAt) == 0
	if holdsNone {
		s.limiter.Shrink(0)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareCallTimeout)
	defer cancel()
	request := distribution.ShareRequest{
		Node:      s.Settings.NodeName,
		Permille:  fairPermille,
		HoldsNone: holdsNone,
		Number:    number,
	}
	var grant distribution.ShareGrant
	hosts := s.ControlPlaneHosts()
	err := s.rpcClient.Call(ctx, hosts[skip%len(hosts)], sharePath, &request, &grant)
	if err != nil || !grant.Granted {
		return fairPermille, false
	}
	if grant.Permille != s.limiter.Share(requestedAt) {
		s.Log.Info(logging.RateShareChanged).
			Int("permille", grant.Permille).
			Int("fair", grant.FairPermille).
			Msg("the share of the services' rates changed")
	}
	s.limiter.Renew(grant.Permille, requestedAt.Add(ratelimit.LeaseDuration))
	return grant.FairPermille, true
}

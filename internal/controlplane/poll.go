package controlplane

import (
	"context"
	"errors"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/discovery"
	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// discoveryLoop keeps the list of leafs while this node holds the duty.
func (r *Server) discoveryLoop() {
	if r.platform == nil {
		return
	}
	var lastDigest time.Time
	failures := 0
	every := max(minPollInterval, time.Duration(pollDrainFraction*float64(r.settings.Bounds.DrainTimeout())))
	pause := every
	for {
		select {
		case <-time.After(pause):
		case <-r.quit:
			return
		}
		pause = every
		term, ok := r.discoveryLease.Held()
		if !ok {
			failures = 0
			pause = minPollInterval / 4
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
		leafs, err := r.platform.List(ctx)
		cancel()
		if err != nil {
			failures++
			pause = every / 2
			r.log.Warn(logging.EndpointListFailed).Err(err).Int("failures", failures).Msg("the platform's list cannot be had")
			if failures >= 3 && !errors.Is(err, discovery.ErrRateLimited) {
				r.discoveryLease.Yield() // another may reach the platform
				failures = 0
			}
			continue
		}
		failures = 0
		if now, ok := r.discoveryLease.Held(); !ok || now != term {
			continue // too late: the lease ended while the platform answered
		}
		next := &distribution.EndpointList{Revision: distribution.Revision{Term: term, Sequence: 1}, Endpoints: leafs}
		if leafs == nil {
			next.Endpoints = []distribution.Endpoint{}
		}
		cur := r.board.Endpoints()
		changed := cur == nil || cur.Revision.Term != term || !schema.EqualEncoding(cur.Endpoints, next.Endpoints)
		if changed {
			if cur != nil && cur.Revision.Term == term {
				next.Revision.Sequence = cur.Revision.Sequence + 1
			}
			r.board.SetEndpoints(next)
			r.log.Debug(logging.EndpointListChanged).Int("leafs", len(leafs)).Uint64("term", term).Uint64("rev", next.Revision.Sequence).Msg("the list changed")
			r.wakeReconciler()
		}
		if changed || time.Since(lastDigest) >= digestInterval {
			lastDigest = time.Now()
			go r.broadcastEndpoints(r.board.Endpoints(), changed)
		}
	}
}

// broadcastEndpoints hands the list to the other registrars: whole when it changed, else
// its stamp, followed by the whole where the stamp shows an old copy.
func (r *Server) broadcastEndpoints(l *distribution.EndpointList, whole bool) {
	addrs := map[string]bool{}
	r.host.Do(func() {
		for _, a := range r.host.PeerAddresses() {
			addrs[a] = true
		}
		for a := range r.host.LivePeers(replicahost.LearnerTimeout) {
			addrs[a] = a != r.host.Self.Addr
		}
	})
	for a, other := range addrs {
		if !other {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var have distribution.Revision
			msg := l
			if !whole {
				msg = &distribution.EndpointList{Revision: l.Revision}
			}
			if err := r.host.CallPeer(ctx, a, "/list", msg, &have); err == nil && !whole && have.Less(l.Revision) {
				_ = r.host.CallPeer(ctx, a, "/list", l, &have)
			}
		}()
	}
}

// onPeerEndpoints is told of the list that another registrar holds. A newer one is
// fetched from there: the poller may not reach this node.
func (r *Server) onPeerEndpoints(addr string, at distribution.Revision) {
	if !r.board.EndpointsVersion().Less(at) || !r.fetchingList.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer r.fetchingList.Store(false)
		select {
		case <-time.After(endpointFetchDelay): // the poller is handing it round as well
		case <-r.quit:
			return
		}
		if !r.board.EndpointsVersion().Less(at) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var l distribution.EndpointList
		if err := r.host.CallPeer(ctx, addr, "/list/read", distribution.UpdateRequest{}, &l); err == nil && l.Endpoints != nil {
			r.board.SetEndpoints(&l)
		}
	}()
}

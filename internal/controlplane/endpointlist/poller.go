// Package endpointlist keeps the platform's list of endpoints on the control nodes. The owner
// of a lease polls the platform and broadcasts the list; the others receive it, or fetch it
// from a peer that has a newer one.
//
// The revision of a list consists of the term of the lease and a sequence number, so that all
// nodes agree on which of two lists is newer.
package endpointlist

import (
	"context"
	"errors"
	"sync"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/discovery"
	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// Paths of the requests between control nodes.
const (
	PathPush  = "/list"      // sends a list, or only its revision; returns the revision held
	PathFetch = "/list/read" // returns the list held
)

// Timing of the poller. The reasons for these values are in docs/design.md.
const (
	minPollInterval = 800 * time.Millisecond
	// leaseCheckInterval is the interval at which a node without the lease checks whether it has
	// acquired it.
	leaseCheckInterval = minPollInterval / 4
	// pollFraction is the interval between two polls as a fraction of the drain time-out.
	pollFraction = 0.3
	// listTimeout limits the request of all pages of a list; each page has a shorter time-out.
	listTimeout = 10 * time.Second
	// revisionInterval is the interval at which the revision of an unchanged list is sent to peers.
	revisionInterval = time.Second
	callTimeout      = time.Second
)

// maxPollFailures is the number of consecutive failed polls after which the lease is yielded.
const maxPollFailures = 3

// Platform lists the endpoints. *discovery.Client implements it.
type Platform interface {
	List(ctx context.Context) ([]distribution.Endpoint, error)
}

// Lease is the lease whose owner polls the platform. *lease.Lease implements it.
type Lease interface {
	// Held reports whether this node holds the lease, and under which term.
	Held() (term uint64, held bool)
	// Yield releases the lease and gives other nodes time to acquire it first.
	Yield(ctx context.Context)
}

// Store holds the endpoint list on this node. *distributor.Distributor implements it.
type Store interface {
	Endpoints() *distribution.EndpointList
	EndpointsRevision() distribution.Revision
	SetEndpoints(list *distribution.EndpointList) distribution.Revision
}

// Peers provides access to the other control nodes. *replicahost.Host implements it.
type Peers interface {
	Do(task func())
	PeerAddresses() []string
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
	CallPeer(ctx context.Context, address, path string, request, response any) error
}

// PollerOptions are the dependencies and settings of a Poller.
type PollerOptions struct {
	Platform    Platform
	Lease       Lease
	Store       Store
	Peers       Peers
	SelfAddress string // address of this node, which is excluded from broadcasts
	// DrainTimeout is the time after which a draining endpoint must receive no more requests.
	DrainTimeout time.Duration
	// OnChange is called when the list has changed.
	OnChange func()
	Log      *logging.Logger
}

// Poller polls the platform while its node holds the lease.
type Poller struct {
	options      PollerOptions
	interval     time.Duration
	broadcasting sync.WaitGroup // counts running broadcasts

	// The fields below are accessed only by Run.

	failures    int       // consecutive failed polls
	broadcastAt time.Time // when the last broadcast was started
}

// NewPoller returns a Poller. It polls only while Run is running.
func NewPoller(options PollerOptions) *Poller {
	interval := time.Duration(pollFraction * float64(options.DrainTimeout))
	return &Poller{options: options, interval: max(minPollInterval, interval)}
}

// Run polls until ctx is done.
func (p *Poller) Run(ctx context.Context) {
	defer p.broadcasting.Wait()
	pause := p.interval
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = p.poll(ctx)
	}
}

// poll updates the list from the platform if this node holds the lease. It returns the pause
// before the next poll.
func (p *Poller) poll(ctx context.Context) (pause time.Duration) {
	term, held := p.options.Lease.Held()
	if !held {
		p.failures = 0
		return leaseCheckInterval
	}
	endpoints, err := p.list(ctx)
	if err != nil {
		p.handleFailure(ctx, err)
		return p.interval / 2
	}
	p.failures = 0
	if currentTerm, held := p.options.Lease.Held(); !held || currentTerm != term {
		return p.interval // the lease was lost before the platform answered
	}
	isNew := p.update(term, endpoints)
	if isNew || time.Since(p.broadcastAt) >= revisionInterval {
		p.broadcastAt = time.Now()
		list := p.options.Store.Endpoints()
		p.broadcasting.Go(func() { p.broadcast(ctx, list, isNew) })
	}
	return p.interval
}

// list requests the endpoint list from the platform. The request is not cancelled when ctx is done.
func (p *Poller) list(ctx context.Context) ([]distribution.Endpoint, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), listTimeout)
	defer cancel()
	return p.options.Platform.List(ctx)
}

func (p *Poller) handleFailure(ctx context.Context, err error) {
	p.failures++
	p.options.Log.Warn(logging.EndpointListFailed).
		Err(err).
		Int("failures", p.failures).
		Msg("the platform's endpoint list could not be read")
	if p.failures >= maxPollFailures && !errors.Is(err, discovery.ErrRateLimited) {
		p.options.Lease.Yield(ctx) // another node may be able to reach the platform
		p.failures = 0
	}
}

// update stores a list if it differs from the stored one or its term does, and reports whether it
// did so.
func (p *Poller) update(term uint64, endpoints []distribution.Endpoint) bool {
	if endpoints == nil {
		endpoints = []distribution.Endpoint{} // on the wire, nil means a revision without a list
	}
	next := &distribution.EndpointList{
		Revision:  distribution.Revision{Term: term, Sequence: 1},
		Endpoints: endpoints,
	}
	if current := p.options.Store.Endpoints(); current != nil && current.Revision.Term == term {
		if schema.EqualEncoding(current.Endpoints, next.Endpoints) {
			return false
		}
		next.Revision.Sequence = current.Revision.Sequence + 1
	}
	p.options.Store.SetEndpoints(next)
	p.options.Log.Debug(logging.EndpointListChanged).
		Int("endpoints", len(endpoints)).
		Uint64("term", term).
		Uint64("sequence", next.Revision.Sequence).
		Msg("the endpoint list changed")
	p.options.OnChange()
	return true
}

// broadcast sends a list to the other control nodes: in full if it is new, otherwise its
// revision first, and the list only to nodes that hold an older one.
func (p *Poller) broadcast(ctx context.Context, list *distribution.EndpointList, isNew bool) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for address := range p.peerAddresses() {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			p.push(callCtx, address, list, isNew)
		})
	}
}

func (p *Poller) push(ctx context.Context, address string, list *distribution.EndpointList, isNew bool) {
	var held distribution.Revision
	if isNew {
		_ = p.options.Peers.CallPeer(ctx, address, PathPush, list, &held) // if this fails, the peer fetches the list
		return
	}
	revisionOnly := &distribution.EndpointList{Revision: list.Revision}
	err := p.options.Peers.CallPeer(ctx, address, PathPush, revisionOnly, &held)
	if err == nil && held.Less(list.Revision) {
		_ = p.options.Peers.CallPeer(ctx, address, PathPush, list, &held)
	}
}

// peerAddresses returns the set of addresses of the other control nodes.
func (p *Poller) peerAddresses() map[string]bool {
	addresses := map[string]bool{}
	p.options.Peers.Do(func() {
		for _, address := range p.options.Peers.PeerAddresses() {
			addresses[address] = true
		}
		for address := range p.options.Peers.LivePeers(replicahost.LearnerTimeout) {
			addresses[address] = true
		}
	})
	delete(addresses, p.options.SelfAddress)
	return addresses
}

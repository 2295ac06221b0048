// Package controlplane is the control plane of one node. It hosts the node's replicas of the
// replicated state, accepts the operator's configuration, updates the state from the platform
// and the nodes, and distributes it to the nodes.
//
// The Server only creates, connects, starts and stops components. Their logic is in the
// subpackages, one for each concern. startup.go creates the components in order of dependency,
// startLoops starts their loops, and applied.go passes them changes of the replicated state.
package controlplane

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"comethold/internal/controlplane/allocation"
	"comethold/internal/controlplane/distributor"
	"comethold/internal/controlplane/endpointlist"
	"comethold/internal/controlplane/lease"
	"comethold/internal/controlplane/metering"
	"comethold/internal/controlplane/operatorapi"
	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/placement"
	"comethold/internal/controlplane/reconcile"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/taskgroup"
	"comethold/internal/discovery"
	"comethold/internal/logging"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"
)

// stopTimeout is how long Stop waits for the loops and tasks, which also release the leases.
const stopTimeout = time.Second

// errStopped means that the server was stopped before its start was complete.
var errStopped = errors.New("controlplane: stopped")

// Server is the control plane of one node.
type Server struct {
	settings  *settings.Settings
	log       *logging.Logger
	disk      storage.Disk
	network   rpc.Network
	client    *rpc.Client
	platform  *discovery.Client // nil if no platform is configured
	usage     usageMetering
	startedAt time.Time

	ready chan struct{} // closed once the storage is open and the fields up to quit are set

	storage         *storage.Store
	host            *replicahost.Host
	distributor     *distributor.Distributor
	longPoll        *distributor.LongPoll
	reconciler      *reconcile.Reconciler
	endpointPoller  *endpointlist.Poller // nil if no platform is configured
	endpointFetcher *endpointlist.Fetcher
	discoveryLease  *lease.Lease
	placementLease  *lease.Lease
	usageLease      *lease.Lease
	mover           *placement.Mover
	operator        *operatorapi.Handler
	shares          *allocation.ShareService
	quotas          quotaAllocation
	consumer        *outboxpublisher.Consumer
	publisher       *outboxpublisher.Publisher
	quarantine      *outboxpublisher.Quarantine
	estimates       latencyEstimates

	quit     chan struct{} // closed by Stop
	stopOnce sync.Once
	loops    taskgroup.Group // started by startLoops
	tasks    taskgroup.Group // short background tasks

	mu               sync.Mutex         // guards the fields below
	reloadedSettings *settings.Settings // as last passed to Reload, or nil
	stopped          bool
}

// New returns a Server. It does not access the disk; Run does.
func New(set *settings.Settings, log *logging.Logger, network rpc.Network, disk storage.Disk) *Server {
	s := &Server{
		settings:  set,
		log:       log,
		disk:      disk,
		network:   network,
		client:    rpc.NewClient(network),
		usage:     usageMetering{collector: metering.NewCollector()},
		startedAt: time.Now(),
		ready:     make(chan struct{}),
		quit:      make(chan struct{}),
	}
	if set.Platform.Address != "" {
		s.platform = discovery.NewClient(network, set.Platform.Address, set.Platform.RatePerS)
	}
	return s
}

// Run opens the storage and runs the control plane until Stop.
func (s *Server) Run() error {
	s.tasks.Go(s.openStorage)
	select {
	case <-s.ready:
	case <-s.quit:
		if !s.isReady() {
			return nil
		}
	}
	s.startLoops()
	return s.host.Run()
}

func (s *Server) startLoops() {
	ctx, cancel := context.WithCancel(context.Background())
	s.loops.Go(func() {
		defer cancel()
		<-s.quit
	})
	for _, loop := range []func(){
		func() { s.discoveryLease.Run(ctx) },
		func() { s.placementLease.Run(ctx) },
		func() { s.mover.Run(ctx) },
		func() { s.reconciler.Run(ctx) },
		func() { s.endpointFetcher.Run(ctx) },
		func() { s.operator.Run(ctx) },
		func() { s.shares.Run(ctx) },
		func() { s.quotas.renewer.Run(ctx) },
		func() { s.quotas.watermarks.Run(ctx) },
		func() { s.consumer.Run(ctx) },
		func() { s.publisher.Run(ctx) },
	} {
		s.loops.Go(loop)
	}
	if s.endpointPoller != nil {
		s.loops.Go(func() { s.endpointPoller.Run(ctx) })
	}
	if s.settings.ReportsUsage() {
		s.loops.Go(func() { s.usage.reporter.Run(ctx) })
		s.loops.Go(func() { s.usage.counts.Run(ctx) })
	}
	if s.settings.Estimates.Enabled {
		s.loops.Go(func() { s.estimates.exporter.Run(ctx) })
	}
}

// Stop ends the loops, which release their leases, then stops the replicas and closes the
// storage. If the storage is not open yet, it returns at once, since opening it may hang.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		s.mu.Lock()
		s.stopped = true
		close(s.quit)
		isOpen := s.isReady()
		s.mu.Unlock()
		if !isOpen {
			return
		}
		s.waitForLoops()
		s.host.Stop()
		s.distributor.Close()
		_ = s.storage.Close()
		s.host.Wait()
	})
}

// waitForLoops waits until the loops and tasks have ended, but at most stopTimeout, since a call
// may wait for a peer that is down.
func (s *Server) waitForLoops() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.loops.Close()
		s.tasks.Close()
	}()
	select {
	case <-ended:
	case <-time.After(stopTimeout):
	}
}

// Reload applies the seed nodes of new settings and ignores all other changes.
func (s *Server) Reload(set *settings.Settings) {
	s.mu.Lock()
	s.reloadedSettings = set
	s.mu.Unlock()
	if s.isReady() {
		s.host.SetSeeds(set.SeedHosts())
	}
}

func (s *Server) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

func internalAddress(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// InternalAddress returns the address on which a control node serves InternalHandler.
func InternalAddress(set *settings.Settings) string {
	return internalAddress(set.IPAddress, set.PortOf(settings.ControlPlane))
}

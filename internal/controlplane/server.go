package controlplane

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/controlplane/allocation"
	"comethold/internal/controlplane/lease"
	"comethold/internal/controlplane/metering"
	"comethold/internal/controlplane/nodereports"
	"comethold/internal/controlplane/operatorapi"
	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/placement"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/discovery"
	"comethold/internal/logging"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"
)

const (
	// RequestTimeout bounds what a request between control nodes waits for.
	RequestTimeout  = 1500 * time.Millisecond
	longPollTimeout = time.Second // an answer without news comes after this
)

// Roles under which leases are stored.
const (
	discoveryRole = "directory"
	placementRole = "mover"
	usageRole     = "usage"
)

var errStopped = errors.New("registrar: told to end")

// Server is the control plane of one node.
type Server struct {
	settings  *settings.Settings
	log       *logging.Logger
	disk      storage.Disk
	network   rpc.Network
	ready     chan struct{} // closed once the vault is open: what follows is there
	storage   *storage.Store
	client    *rpc.Client
	startedAt time.Time
	host      *replicahost.Host
	board     *Distributor
	platform  *discovery.Client

	discoveryLease *lease.Lease
	placementLease *lease.Lease
	usageLease     *lease.Lease
	mover          *placement.Mover
	operator       *operatorapi.Handler
	shares         *allocation.ShareService
	reports        *nodereports.Tracker
	quotas         quotaAllocation
	consumer       *outboxpublisher.Consumer
	publisher      *outboxpublisher.Publisher
	quarantine     *outboxpublisher.Quarantine
	usage          usageMetering

	quit     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup

	fetchingList     atomic.Bool // a list that another registrar holds is being fetched
	mu               sync.Mutex
	reloadedSettings *settings.Settings // the last that was reloaded
	stopped          bool
	reconcileWake    chan struct{}
}

// New makes a registrar. It asks nothing of the disk; Run does.
func New(set *settings.Settings, log *logging.Logger, n rpc.Network, disk storage.Disk) *Server {
	r := &Server{settings: set, log: log, disk: disk, network: n, client: rpc.NewClient(n), ready: make(chan struct{}), board: NewDistributor(), quit: make(chan struct{}),
		reports:       nodereports.NewTracker(),
		reconcileWake: make(chan struct{}, 1),
		usage:         usageMetering{collector: metering.NewCollector()},
		startedAt:     time.Now(),
	}
	if set.Platform.Address != "" {
		r.platform = discovery.NewClient(n, set.Platform.Address, set.Platform.RatePerS)
	}
	return r
}

// Run does the work until Stop.
func (r *Server) Run() error {
	go r.openStorage()
	select {
	case <-r.ready:
	case <-r.quit:
		if !r.isReady() {
			return nil
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.wg.Go(func() {
		defer cancel()
		<-r.quit
	})
	for _, f := range []func(){
		func() { r.discoveryLease.Run(r.quit) },
		func() { r.placementLease.Run(r.quit) },
		func() { r.mover.Run(r.quit) },
		r.discoveryLoop,
		r.reconcileLoop,
		func() { r.operator.Run(ctx) },
		func() { r.shares.Run(ctx) },
		func() { r.quotas.renewer.Run(ctx) },
		func() { r.quotas.watermarks.Run(ctx) },
		func() { r.consumer.Run(ctx) },
		func() { r.publisher.Run(ctx) },
		r.exportLoop,
	} {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); f() }()
	}
	if r.settings.ReportsUsage() {
		r.wg.Go(func() { r.usage.reporter.Run(ctx) })
		r.wg.Go(func() { r.usage.counts.Run(ctx) })
	}
	return r.host.Run()
}

// Stop ends the duties, then the cells.
func (r *Server) Stop() {
	r.stopOnce.Do(func() {
		r.mu.Lock()
		r.stopped = true
		close(r.quit)
		opened := r.isReady()
		r.mu.Unlock()
		if !opened {
			return
		}
		done := make(chan struct{})
		go func() { r.wg.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(time.Second):
		}
		r.host.Stop()
		_ = r.storage.Close()
		r.host.Wait()
	})
}

// Reload takes new settings: the seeds may have been exchanged.
func (r *Server) Reload(set *settings.Settings) {
	r.mu.Lock()
	r.reloadedSettings = set
	r.mu.Unlock()
	if r.isReady() {
		r.host.SetSeeds(set.SeedHosts())
	}
}

func (r *Server) isReady() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}

func internalAddress(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// InternalAddress is where this program listens for the system's own processes.
func InternalAddress(set *settings.Settings) string {
	return internalAddress(set.IPAddress, set.PortOf(settings.ControlPlane))
}

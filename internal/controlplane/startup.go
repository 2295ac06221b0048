package controlplane

import (
	"errors"
	"time"

	"comethold/internal/controlplane/lease"
	"comethold/internal/controlplane/metering"
	"comethold/internal/controlplane/operatorapi"
	"comethold/internal/controlplane/placement"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/settings"
	"comethold/internal/storage"
)

// Roles of the leases, which are part of their stored keys.
const (
	discoveryRole = "directory"
	placementRole = "mover"
	usageRole     = "usage"
)

// Durations of leases. The reasons for these values are in docs/design.md.
const (
	discoveryLeaseDuration = 1200 * time.Millisecond
	placementLeaseDuration = 1200 * time.Millisecond
)

// openStorage opens the storage and retries until it succeeds or the server stops. Until then
// this node sends nothing to other nodes and rejects calls.
func (s *Server) openStorage() {
	lastFault := ""
	for ; ; time.Sleep(storage.RetryDelay) {
		select {
		case <-s.quit:
			return
		default:
		}
		err := s.tryOpenStorage()
		if err == nil {
			return
		}
		if fault := err.Error(); fault != lastFault {
			lastFault = fault
			s.logDiskFault(err)
		}
	}
}

func (s *Server) tryOpenStorage() error {
	unresponsive := time.AfterFunc(storage.UnresponsiveAfter, func() { s.logDiskFault(storage.ErrUnresponsive) })
	defer unresponsive.Stop()
	store, err := storage.Open(s.settings.DataDirectory, s.disk, s.logDiskFault)
	if err != nil {
		return err
	}
	if err := s.startReplicas(store); err != nil {
		_ = store.Close()
		return err
	}
	return nil
}

func (s *Server) logDiskFault(err error) {
	if errors.Is(err, storage.ErrCorrupt) {
		s.log.Error(logging.StorageCorrupt).Err(err).Msg("storage file is corrupt; renaming it and creating an empty one")
		return
	}
	s.log.Warn(logging.DiskFault).Err(err).Msg("disk operation failed or is not completing; retrying")
}

// startReplicas creates the components and opens this node's replica of the meta cell. It
// must be called after the directory entries of the storage's files are durable. The order of
// its calls matters: the comment of each open function names the fields that it needs.
func (s *Server) startReplicas(store *storage.Store) error {
	initialVoters := s.initialVoters()
	self, err := s.loadSelf(store, initialVoters)
	if err != nil {
		return err
	}
	s.storage = store
	s.openDistributor(store)
	s.host = s.newHost(self, store)
	s.discoveryLease = s.newLease(discoveryRole, discoveryLeaseDuration, lease.FencedClockSkewFactor)
	s.placementLease = s.newLease(placementRole, placementLeaseDuration, lease.FencedClockSkewFactor)
	s.usageLease = s.newLease(usageRole, metering.LeaseDuration, lease.ClockSkewFactor)
	s.openReconciler(self)
	s.openLongPoll()
	s.openMetering(store)
	s.openLatencyEstimates()
	s.openAllocation(store)
	s.openOutbox(self, store)
	s.openMover()
	s.openOperatorAPI()
	s.warnOfUnknownRoles()
	s.host.Open(schema.MetaCell, initialVoters)
	return s.becomeReady()
}

// openMover creates the component that moves voters between nodes. It needs s.host and s.placementLease.
func (s *Server) openMover() {
	s.mover = placement.NewMover(placement.Options{
		Host:     s.host,
		Lease:    s.placementLease,
		Voters:   placement.VotersFor(s.settings.Tolerance.MachineLosses),
		Timeouts: placement.TimeoutsFor(s.settings.Bounds.CatchUpPeriod()),
		RegionOf: s.settings.RegionOf,
		Log:      s.log,
	})
}

// openOperatorAPI creates the handler of the operator API. It needs s.host, s.distributor,
// s.quarantine and s.consumer.
func (s *Server) openOperatorAPI() {
	voters := placement.VotersFor(s.settings.Tolerance.MachineLosses)
	s.operator = operatorapi.New(operatorapi.Options{
		Cells:               s.host,
		Log:                 s.log,
		IsForming:           func() bool { return placement.IsForming(s.host, voters) },
		LatestConfiguration: s.distributor.LatestConfiguration,
		Quarantine: func(notification *outbox.Notification, reason string) {
			// Runs in the background: the operator's request does not wait for it, but Stop does.
			s.tasks.Go(func() { s.quarantine.Add(notification, reason) })
		},
		AppliedVersions: s.consumer.AppliedVersions,
	})
}

func (s *Server) warnOfUnknownRoles() {
	for _, role := range s.settings.UnknownSingletonRoles() {
		s.log.Warn(logging.UnknownSingletonRole).
			Str("duty", role).
			Msg("settings list a singleton role that this version does not support; ignoring it")
	}
}

// initialVoters returns the initial voters of the meta cell: the seed nodes at the first start of
// the system, and none at later starts.
func (s *Server) initialVoters() (initialVoters []paxos.Voter) {
	if !s.settings.FirstStart {
		return nil
	}
	for _, address := range s.settings.SeedHosts() {
		initialVoters = append(initialVoters, paxos.Voter{ID: paxos.ReplicaID(address), Addr: address})
	}
	return initialVoters
}

// loadSelf loads or creates this node's replica ID and returns this node's PeerInfo.
func (s *Server) loadSelf(store *storage.Store, initialVoters []paxos.Voter) (self replicahost.PeerInfo, err error) {
	set := s.settings
	id, isNew, err := replicahost.LoadOrCreateIdentity(store, replicahost.IdentityOptions{
		Address:        set.IPAddress,
		FirstStart:     set.FirstStart,
		HasCorruptFile: storage.HasCorruptFile(set.DataDirectory),
		InitialVoters:  initialVoters,
	})
	if err != nil {
		return self, err
	}
	if isNew && !set.FirstStart {
		s.log.Warn(logging.DiskEmpty).Msg("disk is empty, but this is not the first start; joining as a new replica")
	}
	return replicahost.PeerInfo{
		ID:   id,
		Addr: set.IPAddress,
		Zone: set.AvailabilityZone,
		Name: set.NodeName,
	}, nil
}

func (s *Server) newHost(self replicahost.PeerInfo, store *storage.Store) *replicahost.Host {
	hooks := replicahost.Hooks{
		OnApply:          s.onApply,
		EndpointRevision: s.distributor.EndpointsRevision,
		OnPeerEndpointRevision: func(address string, revision distribution.Revision) {
			s.endpointFetcher.OnPeerRevision(address, revision)
		},
		RegisteredAddresses: s.distributor.ControlAddresses,
	}
	if s.settings.ReportsUsage() {
		hooks.ReadClocks = s.usage.collector.ReadClocks
		hooks.OnPeerClocks = s.usage.collector.ObservePeerClocks
	}
	return replicahost.New(replicahost.Options{
		Self:    self,
		Port:    s.settings.PortOf(settings.ControlPlane),
		Seeds:   s.settings.SeedHosts(),
		Storage: store,
		Client:  s.client,
		Network: s.network,
		Log:     s.log,
		Hooks:   hooks,
	})
}

func (s *Server) newLease(role string, duration time.Duration, skewFactor int) *lease.Lease {
	return lease.New(lease.Options{
		Role:       role,
		Self:       s.host.Self.ID,
		Duration:   duration,
		SkewFactor: skewFactor,
		Cell:       s.host,
		Log:        s.log,
	})
}

// becomeReady closes s.ready. If the server was stopped meanwhile, it returns errStopped instead.
func (s *Server) becomeReady() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return errStopped
	}
	if s.reloadedSettings != nil {
		s.host.SetSeeds(s.reloadedSettings.SeedHosts())
	}
	close(s.ready)
	return nil
}

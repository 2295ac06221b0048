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

// Roles under which leases are stored.
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
// this node sends nothing to the others and rejects calls.
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
	late := time.AfterFunc(storage.UnresponsiveAfter, func() { s.logDiskFault(storage.ErrUnresponsive) })
	defer late.Stop()
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
		s.log.Error(logging.StorageCorrupt).Err(err).Msg("the file of the replicas is corrupt and was put aside")
		return
	}
	s.log.Warn(logging.DiskFault).Err(err).Msg("the disk rejects a write or does not answer; it is retried")
}

// startReplicas makes the components and opens the replicas. The directory entries of the
// storage's files are durable by now. The order matters: each open function names the fields
// that it needs.
func (s *Server) startReplicas(store *storage.Store) error {
	initialVoters := s.initialVoters()
	self, err := s.identify(store, initialVoters)
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
	s.warnOfUnknownDuties()
	s.host.Open(schema.MetaCell, initialVoters)
	return s.becomeReady()
}

// openMover makes the mover of voters. It needs s.host and s.placementLease.
func (s *Server) openMover() {
	s.mover = placement.NewMover(placement.Options{
		Host:     s.host,
		Lease:    s.placementLease,
		Voters:   placement.VotersFor(s.settings.Tolerance.MachineLosses),
		Timeouts: placement.TimeoutsFor(s.settings.Bounds.CatchUp()),
		RegionOf: s.settings.RegionOf,
		Log:      s.log,
	})
}

// openOperatorAPI makes the handler of the operator's API. It needs s.host, s.distributor,
// s.quarantine and s.consumer.
func (s *Server) openOperatorAPI() {
	voters := placement.VotersFor(s.settings.Tolerance.MachineLosses)
	s.operator = operatorapi.New(operatorapi.Options{
		Cells:               s.host,
		Log:                 s.log,
		IsForming:           func() bool { return placement.IsForming(s.host, voters) },
		LatestConfiguration: s.distributor.LatestConfiguration,
		Quarantine: func(notification *outbox.Notification, reason string) {
			// In the background: Stop waits for it, but the operator's request doesn't.
			s.tasks.Go(func() { s.quarantine.Add(notification, reason) })
		},
		AppliedVersions: s.consumer.AppliedVersions,
	})
}

func (s *Server) warnOfUnknownDuties() {
	for _, role := range s.settings.UnknownDuties() {
		s.log.Warn(logging.UnknownDuty).
			Str("duty", role).
			Msg("the settings name a duty that this version does not know; it is not done")
	}
}

// initialVoters returns the initial voters of the meta cell. There are none after the first start
// of the system.
func (s *Server) initialVoters() (initialVoters []paxos.Voter) {
	if !s.settings.FirstStart {
		return nil
	}
	for _, address := range s.settings.SeedHosts() {
		initialVoters = append(initialVoters, paxos.Voter{ID: paxos.ReplicaID(address), Addr: address})
	}
	return initialVoters
}

// identify loads or creates this node's replica ID and returns its PeerInfo.
func (s *Server) identify(store *storage.Store, initialVoters []paxos.Voter) (self replicahost.PeerInfo, err error) {
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
		s.log.Warn(logging.DiskEmpty).Msg("the disk is empty on a later start: joining as a new replica")
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

// becomeReady closes s.ready, unless the server was stopped meanwhile.
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

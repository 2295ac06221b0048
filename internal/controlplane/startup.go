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
	"comethold/internal/paxos"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"
)

// openStorage opens the vault, as often as it takes: a disk in trouble is no reason to end.
// Until then this registrar says nothing to the others and turns callers away.
func (r *Server) openStorage() {
	failed := func(err error) {
		if errors.Is(err, storage.ErrCorrupt) {
			r.log.Error(logging.StorageCorrupt).Err(err).Msg("the file of the cells is damaged and was put aside")
			return
		}
		r.log.Warn(logging.DiskFault).Err(err).Msg("the disk refuses a write or does not answer; trying again")
	}
	for ; ; time.Sleep(storage.RetryDelay) {
		select {
		case <-r.quit:
			return
		default:
		}
		late := time.AfterFunc(storage.UnresponsiveAfter, func() { failed(storage.ErrUnresponsive) })
		v, err := storage.Open(r.settings.DataDirectory, r.disk, failed)
		if err == nil {
			if err = r.startReplicas(v); err != nil {
				_ = v.Close()
			}
		}
		late.Stop()
		if err == nil {
			return
		}
		failed(err)
	}
}

// startReplicas opens the cells of this node. The vault's name is on the disk by now.
func (r *Server) startReplicas(v *storage.Store) error {
	set, log := r.settings, r.log
	var founders []paxos.Voter
	if set.FirstStart {
		for _, a := range set.SeedHosts() {
			founders = append(founders, paxos.Voter{ID: paxos.ReplicaID(a), Addr: a})
		}
	}
	id, empty, err := replicahost.LoadOrCreateIdentity(v, replicahost.NewNode{
		Address:    set.IPAddress,
		FirstStart: set.FirstStart,
		SetAside:   storage.HasCorruptFile(set.DataDirectory),
		Founders:   founders,
	})
	if err != nil {
		return err
	}
	if empty && !set.FirstStart {
		log.Warn(logging.DiskEmpty).Msg("the disk is empty on a later start: joining as a new member")
	}
	self := replicahost.PeerInfo{ID: id, Addr: set.IPAddress, Zone: set.AvailabilityZone, Name: set.NodeName}
	// The list of the former life serves until the platform has been asked:
	// leafs are called by name, so one that is gone does no harm.
	if raw := v.NodeValue("list"); raw != nil {
		var l distribution.EndpointList
		if rpc.Unmarshal(raw, &l) == nil {
			r.board.SetEndpoints(&l)
		}
	}
	r.board.persistEndpoints = func(l *distribution.EndpointList) {
		if raw, err := rpc.Marshal(l); err == nil {
			v.QueueNodeValue("list", raw)
		}
	}
	r.storage = v
	hooks := replicahost.Hooks{
		OnApply:                r.onApply,
		EndpointRevision:       r.board.EndpointsVersion,
		OnPeerEndpointRevision: r.onPeerEndpoints,
		RegisteredAddresses:    r.board.ControlAddresses,
	}
	if set.ReportsUsage() {
		hooks.ReadClocks = r.usage.collector.ReadClocks
		hooks.OnPeerClocks = r.usage.collector.ObservePeerClocks
	}
	r.host = replicahost.New(replicahost.Options{
		Self:    self,
		Port:    set.PortOf(settings.ControlPlane),
		Seeds:   set.SeedHosts(),
		Storage: v,
		Client:  r.client,
		Network: r.network,
		Log:     log,
		Hooks:   hooks,
	})
	newLease := func(role string, duration time.Duration, skewFactor int) *lease.Lease {
		return lease.New(lease.Options{
			Role:       role,
			Self:       id,
			Duration:   duration,
			SkewFactor: skewFactor,
			Cell:       r.host,
			Log:        log,
		})
	}
	r.discoveryLease = newLease(discoveryRole, PollerLeaseDuration, lease.FencedClockSkewFactor)
	r.placementLease = newLease(placementRole, MoverLeaseDuration, lease.FencedClockSkewFactor)
	r.usageLease = newLease(usageRole, metering.LeaseDuration, lease.ClockSkewFactor)
	r.openMetering(v)
	r.openAllocation(v)
	r.openOutbox(self, v)
	r.mover = placement.NewMover(placement.Options{
		Host:     r.host,
		Lease:    r.placementLease,
		Voters:   placement.VotersFor(set.Tolerance.MachineLosses),
		RegionOf: set.RegionOf,
		Log:      log,
	})
	r.operator = operatorapi.New(operatorapi.Options{
		Cells:               r.host,
		Log:                 log,
		IsForming:           r.isForming,
		LatestConfiguration: r.board.LatestConfiguration,
		Quarantine:          r.quarantine.Add,
		AppliedVersions:     r.consumer.AppliedVersions,
	})
	for _, name := range set.UnknownDuties() {
		log.Warn(logging.UnknownDuty).Str("duty", name).Msg("the settings name a duty that this version does not know; it is not done")
	}
	r.host.Open(schema.MetaCell, founders)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return errStopped
	}
	if r.reloadedSettings != nil {
		r.host.SetSeeds(r.reloadedSettings.SeedHosts())
	}
	close(r.ready)
	return nil
}

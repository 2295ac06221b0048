package controlplane

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/controlplane/allocation"
	"comethold/internal/controlplane/distributor"
	"comethold/internal/controlplane/lease"
	"comethold/internal/controlplane/nodereports"
	"comethold/internal/controlplane/operatorapi"
	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/placement"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/discovery"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"

	"github.com/labstack/echo/v4"
)

const (
	// RequestTimeout bounds what a request between control nodes waits for.
	RequestTimeout = 1500 * time.Millisecond
)

// Roles under which leases are stored.
const (
	discoveryRole = "directory"
	placementRole = "mover"
	usageRole     = "usage"
)

// usageLease is what the usage reporter needs of its lease. *lease.Lease implements it.
type usageLease interface {
	Run(stop <-chan struct{})
	Held() (term uint64, held bool)
	Remaining(term uint64) time.Duration
	FenceCondition(term uint64) (condition paxos.Condition, held bool)
	Forfeit()
}

var errStopped = errors.New("registrar: told to end")

// Server is the control plane of one node.
type Server struct {
	settings    *settings.Settings
	log         *logging.Logger
	disk        storage.Disk
	network     rpc.Network
	ready       chan struct{} // closed once the vault is open: what follows is there
	storage     *storage.Store
	client      *rpc.Client
	host        *replicahost.Host
	distributor *distributor.Distributor
	longPoll    *distributor.LongPoll
	platform    *discovery.Client

	discoveryLease *lease.Lease
	placementLease *lease.Lease
	usageLease     usageLease
	mover          *placement.Mover
	operator       *operatorapi.Handler
	shares         *allocation.ShareService
	reports        *nodereports.Tracker
	quotas         quotaAllocation
	consumer       *outboxpublisher.Consumer
	publisher      *outboxpublisher.Publisher
	quarantine     *outboxpublisher.Quarantine
	usages         *Collector

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
	r := &Server{settings: set, log: log, disk: disk, network: n, client: rpc.NewClient(n), ready: make(chan struct{}), quit: make(chan struct{}),
		reports:       nodereports.NewTracker(),
		reconcileWake: make(chan struct{}, 1),
		usages:        NewCollector(n),
	}
	if set.Platform.Address != "" {
		r.platform = discovery.NewClient(n, set.Platform.Address, set.Platform.RatePerS)
	}
	return r
}

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
	r.openDistributor(v)
	r.storage = v
	hooks := replicahost.Hooks{
		OnApply:                r.onApply,
		EndpointRevision:       r.distributor.EndpointsRevision,
		OnPeerEndpointRevision: r.onPeerEndpoints,
		RegisteredAddresses:    r.distributor.ControlAddresses,
	}
	if set.ReportsUsage() {
		r.usages.Restore(v)
		hooks.ReadClocks = r.usages.Times
		hooks.OnPeerClocks = func(peer string, wall, agreed int64) {
			r.usages.clock.Observe(peer, wall, agreed, time.Now())
		}
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
	r.usageLease = newLease(usageRole, ReporterLeaseDuration, lease.ClockSkewFactor)
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
		LatestConfiguration: r.distributor.LatestConfiguration,
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
		r.reportUsageLoop,
		r.exportLoop,
	} {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); f() }()
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
		r.distributor.Close()
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

// requireReady turns callers away until the vault is open.
func (r *Server) requireReady(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !r.isReady() {
			return operatorapi.WriteError(c, operatorapi.ErrNotReady)
		}
		return next(c)
	}
}

// onApply runs on the host's loop. Leases are renewed several times a second:
// what a change does not touch is not read again.
func (r *Server) onApply(name string, what paxos.ChangedKeys) {
	m := r.host.Replica(name)
	if m == nil {
		return
	}
	if name != schema.MetaCell {
		r.distributor.SetMarks(schema.ReadEjections(name, m))
		return
	}
	wake := false
	if what.AnyWithPrefix(schema.ConfigVersionKey) {
		version, raw := schema.ReadConfig(m)
		go func() {
			if r.distributor.SetConfiguration(version, raw) {
				r.consumer.Wake()
			}
			r.wakeReconciler()
		}()
	}
	if what.AnyWithPrefix(schema.PurgeKeyPrefix) || what.AnyWithPrefix(schema.PurgeCompactedKey) {
		r.distributor.SetPurges(m)
	}
	if what.AnyWithPrefix(schema.OutboxKeyPrefix) {
		r.consumer.Wake()
	}
	if what.AnyWithPrefix(schema.NodeKeyPrefix) {
		r.distributor.SetNodes(m.AppliedIndex(), schema.ReadNodes(m))
		wake = true
	}
	if what.AnyWithPrefix(schema.IndexKeyPrefix) {
		r.syncIndexReplicas(schema.ReadIndexes(m))
		wake = true
	}
	if wake {
		r.wakeReconciler()
	}
}

// syncIndexReplicas opens and closes index cells as the exchange cell lists them.
func (r *Server) syncIndexReplicas(have map[string]schema.IndexRecord) {
	for ix, rec := range have {
		r.host.Open(ix, rec.Voters)
	}
	for _, ix := range r.host.Cells() {
		if _, ok := have[ix]; !ok && ix != schema.MetaCell {
			r.host.Close(ix)
			r.distributor.DropMarks(ix)
		}
	}
}

// OperatorHandler serves what the operator calls.
func (r *Server) OperatorHandler() *echo.Echo {
	e := newRouter(r.log)
	e.Use(r.requireReady)
	e.POST("/Configuration.Replace", func(c echo.Context) error { return r.operator.Replace(c) })
	e.POST("/Configuration.Amend", func(c echo.Context) error { return r.operator.Amend(c) })
	e.POST("/purge", func(c echo.Context) error { return r.operator.Purge(c) })
	e.GET("/Configuration.Read", func(c echo.Context) error { return r.operator.Read(c) })
	e.GET("/Notices.Read", func(c echo.Context) error { return r.operator.ReadOutbox(c) })
	e.GET("/Duties.Read", func(c echo.Context) error { return r.operator.ReadLeases(c) })
	e.GET("/Estimates.Read", r.readEstimates)
	e.GET("/Estimates.Saved", r.readSavedEstimates)
	e.POST("/Notices.Redrive", func(c echo.Context) error { return r.operator.Redrive(c) })
	return e
}

// InternalHandler serves what the system's own processes call.
func (r *Server) InternalHandler() *echo.Echo {
	e := newRouter(r.log)
	e.Use(r.requireReady)
	e.POST("/cells", func(c echo.Context) error {
		var b replicahost.Batch
		if err := rpc.DecodeRequest(c.Request().Body, &b); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		r.host.Receive(&b)
		return c.NoContent(http.StatusNoContent)
	})
	decide := func(f func(context.Context, *replicahost.ProposeRequest) replicahost.ProposeResult) echo.HandlerFunc {
		return func(c echo.Context) error {
			var p replicahost.ProposeRequest
			if err := rpc.DecodeRequest(c.Request().Body, &p); err != nil {
				return c.NoContent(http.StatusBadRequest)
			}
			ctx, cancel := context.WithTimeout(c.Request().Context(), RequestTimeout)
			defer cancel()
			return writeCBOR(c, f(ctx, &p))
		}
	}
	e.POST("/propose", decide(func(ctx context.Context, p *replicahost.ProposeRequest) replicahost.ProposeResult {
		return r.host.ProposeLocal(ctx, p.Cell, p.Txn)
	}))
	e.POST("/confirm", decide(func(ctx context.Context, p *replicahost.ProposeRequest) replicahost.ProposeResult {
		return r.host.ReadIndexLocal(ctx, p.Cell)
	}))
	e.POST(allocation.LeaderPath, r.handleShareDecision)
	e.POST("/move", func(c echo.Context) error {
		var o placement.MoveRequest
		if err := rpc.DecodeRequest(c.Request().Body, &o); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), RequestTimeout)
		defer cancel()
		return writeCBOR(c, r.mover.MoveLocal(ctx, &o))
	})
	e.POST("/list", func(c echo.Context) error {
		var l distribution.EndpointList
		if err := rpc.DecodeRequest(c.Request().Body, &l); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		if l.Endpoints != nil {
			return writeCBOR(c, r.distributor.SetEndpoints(&l))
		}
		return writeCBOR(c, r.distributor.EndpointsRevision())
	})
	e.POST("/list/read", func(c echo.Context) error {
		if l := r.distributor.Endpoints(); l != nil {
			return writeCBOR(c, l)
		}
		return c.NoContent(http.StatusNotFound)
	})
	e.POST("/usage", func(c echo.Context) error {
		var a WindowRequest
		if err := rpc.DecodeRequest(c.Request().Body, &a); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		return writeCBOR(c, r.usages.store.Window(a.Window))
	})
	e.POST(outboxpublisher.DeliverPath, func(c echo.Context) error {
		var list []outbox.Notification
		if err := rpc.DecodeRequest(c.Request().Body, &list); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		return writeCBOR(c, r.consumer.Receive(list))
	})
	e.POST("/feed", func(c echo.Context) error { return r.longPoll.Handle(c) })
	e.POST("/ration", r.handleRateShare)
	return e
}

func writeCBOR(c echo.Context, v any) error {
	b, err := rpc.Marshal(v)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeBody(b))
}

func newRouter(log *logging.Logger) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) (err error) {
			defer func() {
				if p := recover(); p != nil {
					log.Error(logging.RequestPanic).Any("panic", p).Str("path", c.Path()).Msg("a request failed inside")
					err = c.NoContent(http.StatusInternalServerError)
				}
			}()
			return next(c)
		}
	})
	return e
}

// recordNodeCall notes who calls and what they report.
func (r *Server) recordNodeCall(call *distribution.UpdateRequest) {
	if r.reports.Record(call, time.Now()) {
		r.wakeReconciler()
	}
}

func internalAddress(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// InternalAddress is where this program listens for the system's own processes.
func InternalAddress(set *settings.Settings) string {
	return internalAddress(set.IPAddress, set.PortOf(settings.ControlPlane))
}

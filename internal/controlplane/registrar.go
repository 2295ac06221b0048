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
	"comethold/internal/controlplane/lease"
	"comethold/internal/controlplane/metering"
	"comethold/internal/controlplane/nodereports"
	"comethold/internal/controlplane/outboxpublisher"
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
	settings *settings.Settings
	log      *logging.Logger
	disk     storage.Disk
	network  rpc.Network
	ready    chan struct{} // closed once the vault is open: what follows is there
	storage  *storage.Store
	client   *rpc.Client
	host     *replicahost.Host
	board    *Distributor
	platform *discovery.Client

	discoveryLease *lease.Lease
	placementLease *lease.Lease
	usageLease     *lease.Lease
	purgeRequests  chan *pendingPurge
	shares         *allocation.ShareService
	reports        *nodereports.Tracker
	quotas         quotaAllocation
	consumer       *outboxpublisher.Consumer
	publisher      *outboxpublisher.Publisher
	quarantine     *outboxpublisher.Quarantine
	usage          usageMetering
	startedAt      time.Time

	largeBodySlot chan struct{} // room for one large order that is read
	quit          chan struct{}
	stopOnce      sync.Once
	wg            sync.WaitGroup

	fetchingList     atomic.Bool // a list that another registrar holds is being fetched
	mu               sync.Mutex
	reloadedSettings *settings.Settings // the last that was reloaded
	stopped          bool
	reconcileWake    chan struct{}
}

// New makes a registrar. It asks nothing of the disk; Run does.
func New(set *settings.Settings, log *logging.Logger, n rpc.Network, disk storage.Disk) *Server {
	r := &Server{settings: set, log: log, disk: disk, network: n, client: rpc.NewClient(n), ready: make(chan struct{}), board: NewDistributor(), quit: make(chan struct{}), largeBodySlot: make(chan struct{}, 1),
		reports:       nodereports.NewTracker(),
		reconcileWake: make(chan struct{}, 1), purgeRequests: make(chan *pendingPurge, purgeQueueLength),
		usage: usageMetering{collector: metering.NewCollector()}, startedAt: time.Now()}
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
	if set.ReportsUsage() {
		r.usage.counts.Restore()
	}
	r.openAllocation(v)
	r.openOutbox(self, v)
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
		r.discoveryLoop, r.reconcileLoop, r.placementLoop, r.purgeLoop, func() { r.shares.Run(ctx) }, func() { r.quotas.renewer.Run(ctx) }, func() { r.quotas.watermarks.Run(ctx) }, func() { r.consumer.Run(ctx) }, func() { r.publisher.Run(ctx) }, r.exportLoop,
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

// requireReady turns callers away until the vault is open.
func (r *Server) requireReady(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !r.isReady() {
			return writeError(c, http.StatusServiceUnavailable, "the disk of this node does not answer yet")
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
		r.board.SetMarks(schema.ReadEjections(name, m))
		return
	}
	wake := false
	if what.AnyWithPrefix(schema.ConfigVersionKey) {
		version, raw := schema.ReadConfig(m)
		go func() {
			if r.board.SetConfiguration(version, raw) {
				r.consumer.Wake()
			}
			r.wakeReconciler()
		}()
	}
	if what.AnyWithPrefix(schema.PurgeKeyPrefix) || what.AnyWithPrefix(schema.PurgeCompactedKey) {
		r.board.SetPurges(m)
	}
	if what.AnyWithPrefix(schema.OutboxKeyPrefix) {
		r.consumer.Wake()
	}
	if what.AnyWithPrefix(schema.NodeKeyPrefix) {
		r.board.SetNodes(m.AppliedIndex(), schema.ReadNodes(m))
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
			r.board.DropMarks(ix)
		}
	}
}

// OperatorHandler serves what the operator calls.
func (r *Server) OperatorHandler() *echo.Echo {
	e := newRouter(r.log)
	e.Use(r.requireReady)
	e.POST("/Configuration.Replace", r.handleReplace)
	e.POST("/Configuration.Amend", r.handleAmend)
	e.POST("/purge", r.handlePurge)
	e.GET("/Configuration.Read", r.handleRead)
	e.GET("/Notices.Read", r.handleReadOutbox)
	e.GET("/Duties.Read", r.handleReadLeases)
	e.GET("/Estimates.Read", r.readEstimates)
	e.GET("/Estimates.Saved", r.readSavedEstimates)
	e.POST("/Notices.Redrive", r.handleRedrive)
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
		var o MoveRequest
		if err := rpc.DecodeRequest(c.Request().Body, &o); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), RequestTimeout)
		defer cancel()
		return writeCBOR(c, r.moveLocal(ctx, &o))
	})
	e.POST("/list", func(c echo.Context) error {
		var l distribution.EndpointList
		if err := rpc.DecodeRequest(c.Request().Body, &l); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		if l.Endpoints != nil {
			return writeCBOR(c, r.board.SetEndpoints(&l))
		}
		return writeCBOR(c, r.board.EndpointsVersion())
	})
	e.POST("/list/read", func(c echo.Context) error {
		if l := r.board.Endpoints(); l != nil {
			return writeCBOR(c, l)
		}
		return c.NoContent(http.StatusNotFound)
	})
	e.POST(metering.WindowPath, r.handleUsageWindow)
	e.POST(outboxpublisher.DeliverPath, func(c echo.Context) error {
		var list []outbox.Notification
		if err := rpc.DecodeRequest(c.Request().Body, &list); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		return writeCBOR(c, r.consumer.Receive(list))
	})
	e.POST("/feed", r.handleUpdates)
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

// handleUpdates answers a switch as soon as there is news.
func (r *Server) handleUpdates(c echo.Context) error {
	var call distribution.UpdateRequest
	if err := rpc.DecodeRequest(c.Request().Body, &call); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.recordNodeCall(&call)
	hold := time.NewTimer(longPollTimeout)
	defer hold.Stop()
	for {
		stale := r.host.QuorumContactAge() > replicahost.StaleAfter
		news, change := r.board.Update(&call, stale)
		if stale || call.Immediate || !news.Empty {
			return c.Blob(http.StatusOK, rpc.ContentType, news.Body)
		}
		select {
		case <-change:
		case <-hold.C:
			news, _ = r.board.Update(&call, r.host.QuorumContactAge() > replicahost.StaleAfter)
			return c.Blob(http.StatusOK, rpc.ContentType, news.Body)
		case <-c.Request().Context().Done():
			return nil
		case <-r.quit:
			return c.NoContent(http.StatusServiceUnavailable)
		}
	}
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

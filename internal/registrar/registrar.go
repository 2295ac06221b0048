package registrar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/cell"
	"comethold/internal/directory"
	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/settings"
	"comethold/internal/vault"
	"comethold/internal/wire"

	"github.com/labstack/echo/v4"
)

const (
	feedHold  = time.Second     // an answer without news comes after this
	staleFrom = 2 * time.Second // since a majority surely followed the proposer; others know it a beat or two later
)

var errEnded = errors.New("registrar: told to end")

// Registrar is the control plane of one node.
type Registrar struct {
	set   *settings.Settings
	log   *event.Log
	disk  vault.Disk
	net   wire.Net
	ready chan struct{} // closed once the vault is open: what follows is there
	host  *Host
	board *board
	plat  *directory.Platform

	poller   *duty
	mover    *duty
	reporter *duty
	recalls  chan *pendingRecall
	claims   chan *pendingClaim
	shares   map[feed.Shares]*shareKeeper
	quotas   *quotas
	notices  *noticeBox
	usages   *usages

	large chan struct{} // room for one large order that is read
	quit  chan struct{}
	once  sync.Once
	wg    sync.WaitGroup

	reading  atomic.Bool // a list that another registrar holds is being fetched
	mu       sync.Mutex
	newSet   *settings.Settings // the last that was reloaded
	ended    bool
	seen     map[string]seenNode
	suspects map[string]map[string]time.Time
	reports  map[string]map[string]time.Time
	wells    map[string]wellReport
	bad      map[string]feed.Report
	deskWake chan struct{}
}

// wellReport is kept for a while, should the mark not be lifted at once.
type wellReport struct {
	rep feed.Report
	at  time.Time
}

type seenNode struct {
	node feed.Node
	at   time.Time
}

// New makes a registrar. It asks nothing of the disk; Run does.
func New(set *settings.Settings, log *event.Log, n wire.Net, disk vault.Disk) *Registrar {
	r := &Registrar{set: set, log: log, disk: disk, net: n, ready: make(chan struct{}), board: newBoard(), quit: make(chan struct{}), large: make(chan struct{}, 1),
		seen: map[string]seenNode{}, suspects: map[string]map[string]time.Time{},
		reports: map[string]map[string]time.Time{}, wells: map[string]wellReport{}, bad: map[string]feed.Report{},
		deskWake: make(chan struct{}, 1), recalls: make(chan *pendingRecall, recallQueue),
		claims: make(chan *pendingClaim, 256), shares: newShareKeepers(), usages: newUsages(n)}
	if set.Platform.Address != "" {
		r.plat = directory.NewPlatform(n, set.Platform.Address, set.Platform.RatePerS)
	}
	return r
}

// open opens the vault, as often as it takes: a disk in trouble is no reason to end.
// Until then this registrar says nothing to the others and turns callers away.
func (r *Registrar) open() {
	failed := func(err error) {
		if errors.Is(err, vault.ErrDamaged) {
			r.log.Error(event.DiskDamaged).Err(err).Msg("the file of the cells is damaged and was put aside")
			return
		}
		r.log.Warn(event.DiskRefused).Err(err).Msg("the disk refuses a write or does not answer; trying again")
	}
	for ; ; time.Sleep(vault.RetryPause) {
		select {
		case <-r.quit:
			return
		default:
		}
		late := time.AfterFunc(vault.SilentAfter, func() { failed(vault.ErrSilent) })
		v, err := vault.Open(r.set.DataDirectory, r.disk, failed)
		if err == nil {
			if err = r.begin(v); err != nil {
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

// begin opens the cells of this node. The vault's name is on the disk by now.
func (r *Registrar) begin(v *vault.Vault) error {
	set, log := r.set, r.log
	var founders []cell.Seat
	if set.FirstStart {
		for _, a := range set.SeedHosts() {
			founders = append(founders, cell.Seat{ID: cell.MemberID(a), Addr: a})
		}
	}
	id, empty, err := Identity(v, set.IPAddress, set.FirstStart, vault.SetAside(set.DataDirectory), founders)
	if err != nil {
		return err
	}
	if empty && !set.FirstStart {
		log.Warn(event.DiskEmpty).Msg("the disk is empty on a later start: joining as a new member")
	}
	self := Hello{ID: id, Addr: set.IPAddress, Zone: set.AvailabilityZone, Name: set.NodeName}
	r.quotas, r.notices = newQuotas(set.Bounds.Quota(), v.Node(floorNote)), newNoticeBox(v.Node(inboxNote))
	// The list of the former life serves until the platform has been asked:
	// leafs are called by name, so one that is gone does no harm.
	if raw := v.Node("list"); raw != nil {
		var l feed.List
		if wire.Unmarshal(raw, &l) == nil {
			r.board.setList(&l)
		}
	}
	r.board.keep = func(l *feed.List) {
		if raw, err := wire.Marshal(l); err == nil {
			v.NoteNode("list", raw)
		}
	}
	r.host = NewHost(self, set.PortOf(settings.Registrar), set.SeedHosts(), v, r.net, log)
	r.host.changed = r.cellChanged
	r.host.listed, r.host.seen = r.board.stamp, r.listSeen
	r.host.listing = r.board.registrars
	r.poller = newDuty(r.host, "directory", pollHold, fencedSpread)
	r.mover = newDuty(r.host, "mover", moveHold, fencedSpread)
	r.reporter = newDuty(r.host, "usage", usageHold, clockSpread)
	if set.ReportsUsage() {
		r.usages.restore(v)
		r.host.times, r.host.timeSeen = r.usages.times, func(peer string, wall, agreed int64) {
			r.usages.clock.Heard(peer, wall, agreed, time.Now())
		}
	}
	for _, name := range set.UnknownDuties() {
		log.Warn(event.DutyUnknown).Str("duty", name).Msg("the settings name a duty that this version does not know; it is not done")
	}
	r.host.Open(ExchangeCell, founders)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return errEnded
	}
	if r.newSet != nil {
		r.host.seeds = r.newSet.SeedHosts()
	}
	close(r.ready)
	return nil
}

// Run does the work until Stop.
func (r *Registrar) Run() error {
	go r.open()
	select {
	case <-r.ready:
	case <-r.quit:
		if !r.isReady() {
			return nil
		}
	}
	for _, f := range []func(){
		func() { r.poller.run(r.quit) },
		func() { r.mover.run(r.quit) },
		r.pollLoop, r.deskLoop, r.moveLoop, r.recallLoop, r.claimLoop, r.quotaLoop, r.floorLoop, r.noticeLoop, r.publishLoop, r.usageLoop, r.exportLoop,
	} {
		r.wg.Add(1)
		go func() { defer r.wg.Done(); f() }()
	}
	return r.host.Run()
}

// Stop ends the duties, then the cells.
func (r *Registrar) Stop() {
	r.once.Do(func() {
		r.mu.Lock()
		r.ended = true
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
		_ = r.host.vault.Close()
	})
}

// Reload takes new settings: the seeds may have been exchanged.
func (r *Registrar) Reload(set *settings.Settings) {
	r.mu.Lock()
	r.newSet = set
	r.mu.Unlock()
	if r.isReady() {
		r.host.do(func() { r.host.seeds = set.SeedHosts() })
	}
}

func (r *Registrar) isReady() bool {
	select {
	case <-r.ready:
		return true
	default:
		return false
	}
}

// untilReady turns callers away until the vault is open.
func (r *Registrar) untilReady(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !r.isReady() {
			return refuse(c, http.StatusServiceUnavailable, "the disk of this node does not answer yet")
		}
		return next(c)
	}
}

// cellChanged runs on the host's loop. Leases are renewed several times a second:
// what a change does not touch is not read again.
func (r *Registrar) cellChanged(name string, what cell.Touched) {
	m := r.host.cells[name]
	if m == nil {
		return
	}
	if name != ExchangeCell {
		r.board.setMarks(marksOf(name, m))
		return
	}
	wake := false
	if what.Any(keyVersion) {
		version, raw := configOf(m)
		go func() {
			if r.board.setConfig(version, raw) {
				r.wakeNotices()
			}
			r.wakeDesk()
		}()
	}
	if what.Any(keyRecall) || what.Any(keyFloor) {
		r.board.setRecalls(m)
	}
	if what.Any(keyOutbox) {
		r.wakeNotices()
	}
	if what.Any(keyNode) {
		r.board.setNodes(m.Applied(), nodesOf(m))
		wake = true
	}
	if what.Any(keyIndex) {
		r.openIndexes(indexesOf(m))
		wake = true
	}
	if wake {
		r.wakeDesk()
	}
}

// openIndexes opens and closes index cells as the exchange cell lists them.
func (r *Registrar) openIndexes(have map[string]indexRecord) {
	for ix, rec := range have {
		if r.host.cells[ix] == nil {
			r.host.Open(ix, rec.Seats)
		}
	}
	for ix := range r.host.cells {
		if _, ok := have[ix]; !ok && ix != ExchangeCell {
			r.host.Close(ix)
			r.board.dropMarks(ix)
		}
	}
}

// Operator serves what the operator calls.
func (r *Registrar) Operator() *echo.Echo {
	e := newEcho(r.log)
	e.Use(r.untilReady)
	e.POST("/Configuration.Replace", r.replace)
	e.POST("/Configuration.Amend", r.amend)
	e.POST("/purge", r.purge)
	e.GET("/Configuration.Read", r.read)
	e.GET("/Notices.Read", r.readNotices)
	e.GET("/Duties.Read", r.readDuties)
	e.GET("/Estimates.Read", r.readEstimates)
	e.GET("/Estimates.Saved", r.savedEstimates)
	e.POST("/Notices.Redrive", r.redriveNotice)
	return e
}

// Inner serves what the system's own processes call.
func (r *Registrar) Inner() *echo.Echo {
	e := newEcho(r.log)
	e.Use(r.untilReady)
	e.POST("/cells", func(c echo.Context) error {
		var b Batch
		if err := wire.Read(c.Request().Body, &b); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		r.host.Receive(&b)
		return c.NoContent(http.StatusNoContent)
	})
	decide := func(f func(context.Context, *proposal) verdict) echo.HandlerFunc {
		return func(c echo.Context) error {
			var p proposal
			if err := wire.Read(c.Request().Body, &p); err != nil {
				return c.NoContent(http.StatusBadRequest)
			}
			ctx, cancel := context.WithTimeout(c.Request().Context(), orderPatience)
			defer cancel()
			return answer(c, f(ctx, &p))
		}
	}
	e.POST("/propose", decide(func(ctx context.Context, p *proposal) verdict {
		return r.host.proposeHere(ctx, p.Cell, p.Txn)
	}))
	e.POST("/confirm", decide(func(ctx context.Context, p *proposal) verdict {
		return r.host.readHere(ctx, p.Cell)
	}))
	e.POST("/claim", func(c echo.Context) error {
		var claim feed.Claim
		if err := wire.Read(c.Request().Body, &claim); err != nil || r.shares[claim.Of] == nil {
			return c.NoContent(http.StatusBadRequest)
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), orderPatience)
		defer cancel()
		return answer(c, r.claimHere(ctx, claim))
	})
	e.POST("/move", func(c echo.Context) error {
		var o moveOrder
		if err := wire.Read(c.Request().Body, &o); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), orderPatience)
		defer cancel()
		return answer(c, r.moveHere(ctx, &o))
	})
	e.POST("/list", func(c echo.Context) error {
		var l feed.List
		if err := wire.Read(c.Request().Body, &l); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		if l.Leafs != nil {
			return answer(c, r.board.setList(&l))
		}
		return answer(c, r.board.stamp())
	})
	e.POST("/list/read", func(c echo.Context) error {
		if l := r.board.getList(); l != nil {
			return answer(c, l)
		}
		return c.NoContent(http.StatusNotFound)
	})
	e.POST("/usage", func(c echo.Context) error {
		var a usageAsk
		if err := wire.Read(c.Request().Body, &a); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		return answer(c, r.usages.book.Of(a.Window))
	})
	e.POST("/notices", func(c echo.Context) error {
		var list []notice.Notice
		if err := wire.Read(c.Request().Body, &list); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		return answer(c, r.noticesHeard(list))
	})
	e.POST("/feed", r.feed)
	e.POST("/ration", r.ration)
	return e
}

func answer(c echo.Context, v any) error {
	b, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, wire.ContentType, wire.Pack(b))
}

func newEcho(log *event.Log) *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) (err error) {
			defer func() {
				if p := recover(); p != nil {
					log.Error(event.RequestPanic).Any("panic", p).Str("path", c.Path()).Msg("a request failed inside")
					err = c.NoContent(http.StatusInternalServerError)
				}
			}()
			return next(c)
		}
	})
	return e
}

func (r *Registrar) fresh() time.Duration {
	var f time.Duration
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			f = m.Fresh(r.host.now())
		}
	})
	return f
}

// feed answers a switch as soon as there is news.
func (r *Registrar) feed(c echo.Context) error {
	var call feed.Call
	if err := wire.Read(c.Request().Body, &call); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.hear(&call)
	hold := time.NewTimer(feedHold)
	defer hold.Stop()
	for {
		stale := r.fresh() > staleFrom
		news, change := r.board.answer(&call, stale)
		if stale || call.Now || !news.empty {
			return c.Blob(http.StatusOK, wire.ContentType, news.body)
		}
		select {
		case <-change:
		case <-hold.C:
			news, _ = r.board.answer(&call, r.fresh() > staleFrom)
			return c.Blob(http.StatusOK, wire.ContentType, news.body)
		case <-c.Request().Context().Done():
			return nil
		case <-r.quit:
			return c.NoContent(http.StatusServiceUnavailable)
		}
	}
}

// hear notes who calls and what they report.
func (r *Registrar) hear(call *feed.Call) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	wake := false
	if call.Node.Name != "" {
		_, known := r.seen[call.Node.Name]
		r.seen[call.Node.Name] = seenNode{call.Node, now}
		wake = !known
	}
	for _, name := range call.Suspects {
		if r.suspects[name] == nil {
			r.suspects[name] = map[string]time.Time{}
		}
		r.suspects[name][call.Node.Name] = now
	}
	for _, rep := range call.Reports {
		wake = true
		if rep.Well {
			r.wells[rep.Leaf] = wellReport{rep, now}
			delete(r.reports, rep.Leaf)
			continue
		}
		delete(r.wells, rep.Leaf)
		if r.reports[rep.Leaf] == nil {
			r.reports[rep.Leaf] = map[string]time.Time{}
		}
		r.reports[rep.Leaf][call.Node.Name] = now
		r.bad[rep.Leaf] = rep
	}
	if wake {
		r.wakeDesk()
	}
}

func innerAddr(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// InnerAddress is where this program listens for the system's own processes.
func InnerAddress(set *settings.Settings) string {
	return innerAddr(set.IPAddress, set.PortOf(settings.Registrar))
}

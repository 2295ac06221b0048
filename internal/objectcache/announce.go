package objectcache

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/ratelimit"
	"comethold/internal/responsecache"
	"comethold/internal/routing"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"
	"comethold/internal/upstream"

	"github.com/labstack/echo/v4"
)

// Pacing of an announcer. Ours; see docs/design.md.
const (
	shareRenewInterval  = 800 * time.Millisecond
	statisticsInterval  = 5 * time.Second
	refreshFraction     = 0.8 // of its time, after which a copy that is asked for is renewed
	queueTimeDivisor    = 3   // a read waits for its turn at most this part of its time
	maxReadAttempts     = 3
	minReadTimeout      = 600 * time.Millisecond
	maxCatchUpWait      = 400 * time.Millisecond
	switchSourceAfter   = 100 * time.Millisecond  // after which news are sought elsewhere
	disconnectedAfter   = 3500 * time.Millisecond // without word of the majority; the share has ended by then
	catchUpPollInterval = 5 * time.Millisecond
	cacheMemoryFraction = 0.45 // of the process's memory, for recordings
	defaultCacheBytes   = 64 << 20
	slotOvercommit      = 1.6 // reads under way per slot of a leaf, over all announcers
)

// Headers of objects.
const (
	headerETag   = "Etag"
	headerLabels = "X-Comethold-Object-Labels"
)

// Server keeps objects for all switches.
type Server struct {
	*controlclient.Client
	peers     *cacheClient
	fetcher   *Fetcher
	limiter   *ratelimit.Limiter
	scheduler *readScheduler
	latency   *latencyTracker
	store     *diskStore
	rpcClient *rpc.Client
}

// New makes an announcer; dir holds its copies on disk, if not empty.
func New(set *settings.Settings, log *logging.Logger, n rpc.Network) *Server {
	o := controlclient.New(controlclient.Options{Settings: set, Log: log, Program: settings.ObjectCache, Network: n})
	room := defaultCacheBytes
	if set.Limits.MemoryMb > 0 {
		room = int(cacheMemoryFraction * float64(set.Limits.MemoryMb<<20))
	}
	a := &Server{Client: o, peers: newCacheClient(o), limiter: ratelimit.New(), latency: newLatencyTracker(), rpcClient: rpc.NewClient(n)}
	a.scheduler = newReadScheduler(a.limiter, o.Upstreams.Reserve, o.Upstreams.Release)
	rec := responsecache.New(room)
	a.fetcher = NewFetcher(rec, o, set.Bounds.StaleSlack(), refreshFraction, a.fetchObject)
	o.OnPurges(a.fetcher.ApplyPurges)
	o.Upstreams.SetSlotOvercommit(slotOvercommit)
	if set.DataDirectory != "" {
		s, pos := openDiskStore(set.DataDirectory, storeCapacity(set.Limits.DiskMb), storage.LocalDisk{}, log)
		a.store = s
		s.load(rec.Put)
		o.SetInitialPurgeIndex(pos)
		a.fetcher.onCached = s.put
		o.OnPurges(func(c *distribution.PurgeUpdate) {
			a.fetcher.ApplyPurges(c)
			s.applyPurges(c)
		})
		log.Info(logging.DiskCacheOpened).Int("copies", rec.Len()).Uint64("pos", pos).Msg("copies found on disk")
	}
	return a
}

// RunShareRenewal keeps the node's share of the origins' rates until it ends.
func (a *Server) RunShareRenewal() error {
	fair, failures, turn := 0, 0, distribution.NewRequestNumber()
	for {
		next, ok := a.renewShare(fair, failures, turn.Next())
		if ok {
			fair, failures = next, 0
		} else {
			failures++
		}
		pause := shareRenewInterval
		if !ok || a.limiter.Share(time.Now()) == 0 {
			pause = shareRenewInterval / 16
		}
		select {
		case <-time.After(time.Duration((0.8 + 0.4*rand.Float64()) * float64(pause))):
		case <-a.Done():
			return nil
		}
	}
}

// renewShare claims what was fair at the last renewal; it returns what is fair now.
func (a *Server) renewShare(fair, skip int, turn distribution.RequestNumber) (int, bool) {
	// What is to be given up is not used any more from before it is said.
	a.limiter.Shrink(fair)
	asked := time.Now()
	fresh := a.limiter.Share(asked) == 0
	if fresh {
		a.limiter.Shrink(0)
	}
	ctx, cancel := context.WithTimeout(context.Background(), ratelimit.LeaseDuration/3)
	defer cancel()
	var g distribution.ShareGrant
	addrs := a.ControlPlaneHosts()
	err := a.rpcClient.Call(ctx, addrs[skip%len(addrs)], "/ration", &distribution.ShareRequest{Node: a.Settings.NodeName, Permille: fair, HoldsNone: fresh, Number: turn}, &g)
	if err != nil || !g.Granted {
		return fair, false
	}
	if g.Permille != a.limiter.Share(asked) {
		a.Log.Info(logging.RateShareChanged).Int("permille", g.Permille).Int("fair", g.FairPermille).Msg("the share of the origins' rates moved")
	}
	a.limiter.Renew(g.Permille, asked.Add(ratelimit.LeaseDuration))
	return g.FairPermille, true
}

// RunStatistics notes now and then how the reads of origins go.
func (a *Server) RunStatistics() error {
	t := time.NewTicker(statisticsInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-a.Done():
			return nil
		}
		c := a.latency.takeStatistics()
		if c.reads+c.revalidated+c.rejected > 0 {
			a.Log.Info(logging.OriginReadStatistics).Int("reads", c.reads).Int("renewed", c.revalidated).Int("refused", c.rejected).
				Dur("readMs", c.readTime/time.Duration(max(1, c.reads))).Dur("renewMs", c.revalidateTime/time.Duration(max(1, c.revalidated))).
				Dur("waitMs", c.waitTime/time.Duration(max(1, c.reads+c.revalidated))).Msg("reads of origins")
		}
	}
}

// InternalHandler serves other nodes.
func (a *Server) InternalHandler() *echo.Echo {
	e := a.Client.InternalHandler()
	e.POST("/object", a.handleObject)
	e.POST("/errand", a.handlePermit)
	return e
}

// Shutdown ends the announcer in order.
func (a *Server) Shutdown() {
	a.Client.Close()
	if a.store != nil {
		a.store.close()
	}
}

func (a *Server) handleObject(c echo.Context) error {
	var o objectCall
	if err := rpc.DecodeRequest(c.Request().Body, &o); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	b, err := rpc.Marshal(a.serveObject(&o))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeUncompressedBody(b))
}

// waitUntilCurrent waits until this node knows what the asker knows.
func (a *Server) waitUntilCurrent(o *objectCall, until time.Time) *routing.RouteTable {
	start, told := time.Now(), false
	for {
		p := a.RouteTable()
		if p != nil && p.Version >= o.ConfigVersion && a.PurgeIndex() >= o.PurgeIndex && a.Ready() && a.Confirmed() {
			return p
		}
		if !time.Now().Before(until) {
			return nil
		}
		if !told && time.Since(start) > switchSourceAfter && a.Ready() {
			told = true
			a.SwitchSource()
		}
		time.Sleep(catchUpPollInterval)
	}
}

func (a *Server) serveObject(o *objectCall) *objectReply {
	start := time.Now()
	deadline := start.Add(time.Duration(o.WaitMs) * time.Millisecond)
	plan := a.waitUntilCurrent(o, start.Add(min(maxCatchUpWait, time.Duration(o.WaitMs)*time.Millisecond/2)))
	if plan == nil {
		return &objectReply{Status: http.StatusServiceUnavailable, Reason: "the announcer is behind", RetryMs: 100, Disconnected: a.Disconnected(disconnectedAfter)}
	}
	path, _, _ := strings.Cut(o.Target, "?")
	line := plan.Match(o.Host, path)
	if line == nil || line.RouteKind != routing.KindCacheable {
		return &objectReply{Status: http.StatusServiceUnavailable, Reason: "the route is no more", RetryMs: 100}
	}
	w := Request{Host: o.Host, Target: o.Target, TTL: line.CacheTTL(), Deadline: deadline, OriginOnly: o.OriginOnly, Waiters: o.Waiters}
	rec, no := a.fetcher.Get(w)
	if no != nil {
		return &objectReply{Status: no.Status, Reason: no.Reason, Header: no.Header, Body: no.Body, RetryMs: no.RetryAfter.Milliseconds(), Disconnected: no.disconnected}
	}
	// A purge that came since is known to the asker by this position, or will
	// be compared with it when it comes.
	r := &objectReply{Service: rec.Service, ETag: rec.ETag, PurgeIndex: rec.PurgeIndex, AgeUs: rec.Age(time.Now()).Microseconds()}
	if o.ETag != "" && o.ETag == rec.ETag {
		r.NotModified = true
		return r
	}
	r.Labels, r.Header, r.Body = rec.Labels, rec.Header, rec.Body
	return r
}

// fetchObject gets an object from the announcer that is its home, or from the origin.
func (a *Server) fetchObject(w Request, old *responsecache.Response, pos uint64) (*responsecache.Response, *Failure) {
	if !w.OriginOnly {
		for i, n := range a.peers.rankedCaches(responsecache.Key(w.Host, w.Target), false) {
			if n.Name == a.Settings.NodeName || i == maxCachesTried {
				break
			}
			rec, no, err := a.peers.fetch(n, w, old, pos, true)
			if err == nil {
				return rec, no
			}
			a.peers.markFailed(n)
		}
	}
	return a.readOrigin(w, old)
}

// readOrigin reads the origin.
func (a *Server) readOrigin(w Request, old *responsecache.Response) (*responsecache.Response, *Failure) {
	if a.Disconnected(disconnectedAfter) {
		return nil, &Failure{Status: http.StatusServiceUnavailable, Reason: "the announcer is out of touch", RetryAfter: 300 * time.Millisecond, disconnected: true}
	}
	plan := a.RouteTable()
	path, _, _ := strings.Cut(w.Target, "?")
	line := plan.Match(w.Host, path)
	if line == nil || line.RouteKind != routing.KindCacheable {
		return nil, newFailure(http.StatusNotFound, "no route")
	}
	service := line.PickService(rand.Float64())
	rate := 0.0
	if s := plan.Services[service]; s != nil {
		rate = s.RatePerSecond
	}
	// The read serves everybody who waits for the object and those to come; it
	// goes by the route's time, not by that of who asked first.
	start := time.Now()
	deadline := start.Add(line.Timeout)
	last := newFailure(http.StatusBadGateway, "the origin's answer was lost")
	ran := false
	var tried []*upstream.Endpoint
	for try := 0; try < maxReadAttempts; try++ {
		asked := time.Now()
		t, back := a.scheduler.admit(&queuedRead{service: service, rate: rate, waiters: w.demand, tried: tried,
			deadline: asked.Add(deadline.Sub(asked) / queueTimeDivisor)})
		waited := time.Since(asked)
		a.latency.record(func(c *readStatistics) {
			c.waitTime += waited
			if t == nil {
				c.rejected++
			}
		})
		if t == nil {
			if ran {
				return nil, last
			}
			return nil, &Failure{Status: http.StatusServiceUnavailable, Reason: "the origin takes no more reads now", RetryAfter: back}
		}
		// Each read has an id of its own, so that an answer to an earlier one is known.
		r := &upstream.Request{Method: http.MethodGet, Target: w.Target, Host: w.Host, Header: http.Header{}, ID: newReadID()}
		if old != nil && old.ETag != "" && old.Service == service {
			r.Header["If-None-Match"] = []string{old.ETag}
		}
		pos, began := a.PurgeIndex(), time.Now()
		r.Deadline = began.Add(min(deadline.Sub(began), max(minReadTimeout, a.latency.timeout(service))))
		ans, err := a.Upstreams.Call(t, r)
		tried = append(tried, t)
		switch how := upstream.OutcomeOf(ans, err); {
		case how == upstream.Executed && ans.Status == http.StatusNotModified && old != nil && r.Header["If-None-Match"] != nil:
			took := time.Since(began)
			a.latency.record(func(t *readStatistics) { t.revalidated++; t.revalidateTime += took })
			again := *old
			again.ValidatedAt, again.PurgeIndex = began, pos
			return &again, nil
		case how == upstream.Executed && ans.Status == http.StatusOK && ans.IsSuccess():
			took := time.Since(began)
			a.latency.observe(service, took)
			a.latency.record(func(t *readStatistics) { t.reads++; t.readTime += took })
			return &responsecache.Response{Host: w.Host, Target: w.Target, Service: service, ETag: ans.Header.Get(headerETag),
				Labels: strings.Fields(ans.Header.Get(headerLabels)), Header: objectHeader(ans.Header), Body: ans.Body, ValidatedAt: began, PurgeIndex: pos}, nil
		case how == upstream.Rejected:
			if ans.Status == http.StatusTooManyRequests {
				a.Log.Warn(logging.OriginRateExceeded).Str("service", service).Msg("the origin says that its rate is spent")
			}
			if !ran {
				last = &Failure{Status: http.StatusServiceUnavailable, Reason: "the origin turns reads away", RetryAfter: 200 * time.Millisecond}
			}
		case how == upstream.Executed && ans.Status/100 != 2 && ans.Status/100 != 3:
			ran = true
			last = &Failure{Status: ans.Status, Reason: "the origin's own failure", Header: objectHeader(ans.Header), Body: ans.Body}
			if ans.Status/100 == 4 {
				return nil, last // asking again changes nothing
			}
		case how == upstream.NotSent:
			if !ran {
				last = &Failure{Status: http.StatusServiceUnavailable, Reason: "the origin cannot be reached", RetryAfter: 200 * time.Millisecond}
			}
		default:
			ran = true
			last = newFailure(http.StatusBadGateway, "the origin's answer was lost")
		}
		if time.Until(deadline) < minReadTimeout {
			break
		}
	}
	return nil, last
}

func newReadID() string { return "r" + strconv.FormatUint(rand.Uint64(), 36) }

// objectHeader is what a recording keeps of a leaf's header.
func objectHeader(h http.Header) http.Header {
	out := upstream.EndToEndHeaders(h)
	delete(out, upstream.HeaderInstanceID)
	return out
}

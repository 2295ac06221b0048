package proxy

import (
	"errors"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/logging"
	"comethold/internal/objectcache"
	"comethold/internal/routing"
	"comethold/internal/scatter"
	"comethold/internal/upstream"

	"github.com/labstack/echo/v4"
)

// frontend serves the clients.
type frontend struct {
	office     *controlclient.Client
	dispatcher *scatter.Dispatcher
	objects    *objectcache.Client // nil outside content deployments
	tokens     *tokenClient
	usage      *usageReporter // nil where nobody wants counts
	log        *logging.Logger

	draining            atomic.Bool
	mu                  sync.Mutex
	idleConnections     map[net.Conn]idleConnection
	lastSweep           time.Time
	idleTimeout         time.Duration // of idle connections, as last seen
	previousIdleTimeout time.Duration // the one before, where it was longer, which holds on
	previousIdleUntil   time.Time     // up to this moment for those who have yet to hear of it
	pending             map[*pendingRequest]struct{}
	closed              bool // what is open was answered; nothing is begun any more
}

// idleConnection is since when a connection is idle, and the longest limit that was in force since:
// a client goes by the one that it knew.
type idleConnection struct {
	since   time.Time
	timeout time.Duration
}

// pendingRequest is a request whose answer has yet to be begun.
type pendingRequest struct {
	mu         sync.Mutex
	writer     http.ResponseWriter
	dispatched bool // a leaf may have been asked
	answered   bool // the answer is on its way
}

// markDispatched is called before a leaf is asked; it must not be if the answer is given already.
func (p *pendingRequest) markDispatched() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatched = true
	return !p.answered
}

// claimAnswer gives the right to answer to the first who wants it.
func (p *pendingRequest) claimAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.answered
	p.answered = true
	return first
}

const (
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxHeaderBytes = 64 << 10
	headerReadTimeout     = 30 * time.Second // for the head of a request
	deadlineMarginPerHop  = 2 * time.Millisecond
	idleTimeoutNotice     = time.Second // past the time for a configuration, in which its limits are known

	headerAuthorization = "Authorization"
	// revocationMargin is how old the word of the majority may be that a registrar
	// passes on, and the time that takes.
	revocationMargin = 2500 * time.Millisecond
)

func newFrontend(o *controlclient.Client, a *scatter.Dispatcher, objects *objectcache.Client, log *logging.Logger) *frontend {
	return &frontend{office: o, dispatcher: a, objects: objects, tokens: newTokenClient(o), usage: newUsageReporter(o), log: log, idleConnections: map[net.Conn]idleConnection{}, pending: map[*pendingRequest]struct{}{}}
}

// newHTTPServer makes the server of the clients' port. Every request goes to serve:
// hosts and paths are the operator's, so echo routes none of them itself.
func (f *frontend) newHTTPServer() *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc { return f.serve })
	return &http.Server{Handler: e, ConnState: f.connState, ReadHeaderTimeout: headerReadTimeout,
		MaxHeaderBytes: 1 << 20, ErrorLog: nil, DisableGeneralOptionsHandler: true}
}

func (f *frontend) connState(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == http.StateIdle {
		now := time.Now()
		f.idleConnections[c] = idleConnection{since: now, timeout: f.effectiveIdleTimeout(now)}
	} else {
		delete(f.idleConnections, c)
	}
}

// effectiveIdleTimeout is for how long a client may leave a connection idle from now on, 0 without a
// plan. Where it has become shorter, clients hear of that later than this node.
func (f *frontend) effectiveIdleTimeout(now time.Time) time.Duration {
	p := f.office.RouteTable()
	if p == nil {
		return 0
	}
	limit := time.Duration(p.Limits.IdleTimeoutMs) * time.Millisecond
	if limit <= 0 {
		limit = math.MaxInt64
	}
	if limit < f.idleTimeout {
		if now.After(f.previousIdleUntil) || f.previousIdleTimeout < f.idleTimeout {
			f.previousIdleTimeout = f.idleTimeout
		}
		f.previousIdleUntil = now.Add(f.office.Settings.Bounds.ConfigApplyTimeout() + idleTimeoutNotice)
	}
	f.idleTimeout = limit
	if now.Before(f.previousIdleUntil) {
		return max(limit, f.previousIdleTimeout)
	}
	return limit
}

// closeIdleConnections closes connections that clients leave idle for too long. After a standstill of
// this node it gives them a turn first: their requests may be here and not read yet.
func (f *frontend) closeIdleConnections() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.effectiveIdleTimeout(now)
	if limit <= 0 {
		return
	}
	stood := now.Sub(f.lastSweep) > 4*maintenanceInterval
	f.lastSweep = now
	for c, r := range f.idleConnections {
		if r.timeout < limit {
			r.timeout = limit
			f.idleConnections[c] = r
		}
		if now.Sub(r.since) > r.timeout && !stood {
			_ = c.Close()
			delete(f.idleConnections, c)
		}
	}
}

// abortPending answers what is open when the node must end: a connection that ends without an
// answer leaves the client in doubt of what it was sent.
func (f *frontend) abortPending() {
	f.mu.Lock()
	f.closed = true
	open := slices.Collect(maps.Keys(f.pending))
	f.mu.Unlock()
	for _, p := range open {
		f.abort(p)
	}
}

func (f *frontend) abort(p *pendingRequest) {
	p.mu.Lock() // until it is written: whoever handles the request waits for that
	defer p.mu.Unlock()
	if p.answered {
		return
	}
	p.answered = true
	h := p.writer.Header()
	h.Set("Connection", "close")
	if p.dispatched {
		_ = f.writeError(p.writer, http.StatusBadGateway, "this node ends before the answer")
	} else {
		h.Set("Retry-After", "0.05")
		_ = f.writeError(p.writer, http.StatusServiceUnavailable, "this node ends")
	}
	_ = http.NewResponseController(p.writer).Flush()
}

// register notes a request that has been read; after the end it is answered at once.
func (f *frontend) register(w http.ResponseWriter) (p *pendingRequest, ok bool) {
	p = &pendingRequest{writer: w}
	f.mu.Lock()
	f.pending[p] = struct{}{}
	ended := f.closed
	f.mu.Unlock()
	if ended {
		f.abort(p)
	}
	return p, !ended
}

func (f *frontend) unregister(p *pendingRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, p)
}

func (f *frontend) writeError(w http.ResponseWriter, status int, why string) error {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(why)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, why+"\n")
	return nil
}

// serve handles one request under the plan that is in force as it arrives.
func (f *frontend) serve(c echo.Context) (err error) {
	start := time.Now()
	w, r := c.Response().Writer, c.Request()
	var p *pendingRequest
	defer func() {
		if e := recover(); e != nil {
			f.log.Error(logging.RequestPanic).Any("panic", e).Msg("a request failed inside")
			if p != nil && !p.claimAnswer() {
				return
			}
			err = f.writeError(w, http.StatusInternalServerError, "internal failure")
		}
	}()
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	plan := f.office.RouteTable()
	if plan == nil {
		w.Header().Set("Retry-After", "0.5")
		return f.writeError(w, http.StatusServiceUnavailable, "no configuration yet")
	}
	target, path := requestTarget(r)
	line := plan.Match(r.Host, path)
	if line == nil {
		return f.writeError(w, http.StatusNotFound, "no route")
	}
	if span := f.office.Settings.Bounds.RevocationTimeout(); span > 0 && plan.RequiresKey() && f.office.Disconnected(span-revocationMargin) {
		w.Header().Set("Retry-After", "0.5")
		return f.writeError(w, http.StatusServiceUnavailable, "no word of which keys are still good")
	}
	identity, known := plan.Authenticate(line, r.Header[headerAuthorization])
	tenant, own := identity.Tenant, identity.OwnCredentials
	if !known {
		w.Header().Set("WWW-Authenticate", "Token")
		return f.writeError(w, http.StatusUnauthorized, "needs a key that is known")
	}
	req, status, why := f.readRequest(w, r, plan, target)
	if status != 0 {
		return f.writeError(w, status, why)
	}
	var ok bool
	p, ok = f.register(w)
	defer f.unregister(p)
	if !ok {
		return nil
	}
	delete(req.Header, upstream.HeaderTenant) // ours to say, whatever the client sent
	if own {
		delete(req.Header, headerAuthorization)
	}
	if tenant != nil {
		req.Header[upstream.HeaderTenant] = []string{tenant.Name}
	}
	left := line.Timeout
	if v := r.Header.Get(upstream.HeaderDeadlineRemaining); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms > 0) || ms > 1e12 {
			if !p.claimAnswer() {
				return nil
			}
			return f.writeError(w, http.StatusBadRequest, upstream.HeaderDeadlineRemaining+" holds no time")
		}
		left = min(left, time.Duration(ms*float64(time.Millisecond))-deadlineMarginPerHop)
	}
	req.Deadline = start.Add(max(left, time.Millisecond))
	if tenant != nil {
		if a := f.tokens.admit(tenant, line.TargetLatency, left, start); !a.granted {
			if !p.claimAnswer() {
				return nil
			}
			w.Header().Set("Retry-After", strconv.FormatFloat(max(a.retryAfter, time.Millisecond).Seconds(), 'f', 3, 64))
			if a.limited {
				return f.writeError(w, http.StatusTooManyRequests, "the tenant is at its limit")
			}
			return f.writeError(w, http.StatusServiceUnavailable, "no word of what the tenant may send")
		}
	}
	ran := func(time.Time) {}
	if tenant != nil && f.usage != nil {
		ran = func(at time.Time) { f.usage.recordExecuted(tenant.Name, at) }
	}
	if !p.markDispatched() {
		return nil
	}
	var a *scatter.Reply
	if f.objects != nil && line.RouteKind == routing.KindCacheable && r.Method == http.MethodGet {
		a = f.serveObject(line, req, r.Header)
		if a.Status/100 == 2 {
			ran(time.Now()) // on these routes what counts is a success
		}
	} else {
		a = f.dispatcher.Dispatch(line, req, start, ran)
	}
	if !p.claimAnswer() {
		return nil
	}
	return f.writeReply(w, r.Method, a)
}

// requestTarget returns the raw target and its path.
func requestTarget(r *http.Request) (target, path string) {
	target = r.RequestURI
	if !strings.HasPrefix(target, "/") {
		if r.Method == http.MethodConnect || r.URL == nil || r.URL.Path == "" {
			return target, ""
		}
		target = r.URL.RequestURI()
	}
	path = target
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	return target, path
}

// readRequest takes in the whole request within the limits.
func (f *frontend) readRequest(w http.ResponseWriter, r *http.Request, plan *routing.RouteTable, target string) (*upstream.Request, int, string) {
	ids := r.Header[upstream.HeaderRequestID]
	if len(ids) != 1 || ids[0] == "" {
		return nil, http.StatusBadRequest, "needs one " + upstream.HeaderRequestID
	}
	size := len(r.Method) + len(target) + len(r.Host) + 24
	for k, vs := range r.Header {
		for _, v := range vs {
			size += len(k) + len(v) + 4
		}
	}
	limit := int64(defaultMaxHeaderBytes)
	if plan.Limits.MaxHeaderBytes > 0 {
		limit = plan.Limits.MaxHeaderBytes
	}
	if int64(size) > limit {
		return nil, http.StatusRequestHeaderFieldsTooLarge, "the header is too large"
	}
	req := &upstream.Request{Method: r.Method, Target: target, Host: r.Host, Header: upstream.EndToEndHeaders(r.Header), ID: ids[0]}
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		switch r.Method {
		case http.MethodPost, http.MethodPut, http.MethodPatch:
			req.HasBody = true
		}
		return req, 0, ""
	}
	limit = defaultMaxBodyBytes
	if plan.Limits.MaxBodyBytes > 0 {
		limit = plan.Limits.MaxBodyBytes
	}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, http.StatusRequestEntityTooLarge, "the body is too large"
	}
	req.HasBody = true
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		w.Header().Set("Connection", "close")
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			return nil, http.StatusRequestEntityTooLarge, "the body is too large"
		}
		return nil, http.StatusBadRequest, "the body broke off"
	}
	req.Body = body
	return req, 0, ""
}

// writeReply writes a reply.
func (f *frontend) writeReply(w http.ResponseWriter, method string, a *scatter.Reply) error {
	h := w.Header()
	if a.Header == nil {
		if a.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
		return f.writeError(w, a.Status, a.Reason)
	}
	for k, v := range upstream.EndToEndHeaders(a.Header) {
		h[k] = v
	}
	if id := a.Header[upstream.HeaderRequestID]; id != nil {
		h[upstream.HeaderRequestID] = id
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // none is added
	}
	if method == http.MethodHead {
		if n := a.Header["Content-Length"]; n != nil {
			h["Content-Length"] = n
		}
	} else if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	if len(a.Body) > 0 {
		_, _ = w.Write(a.Body)
	}
	return nil
}

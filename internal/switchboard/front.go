package switchboard

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

	"comethold/internal/announce"
	"comethold/internal/event"
	"comethold/internal/gather"
	"comethold/internal/numbering"
	"comethold/internal/office"
	"comethold/internal/trunk"

	"github.com/labstack/echo/v4"
)

// Front serves the clients.
type Front struct {
	office  *office.Office
	asker   *gather.Asker
	objects *announce.Office // nil outside content deployments
	teller  *teller
	counter *counter // nil where nobody wants counts
	log     *event.Log

	leaving atomic.Bool
	mu      sync.Mutex
	idle    map[net.Conn]rest
	swept   time.Time
	limit   time.Duration // of idle connections, as last seen
	former  time.Duration // the one before, where it was longer, which holds on
	until   time.Time     // up to this moment for those who have yet to hear of it
	open    map[*pending]struct{}
	ended   bool // what is open was answered; nothing is begun any more
}

// rest is since when a connection is idle, and the longest limit that was in force since:
// a client goes by the one that it knew.
type rest struct {
	since time.Time
	limit time.Duration
}

// pending is a request whose answer has yet to be begun.
type pending struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	begun bool // a leaf may have been asked
	over  bool // the answer is on its way
}

// begin is called before a leaf is asked; it must not be if the answer is given already.
func (p *pending) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = true
	return !p.over
}

// take gives the right to answer to the first who wants it.
func (p *pending) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.over
	p.over = true
	return first
}

const (
	defaultBody   = 1 << 20
	defaultHeader = 64 << 10
	readAtMost    = 30 * time.Second // for the head of a request
	sparePerHop   = 2 * time.Millisecond
	idleNews      = time.Second // past the time for a configuration, in which its limits are known

	headerCredentials = "Authorization"
	// revocationMargin is how old the word of the majority may be that a registrar
	// passes on, and the time that takes.
	revocationMargin = 2500 * time.Millisecond
)

func newFront(o *office.Office, a *gather.Asker, objects *announce.Office, log *event.Log) *Front {
	return &Front{office: o, asker: a, objects: objects, teller: newTeller(o), counter: newCounter(o), log: log, idle: map[net.Conn]rest{}, open: map[*pending]struct{}{}}
}

// server makes the server of the clients' port. Every request goes to serve:
// hosts and paths are the operator's, so echo routes none of them itself.
func (f *Front) server() *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc { return f.serve })
	return &http.Server{Handler: e, ConnState: f.connState, ReadHeaderTimeout: readAtMost,
		MaxHeaderBytes: 1 << 20, ErrorLog: nil, DisableGeneralOptionsHandler: true}
}

func (f *Front) connState(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == http.StateIdle {
		now := time.Now()
		f.idle[c] = rest{since: now, limit: f.idleLimit(now)}
	} else {
		delete(f.idle, c)
	}
}

// idleLimit is for how long a client may leave a connection idle from now on, 0 without a
// plan. Where it has become shorter, clients hear of that later than this node.
func (f *Front) idleLimit(now time.Time) time.Duration {
	p := f.office.Plan()
	if p == nil {
		return 0
	}
	limit := time.Duration(p.Limits.IdleTimeoutMs) * time.Millisecond
	if limit <= 0 {
		limit = math.MaxInt64
	}
	if limit < f.limit {
		if now.After(f.until) || f.former < f.limit {
			f.former = f.limit
		}
		f.until = now.Add(f.office.Set.Bounds.ConfigApply() + idleNews)
	}
	f.limit = limit
	if now.Before(f.until) {
		return max(limit, f.former)
	}
	return limit
}

// sweep closes connections that clients leave idle for too long. After a standstill of
// this node it gives them a turn first: their requests may be here and not read yet.
func (f *Front) sweep() {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.idleLimit(now)
	if limit <= 0 {
		return
	}
	stood := now.Sub(f.swept) > 4*sweepEvery
	f.swept = now
	for c, r := range f.idle {
		if r.limit < limit {
			r.limit = limit
			f.idle[c] = r
		}
		if now.Sub(r.since) > r.limit && !stood {
			_ = c.Close()
			delete(f.idle, c)
		}
	}
}

// finish answers what is open when the node must end: a connection that ends without an
// answer leaves the client in doubt of what it was sent.
func (f *Front) finish() {
	f.mu.Lock()
	f.ended = true
	open := slices.Collect(maps.Keys(f.open))
	f.mu.Unlock()
	for _, p := range open {
		f.end(p)
	}
}

func (f *Front) end(p *pending) {
	p.mu.Lock() // until it is written: whoever handles the request waits for that
	defer p.mu.Unlock()
	if p.over {
		return
	}
	p.over = true
	h := p.w.Header()
	h.Set("Connection", "close")
	if p.begun {
		_ = f.refuse(p.w, http.StatusBadGateway, "this node ends before the answer")
	} else {
		h.Set("Retry-After", "0.05")
		_ = f.refuse(p.w, http.StatusServiceUnavailable, "this node ends")
	}
	_ = http.NewResponseController(p.w).Flush()
}

// admit notes a request that has been read; after the end it is answered at once.
func (f *Front) admit(w http.ResponseWriter) (p *pending, ok bool) {
	p = &pending{w: w}
	f.mu.Lock()
	f.open[p] = struct{}{}
	ended := f.ended
	f.mu.Unlock()
	if ended {
		f.end(p)
	}
	return p, !ended
}

func (f *Front) settled(p *pending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, p)
}

func (f *Front) refuse(w http.ResponseWriter, status int, why string) error {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(why)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, why+"\n")
	return nil
}

// serve handles one request under the plan that is in force as it arrives.
func (f *Front) serve(c echo.Context) (err error) {
	start := time.Now()
	w, r := c.Response().Writer, c.Request()
	var p *pending
	defer func() {
		if e := recover(); e != nil {
			f.log.Error(event.RequestPanic).Any("panic", e).Msg("a request failed inside")
			if p != nil && !p.take() {
				return
			}
			err = f.refuse(w, http.StatusInternalServerError, "internal failure")
		}
	}()
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	plan := f.office.Plan()
	if plan == nil {
		w.Header().Set("Retry-After", "0.5")
		return f.refuse(w, http.StatusServiceUnavailable, "no configuration yet")
	}
	target, path := targetOf(r)
	line := plan.Find(r.Host, path)
	if line == nil {
		return f.refuse(w, http.StatusNotFound, "no route")
	}
	if span := f.office.Set.Bounds.Revocation(); span > 0 && plan.Keyed() && f.office.OutOfTouch(span-revocationMargin) {
		w.Header().Set("Retry-After", "0.5")
		return f.refuse(w, http.StatusServiceUnavailable, "no word of which keys are still good")
	}
	tenant, own, known := plan.Holder(line, r.Header[headerCredentials])
	if !known {
		w.Header().Set("WWW-Authenticate", "Token")
		return f.refuse(w, http.StatusUnauthorized, "needs a key that is known")
	}
	req, status, why := f.read(w, r, plan, target)
	if status != 0 {
		return f.refuse(w, status, why)
	}
	var ok bool
	p, ok = f.admit(w)
	defer f.settled(p)
	if !ok {
		return nil
	}
	delete(req.Header, trunk.HeaderTenant) // ours to say, whatever the client sent
	if own {
		delete(req.Header, headerCredentials)
	}
	if tenant != nil {
		req.Header[trunk.HeaderTenant] = []string{tenant.Name}
	}
	left := line.Timeout
	if v := r.Header.Get(trunk.HeaderDeadline); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms > 0) || ms > 1e12 {
			if !p.take() {
				return nil
			}
			return f.refuse(w, http.StatusBadRequest, trunk.HeaderDeadline+" holds no time")
		}
		left = min(left, time.Duration(ms*float64(time.Millisecond))-sparePerHop)
	}
	req.Deadline = start.Add(max(left, time.Millisecond))
	if tenant != nil {
		if a := f.teller.admit(tenant, line.Target, left, start); !a.ok {
			if !p.take() {
				return nil
			}
			w.Header().Set("Retry-After", strconv.FormatFloat(max(a.back, time.Millisecond).Seconds(), 'f', 3, 64))
			if a.limited {
				return f.refuse(w, http.StatusTooManyRequests, "the tenant is at its limit")
			}
			return f.refuse(w, http.StatusServiceUnavailable, "no word of what the tenant may send")
		}
	}
	ran := func(time.Time) {}
	if tenant != nil && f.counter != nil {
		ran = func(at time.Time) { f.counter.ran(tenant.Name, at) }
	}
	if !p.begin() {
		return nil
	}
	var a *gather.Reply
	if f.objects != nil && line.RouteKind == numbering.Cacheable && r.Method == http.MethodGet {
		a = f.object(line, req, r.Header)
		if a.Status/100 == 2 {
			ran(time.Now()) // on these routes what counts is a success
		}
	} else {
		a = f.asker.Ask(line, req, start, ran)
	}
	if !p.take() {
		return nil
	}
	return f.answer(w, r.Method, a)
}

// targetOf returns the raw target and its path.
func targetOf(r *http.Request) (target, path string) {
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

// read takes in the whole request within the limits.
func (f *Front) read(w http.ResponseWriter, r *http.Request, plan *numbering.Plan, target string) (*trunk.Request, int, string) {
	ids := r.Header[trunk.HeaderID]
	if len(ids) != 1 || ids[0] == "" {
		return nil, http.StatusBadRequest, "needs one " + trunk.HeaderID
	}
	size := len(r.Method) + len(target) + len(r.Host) + 24
	for k, vs := range r.Header {
		for _, v := range vs {
			size += len(k) + len(v) + 4
		}
	}
	limit := int64(defaultHeader)
	if plan.Limits.MaxHeaderBytes > 0 {
		limit = plan.Limits.MaxHeaderBytes
	}
	if int64(size) > limit {
		return nil, http.StatusRequestHeaderFieldsTooLarge, "the header is too large"
	}
	req := &trunk.Request{Method: r.Method, Target: target, Host: r.Host, Header: trunk.PassedOn(r.Header), ID: ids[0]}
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		switch r.Method {
		case http.MethodPost, http.MethodPut, http.MethodPatch:
			req.Sized = true
		}
		return req, 0, ""
	}
	limit = defaultBody
	if plan.Limits.MaxBodyBytes > 0 {
		limit = plan.Limits.MaxBodyBytes
	}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, http.StatusRequestEntityTooLarge, "the body is too large"
	}
	req.Sized = true
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

// answer writes a reply.
func (f *Front) answer(w http.ResponseWriter, method string, a *gather.Reply) error {
	h := w.Header()
	if a.Header == nil {
		if a.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
		return f.refuse(w, a.Status, a.Why)
	}
	for k, v := range trunk.PassedOn(a.Header) {
		h[k] = v
	}
	if id := a.Header[trunk.HeaderID]; id != nil {
		h[trunk.HeaderID] = id
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

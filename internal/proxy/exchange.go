package proxy

import (
	"context"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"comethold/internal/logging"
	"comethold/internal/routing"
	"comethold/internal/scatter"
	"comethold/internal/upstream"
)

const (
	headerAuthorization = "Authorization"

	// deadlineMarginPerHop is subtracted from the remaining time that a client states. It
	// covers the time that this node takes to forward the request and its reply.
	deadlineMarginPerHop = 2 * time.Millisecond
	// maxDeadlineMs is the longest remaining time that a client may state, in milliseconds.
	maxDeadlineMs = 1e12
	// revocationMargin is subtracted from the revocation time-out. It covers the age of the
	// revocations when the control plane sends them, and the time until this node applies them.
	revocationMargin = 2500 * time.Millisecond
	// minRetryAfter is the lower bound of the Retry-After of a request that got no quota token.
	minRetryAfter = time.Millisecond
	// unreadyRetryAfter is the Retry-After, in seconds, of a node that has no route table or
	// whose list of revoked keys may be outdated.
	unreadyRetryAfter = "0.5"
)

// exchange is one client request and its reply. It keeps the route table that was in force
// when the request arrived.
type exchange struct {
	*frontend
	start   time.Time
	writer  http.ResponseWriter
	request *http.Request

	table     *routing.RouteTable
	route     *routing.CompiledRoute
	identity  routing.Identity
	forwarded *upstream.Request
	pending   *pendingRequest // nil until the request has been read
}

// handle answers the request.
func (x *exchange) handle() {
	if x.draining.Load() {
		x.writer.Header().Set("Connection", "close")
	}
	target, path := requestTarget(x.request)
	if rejected := x.findRoute(path); rejected != nil {
		x.reject(rejected)
		return
	}
	if rejected := x.authenticate(); rejected != nil {
		x.reject(rejected)
		return
	}
	forwarded, rejected := readRequest(x.writer, x.request, x.table.Limits, target)
	if rejected != nil {
		x.reject(rejected)
		return
	}
	x.forwarded = forwarded
	pending, ok := x.pendingRequests.register(x.writer)
	x.pending = pending
	defer x.pendingRequests.unregister(pending)
	if !ok {
		return
	}
	x.setTenantHeader()
	remaining, rejected := x.setDeadline()
	if rejected != nil {
		x.reject(rejected)
		return
	}
	clientCtx, stopWatching := x.watchClient()
	defer stopWatching()
	if rejected := x.spendToken(clientCtx, remaining); rejected != nil {
		x.reject(rejected)
		return
	}
	x.dispatch(clientCtx)
}

// watchClient returns a context that is canceled when the client closes its connection. After
// a call of stop it is no longer canceled: net/http cancels the context of a request when its
// handler returns, but calls that are still running after the reply must continue.
func (x *exchange) watchClient() (clientCtx context.Context, stop func() bool) {
	clientCtx, cancel := context.WithCancel(context.Background())
	return clientCtx, context.AfterFunc(x.request.Context(), cancel)
}

// findRoute matches the request to a route of the route table in force.
func (x *exchange) findRoute(path string) *rejection {
	x.table = x.controlClient.RouteTable()
	if x.table == nil {
		return unavailable("no configuration yet", unreadyRetryAfter)
	}
	x.route = x.table.Match(x.request.Host, path)
	if x.route == nil {
		return &rejection{status: http.StatusNotFound, reason: "no route"}
	}
	return nil
}

// authenticate sets the identity by the key in the Authorization header. If requests need a
// key, it rejects all of them while the node's list of revoked keys may be older than the
// revocation time-out.
func (x *exchange) authenticate() *rejection {
	revocation := x.controlClient.Settings.Bounds.RevocationTimeout()
	if revocation > 0 && x.table.RequiresKey() && x.controlClient.Disconnected(revocation-revocationMargin) {
		return unavailable("no word of which keys are still good", unreadyRetryAfter)
	}
	identity, ok := x.table.Authenticate(x.route, x.request.Header[headerAuthorization])
	if !ok {
		return &rejection{
			status: http.StatusUnauthorized, reason: "needs a key that is known",
			header: "WWW-Authenticate", value: "Token",
		}
	}
	x.identity = identity
	return nil
}

// setTenantHeader sets the tenant header of the forwarded request. It removes a tenant header
// that the client sent, and credentials that are not meant for the endpoint.
func (x *exchange) setTenantHeader() {
	header := x.forwarded.Header
	delete(header, upstream.HeaderTenant)
	if x.identity.StripCredentials {
		delete(header, headerAuthorization)
	}
	if x.identity.Tenant != nil {
		header[upstream.HeaderTenant] = []string{x.identity.Tenant.Name}
	}
}

// setDeadline sets the deadline to the earlier of the route's and the client's, but at least
// 1 ms after the start of the request. It returns the remaining time without that lower bound.
func (x *exchange) setDeadline() (remaining time.Duration, rejected *rejection) {
	remaining = x.route.Timeout
	if given := x.request.Header.Get(upstream.HeaderDeadlineRemaining); given != "" {
		milliseconds, err := strconv.ParseFloat(given, 64)
		if err != nil || !(milliseconds > 0) || milliseconds > maxDeadlineMs {
			return 0, &rejection{
				status: http.StatusBadRequest,
				reason: upstream.HeaderDeadlineRemaining + " holds no time",
			}
		}
		remaining = min(remaining, time.Duration(milliseconds*float64(time.Millisecond))-deadlineMarginPerHop)
	}
	x.forwarded.Deadline = x.start.Add(max(remaining, time.Millisecond))
	return remaining, nil
}

// spendToken spends a token of the tenant's quota. It returns a rejection if it gets none.
func (x *exchange) spendToken(clientCtx context.Context, remaining time.Duration) *rejection {
	if x.identity.Tenant == nil {
		return nil
	}
	admission := x.tokens.admit(clientCtx, x.identity.Tenant, x.route.TargetLatency, remaining, x.start)
	retryAfter := max(admission.retryAfter, minRetryAfter)
	switch admission.verdict {
	case tenantLimited:
		return &rejection{
			status: http.StatusTooManyRequests, reason: "the tenant is at its limit",
			header: headerRetryAfter, value: formatSeconds(retryAfter),
		}
	case quotaUnavailable:
		return unavailable("no word of what the tenant may send", formatSeconds(retryAfter))
	default:
		return nil
	}
}

// dispatch forwards the request to its endpoints, or answers it from the object
// cache, and writes the reply. clientCtx is canceled when the client disconnects.
func (x *exchange) dispatch(clientCtx context.Context) {
	if !x.pending.markDispatched() {
		return
	}
	onExecuted := x.usageCallback()
	var reply *scatter.Reply
	if x.isCacheable() {
		reply = x.objectReply()
		if onExecuted != nil && reply.Status/100 == 2 {
			onExecuted(time.Now()) // on cacheable routes usage counts successes only
		}
	} else {
		reply = x.dispatcher.Dispatch(clientCtx, x.route, x.forwarded, x.start, onExecuted)
	}
	if x.pending.claimAnswer() {
		writeReply(x.writer, x.request.Method, reply)
	}
}

func (x *exchange) isCacheable() bool {
	return x.objects != nil && x.route.RouteKind == routing.KindCacheable && x.request.Method == http.MethodGet
}

// usageCallback returns a function that counts the request for its tenant, or nil if
// usage is not counted. It does not capture the exchange, so that the exchange can stay
// on the stack.
func (x *exchange) usageCallback() func(at time.Time) {
	if x.identity.Tenant == nil || x.usage == nil {
		return nil
	}
	usage, tenant := x.usage, x.identity.Tenant.Name
	return func(at time.Time) { usage.recordExecuted(tenant, at) }
}

// reject answers the request, unless it has been answered already.
func (x *exchange) reject(rejected *rejection) {
	if x.pending == nil || x.pending.claimAnswer() {
		rejected.write(x.writer)
	}
}

// recoverPanic answers a request whose handling panicked. It must be deferred directly,
// because recover returns nil in functions that a deferred function calls.
func (x *exchange) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	logPanic(x.log, cause)
	x.reject(&rejection{status: http.StatusInternalServerError, reason: "internal failure"})
}

// logPanic logs a recovered panic in the handling of one request.
func logPanic(log *logging.Logger, cause any) {
	log.Error(logging.RequestPanic).
		Any("panic", cause).
		Str("stack", string(debug.Stack())).
		Msg("recovered from a panic in the handling of a request")
}

package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/distribution"
	"comethold/internal/quota"
	"comethold/internal/routing"
)

// Timing of token requests; see docs/design.md.
const (
	// minSendInterval is the shortest time between two datagrams. Demands that arrive in between
	// are sent in one datagram.
	minSendInterval = 10 * time.Millisecond
	// busySendInterval replaces minSendInterval on a busy node, which sends fewer datagrams with
	// more demands each.
	busySendInterval = 30 * time.Millisecond
	// busySendRate is the rate, in datagrams a second, above which a node is busy.
	busySendRate = 20.0

	// responseTimeout is the time without a response after which another node is asked.
	responseTimeout = 30 * time.Millisecond
	// lateGrantWindow is the time after responseTimeout in which the tokens of a late grant are
	// still accepted.
	lateGrantWindow = time.Second
	// maxTokenAttempts is the number of failed requests after which a waiter is rejected.
	maxTokenAttempts = 3

	// minTokenWait and maxTokenWait are the bounds of the time that a request waits for a token,
	// which is half its target latency.
	minTokenWait = 40 * time.Millisecond
	maxTokenWait = 200 * time.Millisecond

	// unavailableRetryAfter is the Retry-After of unavailableQuota, and the longest time for which
	// a tenant is recorded as exhausted.
	unavailableRetryAfter = 150 * time.Millisecond
)

// unavailableQuota is the result of a request that got no decision from the control plane.
var unavailableQuota = admission{verdict: quotaUnavailable, retryAfter: unavailableRetryAfter}

// tokenClient requests quota tokens for tenants from the control plane. Client requests for
// which the cache has no token wait; one datagram requests tokens for all of them. It is safe
// for concurrent use.
type tokenClient struct {
	controlClient *controlclient.Client
	bounds        quota.AdmissionBounds
	cache         *quota.TokenCache

	mu            sync.Mutex            // guards the fields below
	queues        map[string]*waitQueue // by tenant
	inFlight      map[uint64]*tokenRequest
	nextRequestID uint64
	lastSentAt    time.Time
	sendRate      float64 // datagrams a second, smoothed
	sendScheduled bool
	targets       targetSelector
}

// tokenRequest is a datagram to the control plane whose answer is still accepted.
type tokenRequest struct {
	target    net.Addr
	sentAt    time.Time
	demands   []quota.TenantDemand
	lifetimes []time.Duration // lifetimes[i] is that of the tokens for demands[i]
}

func newTokenClient(controlClient *controlclient.Client) *tokenClient {
	t := &tokenClient{
		controlClient: controlClient,
		bounds:        controlClient.Settings.Bounds.AdmissionBounds(),
		cache:         quota.NewTokenCache(),
		queues:        map[string]*waitQueue{},
		inFlight:      map[uint64]*tokenRequest{},
		nextRequestID: rand.Uint64(),
		targets:       targetSelector{list: controlClient.ControlPlaneAddrs, avoidUntil: map[string]time.Time{}},
	}
	controlClient.OnTokenGrant(t.handleGrant)
	controlClient.OnTenantsChanged(func(names []string) { t.cache.Discard(names) })
	return t
}

// admit spends a token for a request of the tenant, if the tenant's rate is limited. It waits
// for a token for half the target latency, between minTokenWait and maxTokenWait, but no longer
// than the remaining time. It stops waiting when clientCtx is canceled.
func (t *tokenClient) admit(
	clientCtx context.Context, tenant *routing.Tenant, targetLatency, remaining time.Duration, now time.Time,
) admission {
	if !t.bounds.LimitsFor(tenant.RatePerSecond, tenant.BurstSize).Limited() {
		return admission{verdict: granted}
	}
	ok, exhaustedFor := t.cache.Spend(tenant.Name, now)
	if ok {
		return admission{verdict: granted}
	}
	if exhaustedFor > 0 {
		return admission{verdict: tenantLimited, retryAfter: exhaustedFor}
	}
	queue, waiting := t.enqueue(tenant.Name, now)
	timer := time.NewTimer(min(max(targetLatency/2, minTokenWait), maxTokenWait, remaining))
	defer timer.Stop()
	select {
	case result := <-waiting.done:
		return result
	case <-timer.C:
	case <-clientCtx.Done():
	case <-t.controlClient.Done():
	}
	return t.stopWaiting(queue, waiting)
}

// enqueue adds a waiter and schedules a token request for it.
func (t *tokenClient) enqueue(tenant string, now time.Time) (*waitQueue, *waiter) {
	waiting := &waiter{done: make(chan admission, 1)}
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[tenant]
	if queue == nil {
		queue = &waitQueue{}
		t.queues[tenant] = queue
	}
	queue.waiters = append(queue.waiters, waiting)
	t.scheduleSendLocked(now)
	return queue, waiting
}

// stopWaiting removes a waiter from its queue. It returns the waiter's result if that has
// arrived, and otherwise unavailableQuota.
func (t *tokenClient) stopWaiting(queue *waitQueue, waiting *waiter) admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case result := <-waiting.done:
		return result
	default:
		queue.remove(waiting)
		return unavailableQuota
	}
}

// scheduleSendLocked schedules a token request for the waiters: at once, or when the send
// interval since the last datagram has passed.
func (t *tokenClient) scheduleSendLocked(now time.Time) {
	if t.sendScheduled {
		return
	}
	t.sendScheduled = true
	interval := minSendInterval
	if t.sendRate > busySendRate {
		interval = busySendInterval
	}
	if wait := interval - now.Sub(t.lastSentAt); wait > 0 {
		time.AfterFunc(wait, t.send)
		return
	}
	go t.send()
}

// send sends one datagram with the demands that have not been requested yet.
func (t *tokenClient) send() {
	now := time.Now()
	table := t.controlClient.RouteTable()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sendScheduled = false
	target := t.targets.pick(now)
	if table == nil || target == nil {
		t.rejectAllLocked()
		return
	}
	request := &tokenRequest{target: target, sentAt: now}
	t.addDemandsLocked(request, table)
	if len(request.demands) == 0 {
		return
	}
	t.nextRequestID++
	id := t.nextRequestID
	t.inFlight[id] = request
	t.sendRate = t.sendRate*max(0, 1-now.Sub(t.lastSentAt).Seconds()) + 1
	t.lastSentAt = now
	t.controlClient.Send(target, &distribution.Datagram{
		TokenRequest: &quota.TokenRequest{ID: id, Demands: request.demands},
	})
	time.AfterFunc(responseTimeout, func() { t.handleTimeout(id) })
}

// addDemandsLocked adds the demands of the queues to a request, up to quota.MaxDemands. It
// schedules another request for the rest, and deletes unused queues.
func (t *tokenClient) addDemandsLocked(request *tokenRequest, table *routing.RouteTable) {
	now := request.sentAt
	for name, queue := range t.queues {
		required := queue.unrequested()
		if required <= 0 {
			if queue.isUnused() {
				delete(t.queues, name)
			}
			continue
		}
		if len(request.demands) == quota.MaxDemands {
			t.scheduleSendLocked(now)
			return
		}
		tenant := table.Tenant(name)
		if tenant == nil {
			queue.rejectAll(unavailableQuota)
			continue
		}
		limits := t.bounds.LimitsFor(tenant.RatePerSecond, tenant.BurstSize)
		queue.requested += required
		request.demands = append(request.demands, quota.TenantDemand{
			Tenant:   name,
			Required: required,
			Prefetch: t.cache.PrefetchCount(name, limits, now),
		})
		request.lifetimes = append(request.lifetimes, limits.TokenLifetime)
	}
}

// handleGrant processes the answer to a request. It ignores an answer to an unknown request or
// with the wrong number of results.
func (t *tokenClient) handleGrant(grant *quota.TokenGrant) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	request := t.inFlight[grant.ID]
	if request == nil || len(grant.Results) != len(request.demands) {
		return
	}
	delete(t.inFlight, grant.ID)
	for i := range request.demands {
		t.handleTenantGrantLocked(request, i, grant.Results[i], now)
	}
}

// handleTenantGrantLocked processes the answer to demand i of a request. The lifetime of the
// tokens starts when the request is sent.
func (t *tokenClient) handleTenantGrantLocked(request *tokenRequest, i int, grant quota.TenantGrant, now time.Time) {
	demand := request.demands[i]
	if grant.Granted > 0 {
		t.cache.Add(demand.Tenant, grant.Granted, request.sentAt.Add(request.lifetimes[i]), now)
	}
	queue := t.queues[demand.Tenant]
	if queue == nil {
		return
	}
	queue.endRequest(demand.Required)
	for len(queue.waiters) > 0 && t.cache.SpendGranted(demand.Tenant, now) {
		queue.grantFirst()
	}
	retryAfter := time.Duration(grant.RetryAfterMs) * time.Millisecond
	switch {
	case grant.NoShare:
		t.targets.avoid(request.target, now)
		t.requeueLocked(queue, demand.Required, now)
	case grant.Granted < demand.Required && retryAfter > 0:
		t.cache.MarkExhausted(demand.Tenant, min(retryAfter, unavailableRetryAfter), now)
		queue.reject(demand.Required-grant.Granted, admission{verdict: tenantLimited, retryAfter: retryAfter})
	}
}

// handleTimeout handles a request that was not answered within responseTimeout. Its demands are
// requested again, preferably from another control plane node.
func (t *tokenClient) handleTimeout(id uint64) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	request := t.inFlight[id]
	if request == nil {
		return
	}
	t.targets.avoid(request.target, now)
	for i := range request.demands {
		demand := &request.demands[i]
		if queue := t.queues[demand.Tenant]; queue != nil {
			queue.endRequest(demand.Required)
			t.requeueLocked(queue, demand.Required, now)
		}
		demand.Required = 0 // a late answer adds tokens to the cache, but must not reject waiters
	}
	time.AfterFunc(lateGrantWindow, func() { t.removeInFlight(id) })
}

// removeInFlight removes a request whose late grants are no longer accepted.
func (t *tokenClient) removeInFlight(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, id)
}

// requeueLocked counts a failed attempt for the oldest count waiters and schedules
// another request for the waiters that have attempts left.
func (t *tokenClient) requeueLocked(queue *waitQueue, count int, now time.Time) {
	if queue.failAttempt(count) {
		t.scheduleSendLocked(now)
	}
}

func (t *tokenClient) rejectAllLocked() {
	for _, queue := range t.queues {
		queue.rejectAll(unavailableQuota)
	}
}

// removeExpired removes the state of idle tenants, and of targets that are no longer avoided.
func (t *tokenClient) removeExpired(now time.Time) {
	t.cache.RemoveIdle(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targets.removeExpired(now)
}

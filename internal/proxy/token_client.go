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

// Pacing of token requests; see docs/design.md.
const (
	// The least time between two datagrams. Demands that arrive in between are sent in
	// one datagram; a busy node waits longer, to send fewer datagrams with more demands.

	minSendInterval  = 10 * time.Millisecond
	busySendInterval = 30 * time.Millisecond
	busySendRate     = 20.0 // datagrams a second from which a node is busy

	responseTimeout  = 30 * time.Millisecond // after which another node is asked
	lateGrantWindow  = time.Second           // after responseTimeout, in which late tokens are still used
	maxTokenAttempts = 3                     // requests for one waiter until it is rejected

	// A request waits half its target latency for a token, within these bounds.

	minTokenWait = 40 * time.Millisecond
	maxTokenWait = 200 * time.Millisecond

	unavailableRetryAfter = 150 * time.Millisecond
)

var unavailableQuota = admission{verdict: quotaUnavailable, retryAfter: unavailableRetryAfter}

// tokenClient requests quota tokens for tenants from the control plane. Requests for
// which the cache has no token wait; one datagram asks for all of them. It is safe for
// concurrent use.
type tokenClient struct {
	client *controlclient.Client
	rules  quota.AdmissionBounds
	cache  *quota.TokenCache

	mu            sync.Mutex            // guards the fields below
	queues        map[string]*waitQueue // by tenant
	inFlight      map[uint64]*tokenRequest
	nextRequestID uint64
	lastSentAt    time.Time
	sendRate      float64 // datagrams a second, smoothed
	sendScheduled bool
	targets       targetSelector
}

// tokenRequest is a datagram to the control plane that is not yet answered.
type tokenRequest struct {
	target    net.Addr
	sentAt    time.Time
	demands   []quota.TenantDemand
	lifetimes []time.Duration // of the tokens, by demand
}

func newTokenClient(client *controlclient.Client) *tokenClient {
	t := &tokenClient{
		client:        client,
		rules:         client.Settings.Bounds.QuotaRules(),
		cache:         quota.NewTokenCache(),
		queues:        map[string]*waitQueue{},
		inFlight:      map[uint64]*tokenRequest{},
		nextRequestID: rand.Uint64(),
		targets:       targetSelector{list: client.ControlPlaneAddrs, avoidUntil: map[string]time.Time{}},
	}
	client.OnTokenGrant(t.handleGrant)
	client.OnTenantsChanged(func(names []string) { t.cache.Discard(names) })
	return t
}

// admit spends a token for a request of the tenant, if it needs one. It waits for a
// token for at most half the target latency, within bounds, and the remaining time, and
// not after the client has left.
func (t *tokenClient) admit(
	client context.Context, tenant *routing.Tenant, targetLatency, remaining time.Duration, now time.Time,
) admission {
	if !t.rules.LimitsFor(tenant.RatePerSecond, tenant.BurstSize).Limited() {
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
	case <-client.Done():
	case <-t.client.Done():
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

// stopWaiting removes a waiter from its queue and returns its result: the answer, if one
// has arrived, and otherwise unavailableQuota.
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

// scheduleSendLocked schedules a token request for the waiters: at once, or when the
// least interval after the last datagram is over.
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

// send sends one datagram with the demands that were not requested yet.
func (t *tokenClient) send() {
	now := time.Now()
	table := t.client.RouteTable()
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
	t.client.Send(target, &distribution.Datagram{
		TokenRequest: &quota.TokenRequest{ID: id, Demands: request.demands},
	})
	time.AfterFunc(responseTimeout, func() { t.handleTimeout(id) })
}

// addDemandsLocked adds the demands of the queues to a request, up to quota.MaxDemands;
// the next request gets the others.
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
		limits := t.rules.LimitsFor(tenant.RatePerSecond, tenant.BurstSize)
		queue.requested += required
		request.demands = append(request.demands, quota.TenantDemand{
			Tenant:   name,
			Required: required,
			Prefetch: t.cache.PrefetchCount(name, limits, now),
		})
		request.lifetimes = append(request.lifetimes, limits.TokenLifetime)
	}
}

// handleGrant processes the answer to a request.
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

// handleTenantGrantLocked processes the answer to the demand i of a request. The
// lifetime of tokens counts from when the request was sent.
func (t *tokenClient) handleTenantGrantLocked(request *tokenRequest, i int, grant quota.TenantGrant, now time.Time) {
	demand := request.demands[i]
	if grant.Granted > 0 {
		t.cache.Add(demand.Tenant, grant.Granted, request.sentAt.Add(request.lifetimes[i]), now)
	}
	queue := t.queues[demand.Tenant]
	if queue == nil {
		return
	}
	queue.answered(demand.Required)
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

// handleTimeout handles a request without an answer in time: its demands are requested
// again, from another control plane node.
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
			queue.answered(demand.Required)
			t.requeueLocked(queue, demand.Required, now)
		}
		demand.Required = 0 // the tokens of a late answer are kept, but no waiter needs them
	}
	time.AfterFunc(lateGrantWindow, func() { t.forget(id) })
}

// forget drops a request whose late grants are no longer used.
func (t *tokenClient) forget(id uint64) {
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

// removeExpired drops the state of idle tenants and of targets that recovered.
func (t *tokenClient) removeExpired(now time.Time) {
	t.cache.RemoveIdle(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targets.removeExpired(now)
}

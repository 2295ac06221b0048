package allocation

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/quota"
	"comethold/internal/ratelimit"
	"comethold/internal/routing"
)

var errNoLeader = errors.New("no leader")

// fakeShares answers every request with the grant that the test sets, and records the requests.
type fakeShares struct {
	mu       sync.Mutex               // guards the fields below
	grant    *distribution.ShareGrant // if nil, requests fail with errNoLeader
	requests []distribution.ShareRequest
}

func (s *fakeShares) setGrant(grant *distribution.ShareGrant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant = grant
}

// takeRequests returns the requests since the last call.
func (s *fakeShares) takeRequests() []distribution.ShareRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := s.requests
	s.requests = nil
	return requests
}

func (s *fakeShares) Request(
	_ context.Context, request distribution.ShareRequest,
) (distribution.ShareGrant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	if s.grant == nil {
		return distribution.ShareGrant{}, errNoLeader
	}
	return *s.grant, nil
}

// renewalFixture is a QuotaShareRenewer with its dependencies.
type renewalFixture struct {
	shares    *fakeShares
	allocator *quota.Allocator
	tenants   *TenantLimits
	renewer   *QuotaShareRenewer
}

func newRenewalFixture(watermarks map[string]float64) *renewalFixture {
	r := &renewalFixture{shares: &fakeShares{}, allocator: quota.NewAllocator()}
	r.tenants = NewTenantLimits(quota.AdmissionBounds{Window: time.Second, Overshoot: 0.1}, r.allocator)
	r.renewer = NewQuotaShareRenewer(QuotaShareRenewerOptions{
		NodeName:     "n",
		Allocator:    r.allocator,
		TenantLimits: r.tenants,
		Shares:       r.shares,
		Watermarks:   watermarks,
		Log:          logging.Nop(),
	})
	return r
}

// limitTenant applies a configuration with one tenant that has limits.
func (r *renewalFixture) limitTenant(version uint64) {
	limited := routing.Tenant{Name: tenant, RatePerSecond: slowRefillRate, BurstSize: bucketDepth}
	r.tenants.Apply(&routing.Configuration{Version: version, Tenants: []routing.Tenant{limited}})
}

// run calls test while the renewer runs.
func (r *renewalFixture) run(t *testing.T, test func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.renewer.Run(ctx)
	synctest.Wait()
	test()
}

// TestShareRenewedOnlyWithLimits: no share is requested while no tenant has limits. If a
// tenant has limits, requests are frequent until the fair share is held, and rare afterwards.
func TestShareRenewedOnlyWithLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRenewalFixture(nil)
		r.run(t, func() {
			time.Sleep(time.Minute)
			if n := len(r.shares.takeRequests()); n != 0 {
				t.Errorf("Run sent %d requests in a minute without limits, want 0", n)
			}
			r.limitTenant(1)
			time.Sleep(time.Minute)
			requests := r.shares.takeRequests()
			if n := len(requests); n < 300 || !requests[n-1].HoldsNone {
				t.Errorf("Run sent %d requests in a minute without a grant, want at least 300, the last with HoldsNone", n)
			}
			r.shares.setGrant(&distribution.ShareGrant{Granted: true, Permille: 500, FairPermille: 500})
			time.Sleep(time.Second)
			r.shares.takeRequests()
			time.Sleep(time.Minute)
			requests = r.shares.takeRequests()
			if n := len(requests); n < 30 || n > 48 {
				t.Errorf("Run sent %d requests in a minute with the fair share, want 30 to 48", n)
			}
			for _, request := range requests {
				if request.HoldsNone || request.Permille != 500 || request.Table != distribution.QuotaShares {
					t.Fatalf("Run sent request %+v, want 500 thousandths of QuotaShares without HoldsNone", request)
				}
			}
			if share, leased := r.allocator.Share(time.Now()); share != 0.5 || !leased {
				t.Errorf("Share returned %g with lease %v after renewals, want 0.5 with a lease", share, leased)
			}
		})
	})
}

// slowShares blocks requests until the test releases them.
type slowShares struct {
	started chan context.Context // receives the context of each request
	release chan struct{}        // closed to let requests return
}

func (s *slowShares) Request(
	ctx context.Context, _ distribution.ShareRequest,
) (distribution.ShareGrant, error) {
	s.started <- ctx
	<-s.release
	return distribution.ShareGrant{}, ctx.Err()
}

// TestStopDoesNotCancelRenewal: a request that is pending when the node stops continues until
// its own time-out, although the node's context has ended.
func TestStopDoesNotCancelRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRenewalFixture(nil)
		r.limitTenant(1)
		shares := &slowShares{started: make(chan context.Context, 1), release: make(chan struct{})}
		r.renewer.options.Shares = shares
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { r.renewer.Run(ctx) })
		requestContext := <-shares.started
		stop()
		synctest.Wait()
		if requestContext.Err() != nil {
			t.Error("stopping Run cancelled the pending request, want it to go on until its time-out")
		}
		time.Sleep(quotaRequestTimeout)
		synctest.Wait()
		if requestContext.Err() == nil {
			t.Error("the pending request did not time out after quotaRequestTimeout")
		}
		close(shares.release)
		running.Wait()
	})
}

// TestShareExpiresWithoutRenewal: a share that is not renewed expires a lease duration after the
// last grant, so that it is not in use when the leader reassigns it.
func TestShareExpiresWithoutRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRenewalFixture(nil)
		r.limitTenant(1)
		r.shares.setGrant(&distribution.ShareGrant{Granted: true, Permille: 500, FairPermille: 500})
		r.run(t, func() {
			r.shares.setGrant(nil)
			time.Sleep(ratelimit.QuotaLeaseDuration)
			if _, leased := r.allocator.Share(time.Now()); leased {
				t.Error("the share is still leased a full lease duration after the last grant, want it expired")
			}
		})
	})
}

// TestWatermarksRestoredOnce: the first grant restores the tokens that the former incarnation stored,
// if no other node has held its share since. Later grants don't add the tokens again.
func TestWatermarksRestoredOnce(t *testing.T) {
	for _, uninterrupted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newRenewalFixture(map[string]float64{tenant: 40})
			r.limitTenant(1)
			r.shares.setGrant(&distribution.ShareGrant{
				Granted: true, Permille: 500, FairPermille: 500, Uninterrupted: uninterrupted,
			})
			r.run(t, func() {
				time.Sleep(time.Minute)
				// Tokens below the stored low watermark are available only once a lower one is stored.
				r.allocator.LowWatermarksStored(nil)
				want := 0.0
				if uninterrupted {
					want = 40
				}
				got := r.allocator.Withdraw(tenant, bucketDepth, time.Now())
				if got < want-0.01 || got > want+0.01 {
					t.Errorf("restored with Uninterrupted %v: Withdraw returned %g tokens, want %g", uninterrupted, got, want)
				}
			})
		})
	}
}

// TestOlderConfigurationIsIgnored: a configuration that arrives after a newer one does not replace
// its limits.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	r := newRenewalFixture(nil)
	r.limitTenant(2)
	r.tenants.Apply(&routing.Configuration{Version: 1})
	if !r.tenants.HasLimits() {
		t.Error("HasLimits returned false after an older configuration without limits, want it ignored")
	}
	r.tenants.Apply(&routing.Configuration{Version: 3})
	if r.tenants.HasLimits() {
		t.Error("HasLimits returned true after a newer configuration without limits, want false")
	}
}

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

// fakeShares grants what it is set to.
type fakeShares struct {
	mu       sync.Mutex               // guards the fields below
	grant    *distribution.ShareGrant // nil refuses
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

// renewal is a node that renews its share of the quotas.
type renewal struct {
	shares    *fakeShares
	allocator *quota.Allocator
	tenants   *Tenants
	renewer   *QuotaShareRenewer
}

func newRenewal(watermarks map[string]float64) *renewal {
	r := &renewal{shares: &fakeShares{}, allocator: quota.NewAllocator()}
	r.tenants = NewTenants(quota.AdmissionBounds{Window: time.Second, Overshoot: 0.1}, r.allocator)
	r.renewer = NewQuotaShareRenewer(QuotaShareRenewerOptions{
		NodeName:   "n",
		Allocator:  r.allocator,
		Tenants:    r.tenants,
		Shares:     r.shares,
		Watermarks: watermarks,
		Log:        logging.Nop(),
	})
	return r
}

// limitTenant brings a configuration with one limited tenant into force.
func (r *renewal) limitTenant(version uint64) {
	limited := routing.Tenant{Name: tenant, RatePerSecond: slowRefillRate, BurstSize: bucketDepth}
	r.tenants.SetTenants(&routing.Configuration{Version: version, Tenants: []routing.Tenant{limited}})
}

func (r *renewal) run(t *testing.T, test func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.renewer.Run(ctx)
	synctest.Wait()
	test()
}

// TestShareIsRenewedWhileThereAreLimits: no share is asked for without limited tenants; one
// is asked for often until it is the fair one, and then seldom.
func TestShareIsRenewedWhileThereAreLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRenewal(nil)
		r.run(t, func() {
			time.Sleep(time.Minute)
			if n := len(r.shares.takeRequests()); n != 0 {
				t.Errorf("%d requests without limits", n)
			}
			r.limitTenant(1)
			time.Sleep(time.Minute)
			requests := r.shares.takeRequests()
			if n := len(requests); n < 300 || !requests[n-1].HoldsNone {
				t.Errorf("%d requests without a grant", n)
			}
			r.shares.setGrant(&distribution.ShareGrant{Granted: true, Permille: 500, FairPermille: 500})
			time.Sleep(time.Second)
			r.shares.takeRequests()
			time.Sleep(time.Minute)
			requests = r.shares.takeRequests()
			if n := len(requests); n < 30 || n > 48 {
				t.Errorf("%d requests in a minute with a fair share", n)
			}
			for _, request := range requests {
				if request.HoldsNone || request.Permille != 500 || request.Table != distribution.QuotaShares {
					t.Fatalf("the request is %+v", request)
				}
			}
			if share, leased := r.allocator.Share(time.Now()); share != 0.5 || !leased {
				t.Errorf("the share is %g, leased %v", share, leased)
			}
		})
	})
}

// slowShares answers when it is let go.
type slowShares struct {
	begun chan context.Context // gets the context of a request
	goOn  chan struct{}        // closed to let requests go
}

func (s *slowShares) Request(
	ctx context.Context, _ distribution.ShareRequest,
) (distribution.ShareGrant, error) {
	s.begun <- ctx
	<-s.goOn
	return distribution.ShareGrant{}, ctx.Err()
}

// TestStopLeavesRenewalUnderWay: a request that is under way when the node stops is not
// cancelled before its time-out.
func TestStopLeavesRenewalUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRenewal(nil)
		r.limitTenant(1)
		shares := &slowShares{begun: make(chan context.Context, 1), goOn: make(chan struct{})}
		r.renewer.options.Shares = shares
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { r.renewer.Run(ctx) })
		request := <-shares.begun
		stop()
		synctest.Wait()
		if request.Err() != nil {
			t.Error("it is cancelled")
		}
		time.Sleep(quotaRequestTimeout)
		synctest.Wait()
		if request.Err() == nil {
			t.Error("it has no time-out")
		}
		close(shares.goOn)
		running.Wait()
	})
}

// TestShareLapsesWithoutRenewal: the share is over a lease's time after the last grant.
func TestShareLapsesWithoutRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRenewal(nil)
		r.limitTenant(1)
		r.shares.setGrant(&distribution.ShareGrant{Granted: true, Permille: 500, FairPermille: 500})
		r.run(t, func() {
			r.shares.setGrant(nil)
			time.Sleep(ratelimit.QuotaLeaseDuration)
			if _, leased := r.allocator.Share(time.Now()); leased {
				t.Error("it is held after that")
			}
		})
	})
}

// TestWatermarksAreRestoredOnce: what a former incarnation left is there after the first
// grant, if nobody else had the share since, and is not added again.
func TestWatermarksAreRestoredOnce(t *testing.T) {
	for _, uninterrupted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			r := newRenewal(map[string]float64{tenant: 40})
			r.limitTenant(1)
			r.shares.setGrant(&distribution.ShareGrant{
				Granted: true, Permille: 500, FairPermille: 500, Uninterrupted: uninterrupted,
			})
			r.run(t, func() {
				time.Sleep(time.Minute)
				// Tokens below the low watermark are given once the disk holds another.
				r.allocator.LowWatermarksStored(nil)
				want := 0.0
				if uninterrupted {
					want = 40
				}
				got := r.allocator.Withdraw(tenant, bucketDepth, time.Now())
				if got < want-0.01 || got > want+0.01 {
					t.Errorf("uninterrupted %v: %g tokens, not %g", uninterrupted, got, want)
				}
			})
		})
	}
}

// TestOlderTenantsArePassedOver: limits of an older configuration change nothing.
func TestOlderTenantsArePassedOver(t *testing.T) {
	r := newRenewal(nil)
	r.limitTenant(2)
	r.tenants.SetTenants(&routing.Configuration{Version: 1})
	if !r.tenants.HasLimits() {
		t.Error("the limits are gone")
	}
	r.tenants.SetTenants(&routing.Configuration{Version: 3})
	if r.tenants.HasLimits() {
		t.Error("the limits are there still")
	}
}

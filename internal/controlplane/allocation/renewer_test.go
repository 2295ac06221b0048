package allocation

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/quota"
	"comethold/internal/ratelimit"
	"comethold/internal/routing"
	"comethold/internal/rpc"
)

var errNoLeader = errors.New("no leader")

// fakeShares grants a share to one node; nil refuses.
type fakeShares struct {
	grant    *distribution.ShareGrant
	requests []distribution.ShareRequest
}

func (s *fakeShares) Request(
	_ context.Context, request distribution.ShareRequest,
) (distribution.ShareGrant, error) {
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
	r.tenants = NewTenants(quota.Rules{Window: time.Second, Overshoot: 0.1}, r.allocator)
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
			if n := len(r.shares.requests); n != 0 {
				t.Errorf("%d requests without limits", n)
			}
			r.limitTenant(1)
			time.Sleep(time.Minute)
			synctest.Wait()
			if n := len(r.shares.requests); n < 300 || !r.shares.requests[n-1].HoldsNone {
				t.Errorf("%d requests without a grant", n)
			}
			r.shares.grant = &distribution.ShareGrant{Granted: true, Permille: 500, FairPermille: 500}
			time.Sleep(time.Second)
			r.shares.requests = nil
			time.Sleep(time.Minute)
			synctest.Wait()
			if n := len(r.shares.requests); n < 30 || n > 48 {
				t.Errorf("%d requests in a minute with a fair share", n)
			}
			for _, request := range r.shares.requests {
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

// TestShareLapsesWithoutRenewal: the share is over a lease's time after the last grant.
func TestShareLapsesWithoutRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRenewal(nil)
		r.limitTenant(1)
		r.shares.grant = &distribution.ShareGrant{Granted: true, Permille: 500, FairPermille: 500}
		r.run(t, func() {
			r.shares.grant = nil
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
			r.shares.grant = &distribution.ShareGrant{
				Granted: true, Permille: 500, FairPermille: 500, Uninterrupted: uninterrupted,
			}
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

// fakeStorage keeps one value and may refuse it.
type fakeStorage struct {
	value   []byte
	refuses bool
	writes  int
}

func (s *fakeStorage) NodeValue(string) []byte { return s.value }

func (s *fakeStorage) SetNodeValue(_ string, value []byte) error {
	s.writes++
	if s.refuses {
		return errors.ErrUnsupported
	}
	s.value = value
	return nil
}

// TestWatermarksOutliveRestart: watermarks that are stored are loaded; what can't be read is
// told from what is empty.
func TestWatermarksOutliveRestart(t *testing.T) {
	disk := &fakeStorage{}
	store := NewWatermarkStore(quota.NewAllocator(), disk)
	if got := store.Load(); got == nil || len(got) != 0 {
		t.Errorf("without stored ones: %v", got)
	}
	if !store.store(map[string]float64{tenant: 3}) || store.Load()[tenant] != 3 {
		t.Errorf("loaded are %v", store.Load())
	}
	disk.value = []byte("garbled")
	if got := store.Load(); got != nil {
		t.Errorf("of garbled ones: %v", got)
	}
}

// TestWatermarksAreStoredWhenDue: watermarks are written when they have to move and not
// otherwise, also after a disk has refused one.
func TestWatermarksAreStoredWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := quota.NewAllocator()
		disk := &fakeStorage{refuses: true}
		store := NewWatermarkStore(allocator, disk)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go store.Run(ctx)
		time.Sleep(time.Minute)
		if disk.writes != 0 {
			t.Errorf("%d writes without a share", disk.writes)
		}
		now := time.Now()
		limits := quota.BucketLimits{Rate: slowRefillRate, Depth: bucketDepth}
		allocator.SetTenants(map[string]quota.BucketLimits{tenant: limits}, now)
		allocator.Renew(1, now.Add(time.Hour), now)
		allocator.Deposit(tenant, bucketDepth, now)
		time.Sleep(time.Second)
		if disk.writes == 0 || disk.value != nil {
			t.Errorf("%d writes to a disk that refuses", disk.writes)
		}
		disk.refuses = false
		allocator.Withdraw(tenant, 0.9*bucketDepth, time.Now())
		store.Wake()
		time.Sleep(time.Second)
		var watermarks map[string]float64
		if rpc.Unmarshal(disk.value, &watermarks) != nil || watermarks[tenant] <= 0 {
			t.Errorf("stored are %v", watermarks)
		}
		writes := disk.writes
		time.Sleep(time.Minute)
		if disk.writes != writes {
			t.Errorf("%d writes while nothing moves", disk.writes-writes)
		}
	})
}

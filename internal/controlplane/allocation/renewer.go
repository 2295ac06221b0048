package allocation

import (
	"context"
	"math/rand/v2"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/quota"
	"comethold/internal/ratelimit"
)

const (
	quotaRenewInterval   = ratelimit.QuotaLeaseDuration / 5
	quotaAcquireInterval = 150 * time.Millisecond // while this node's share is not the fair one
	quotaRequestTimeout  = ratelimit.QuotaLeaseDuration / 5
)

// Pauses are drawn between these parts of an interval, lest all nodes ask at once.
const (
	minJitter   = 0.8
	jitterRange = 0.4
)

// ShareRequester asks for shares.
type ShareRequester interface {
	Request(ctx context.Context, request distribution.ShareRequest) (distribution.ShareGrant, error)
}

// QuotaShareRenewerOptions are what a QuotaShareRenewer needs.
type QuotaShareRenewerOptions struct {
	NodeName  string
	Allocator *quota.Allocator
	Tenants   *Tenants
	Shares    ShareRequester
	// Watermarks are what buckets held at least at the end of the former incarnation; nil if
	// that is not known.
	Watermarks map[string]float64
	Log        *logging.Logger
}

// QuotaShareRenewer keeps the lease on this node's share of the tenants' quotas, once there
// are tenants with limits. Its state belongs to the goroutine of Run.
type QuotaShareRenewer struct {
	options      QuotaShareRenewerOptions
	requests     distribution.RequestNumber
	fairPermille int                // as of the last grant
	watermarks   map[string]float64 // to restore with the first grant; nil afterwards
}

// NewQuotaShareRenewer returns a QuotaShareRenewer; Run starts it.
func NewQuotaShareRenewer(options QuotaShareRenewerOptions) *QuotaShareRenewer {
	return &QuotaShareRenewer{
		options:    options,
		requests:   distribution.NewRequestNumber(),
		watermarks: options.Watermarks,
	}
}

// Run renews the share until the context ends.
func (r *QuotaShareRenewer) Run(ctx context.Context) {
	for {
		interval := quotaAcquireInterval
		if r.options.Tenants.HasLimits() && r.renew(ctx) && r.holdsFairShare() {
			interval = quotaRenewInterval
		}
		jitter := minJitter + jitterRange*rand.Float64()
		select {
		case <-time.After(time.Duration(jitter * float64(interval))):
		case <-ctx.Done():
			return
		}
	}
}

// holdsFairShare reports whether this node's share is what each holder should have.
func (r *QuotaShareRenewer) holdsFairShare() bool {
	share, _ := r.options.Allocator.Share(time.Now())
	return share != 0 && int(share*ratelimit.FullShare+0.5) == r.fairPermille
}

// renew asks for what was fair at the last renewal, and reports whether it was granted a
// share. What is to be given up is not used any more from before it asks. A request that is
// under way when the node stops is brought to its end.
func (r *QuotaShareRenewer) renew(ctx context.Context) bool {
	allocator := r.options.Allocator
	askedAt := time.Now()
	allocator.Shrink(float64(r.fairPermille)/ratelimit.FullShare, askedAt)
	share, leased := allocator.Share(askedAt)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), quotaRequestTimeout)
	defer cancel()
	grant, err := r.options.Shares.Request(ctx, distribution.ShareRequest{
		Table:     distribution.QuotaShares,
		Node:      r.options.NodeName,
		Permille:  r.fairPermille,
		HoldsNone: !leased,
		Number:    r.requests.Next(),
	})
	if err != nil || !grant.Granted {
		return false
	}
	grantedShare := float64(grant.Permille) / ratelimit.FullShare
	if grantedShare != share {
		r.options.Log.Info(logging.QuotaShareChanged).Int("permille", grant.Permille).
			Int("fair", grant.FairPermille).Msg("the share of the tenants' quotas has changed")
	}
	now := time.Now()
	allocator.Renew(grantedShare, askedAt.Add(ratelimit.QuotaLeaseDuration), now)
	if r.watermarks != nil {
		allocator.Restore(r.watermarks, grant.Uninterrupted, now)
		r.watermarks = nil
	}
	r.fairPermille = grant.FairPermille
	return true
}

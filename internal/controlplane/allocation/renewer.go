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
	quotaAcquireInterval = 150 * time.Millisecond // while this node does not hold its fair share
	quotaRequestTimeout  = ratelimit.QuotaLeaseDuration / 5
)

// The pause between two requests is the interval times a random factor from minJitter to
// minJitter+jitterRange, so that nodes don't renew at the same time.
const (
	minJitter   = 0.8
	jitterRange = 0.4
)

// ShareRequester requests shares from the leader. *ShareService implements it.
type ShareRequester interface {
	Request(ctx context.Context, request distribution.ShareRequest) (distribution.ShareGrant, error)
}

// QuotaShareRenewerOptions are the dependencies and settings of a QuotaShareRenewer.
type QuotaShareRenewerOptions struct {
	NodeName     string
	Allocator    *quota.Allocator
	TenantLimits *TenantLimits
	Shares       ShareRequester
	// Watermarks holds the stored low watermarks by tenant. It is nil if they can't be read.
	Watermarks map[string]float64
	Log        *logging.Logger
}

// QuotaShareRenewer renews the lease on this node's share of the tenants' quotas while at least
// one tenant has limits. Only Run's goroutine uses its state.
type QuotaShareRenewer struct {
	options      QuotaShareRenewerOptions
	requests     distribution.RequestNumber
	fairPermille int                // as of the last grant
	watermarks   map[string]float64 // restored with the first grant, then nil
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
		if r.options.TenantLimits.HasLimits() && r.renew(ctx) && r.holdsFairShare() {
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

// holdsFairShare reports whether this node holds its fair share.
func (r *QuotaShareRenewer) holdsFairShare() bool {
	share, _ := r.options.Allocator.Share(time.Now())
	return share != 0 && int(share*ratelimit.FullShare+0.5) == r.fairPermille
}

// renew requests the share that was fair as of the last grant, and reports whether a share was
// granted. If this node holds more than that, renew gives up the excess before it sends the
// request. The request is not cancelled when the node stops.
func (r *QuotaShareRenewer) renew(ctx context.Context) bool {
	allocator := r.options.Allocator
	requestedAt := time.Now()
	allocator.Shrink(float64(r.fairPermille)/ratelimit.FullShare, requestedAt)
	share, leased := allocator.Share(requestedAt)
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
			Int("fair", grant.FairPermille).Msg("share of the tenants' quotas changed")
	}
	now := time.Now()
	allocator.Renew(grantedShare, requestedAt.Add(ratelimit.QuotaLeaseDuration), now)
	if r.watermarks != nil {
		allocator.Restore(r.watermarks, grant.Uninterrupted, now)
		r.watermarks = nil
	}
	r.fairPermille = grant.FairPermille
	return true
}

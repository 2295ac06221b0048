package controlplane

import (
	"context"
	"net/http"

	"comethold/internal/controlplane/allocation"
	"comethold/internal/controlplane/lease"
	"comethold/internal/distribution"
	"comethold/internal/quota"
	"comethold/internal/ratelimit"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"

	"github.com/labstack/echo/v4"
)

// rateShareTimeout bounds a node's request for a share of the rate limits.
const rateShareTimeout = ratelimit.LeaseDuration / 3

// quotaAllocation groups the components that allocate the tenants' quotas.
type quotaAllocation struct {
	tenantLimits *allocation.TenantLimits
	renewer      *allocation.QuotaShareRenewer
	watermarks   *allocation.WatermarkStore
	borrower     *allocation.Borrower
	tokens       *allocation.TokenServer
}

// openAllocation creates the components that allocate shares and quotas. It needs s.host.
func (s *Server) openAllocation(store *storage.Store) {
	s.shares = allocation.NewShareService(s.host, lease.ClockSkewFactor)
	allocator := quota.NewAllocator()
	watermarks := allocation.NewWatermarkStore(allocator, store)
	tenantLimits := allocation.NewTenantLimits(s.settings.Bounds.AdmissionBounds(), allocator)
	borrower := allocation.NewBorrower(allocation.BorrowerOptions{
		Allocator: allocator,
		Peers:     s.host,
		Address:   s.settings.IPAddress,
		Port:      s.settings.PortOf(settings.ControlPlane),
		Region:    s.settings.RegionName,
		RegionOf:  s.settings.RegionOf,
	})
	s.quotas = quotaAllocation{
		tenantLimits: tenantLimits,
		watermarks:   watermarks,
		borrower:     borrower,
		renewer: allocation.NewQuotaShareRenewer(allocation.QuotaShareRenewerOptions{
			NodeName:     s.settings.NodeName,
			Allocator:    allocator,
			TenantLimits: tenantLimits,
			Shares:       s.shares,
			Watermarks:   watermarks.Load(),
			Log:          s.log,
		}),
		tokens: allocation.NewTokenServer(allocation.TokenServerOptions{
			Allocator:   allocator,
			Borrower:    borrower,
			OnShortfall: watermarks.Wake,
		}),
	}
}

// handleRateShare renews a node's share of the rate limits. On an error it answers with an
// empty grant, after which the node retries.
func (s *Server) handleRateShare(c echo.Context) error {
	var request distribution.ShareRequest
	if err := rpc.DecodeRequest(c.Request().Body, &request); err != nil || !s.shares.IsValid(&request) {
		return c.NoContent(http.StatusBadRequest)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), rateShareTimeout)
	defer cancel()
	grant, err := s.shares.Request(ctx, request)
	if err != nil {
		grant = distribution.ShareGrant{}
	}
	return writeCBOR(c, grant)
}

// handleShareDecision decides a share request that another control node forwarded to this
// node as the leader of the meta cell.
func (s *Server) handleShareDecision(c echo.Context) error {
	var request distribution.ShareRequest
	if err := rpc.DecodeRequest(c.Request().Body, &request); err != nil || !s.shares.HasTable(request.Table) {
		return c.NoContent(http.StatusBadRequest)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	return writeCBOR(c, s.shares.DecideLocal(ctx, request))
}

package controlplane

import (
	"net/http"

	"comethold/internal/controlplane/endpointlist"
	"comethold/internal/controlplane/nodereports"
	"comethold/internal/controlplane/reconcile"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/distribution"
	"comethold/internal/settings"

	"github.com/labstack/echo/v4"
)

// openReconciler creates the reconciler and the components that keep the endpoint list up to
// date. It needs s.host, s.distributor and the leases.
func (s *Server) openReconciler(self replicahost.PeerInfo) {
	s.reconciler = reconcile.New(reconcile.Options{
		Self:    self,
		Cells:   s.host,
		Peers:   s.host,
		Lists:   s.distributor,
		Reports: nodereports.NewTracker(),
		Prober: reconcile.RPCProber{
			Client:          s.client,
			DataPlanePort:   s.settings.PortOf(settings.DataPlane),
			ObjectCachePort: s.settings.PortOf(settings.ObjectCache),
		},
		DiscoveryLease: s.discoveryLease,
		PlacementLease: s.placementLease,
		Log:            s.log,
	})
	s.endpointFetcher = endpointlist.NewFetcher(s.distributor, s.host)
	if s.platform == nil {
		return
	}
	s.endpointPoller = endpointlist.NewPoller(endpointlist.PollerOptions{
		Platform:     s.platform,
		Lease:        s.discoveryLease,
		Store:        s.distributor,
		Peers:        s.host,
		SelfAddress:  self.Addr,
		DrainTimeout: s.settings.Bounds.DrainTimeout(),
		OnChange:     s.reconciler.Wake,
		Log:          s.log,
	})
}

// receiveEndpoints stores the endpoint list that the polling node sent, unless it sent only a
// revision. It returns the revision of the list that this node then has.
func (s *Server) receiveEndpoints(list *distribution.EndpointList) any {
	if list.Endpoints != nil {
		return s.distributor.SetEndpoints(list)
	}
	return s.distributor.EndpointsRevision()
}

// handleFetchEndpoints answers with this node's endpoint list, or 404 if it has none.
func (s *Server) handleFetchEndpoints(c echo.Context) error {
	if list := s.distributor.Endpoints(); list != nil {
		return writeCBOR(c, list)
	}
	return c.NoContent(http.StatusNotFound)
}

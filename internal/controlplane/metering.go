package controlplane

import (
	"net/http"

	"comethold/internal/controlplane/metering"
	"comethold/internal/controlplane/placement"
	"comethold/internal/rpc"
	"comethold/internal/storage"

	"github.com/labstack/echo/v4"
)

// usageMetering groups the components that count and report the tenants' usage.
type usageMetering struct {
	collector *metering.Collector
	counts    *metering.CountStore
	reporter  *metering.Reporter
}

// openMetering creates the components that store and report the collected counts. It needs
// s.host, s.distributor and s.usageLease.
func (s *Server) openMetering(store *storage.Store) {
	bounds := &s.settings.Bounds
	s.usage.counts = metering.NewCountStore(s.usage.collector, store, bounds.UsageWindow())
	if s.settings.ReportsUsage() {
		s.usage.counts.Restore()
	}
	s.usage.reporter = metering.NewReporter(metering.ReporterOptions{
		Collector: s.usage.collector,
		Platform: metering.NewPlatformClient(metering.PlatformClientOptions{
			Network:           s.network,
			Address:           s.settings.Platform.Address,
			NodeName:          s.settings.NodeName,
			Lease:             s.usageLease,
			LeaseDuration:     bounds.LeaseDuration(),
			MaxCallsPerSecond: s.settings.Platform.SingletonRoleCallsPerS / 2,
			StartedAt:         s.startedAt,
		}),
		Lease:   s.usageLease,
		State:   metaCell{s.host},
		Peers:   s.host,
		Nodes:   s.distributor.Nodes,
		Address: s.settings.IPAddress,
		Voters:  placement.VotersFor(s.settings.Tolerance.MachineLosses),
		Window:  bounds.UsageWindow(),
		Delay:   bounds.UsageReportDelay(),
		Log:     s.log,
	})
}

// handleUsageWindow answers another control node with this node's counts of a window.
func (s *Server) handleUsageWindow(c echo.Context) error {
	var request metering.WindowRequest
	if err := rpc.DecodeRequest(c.Request().Body, &request); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	return writeCBOR(c, s.usage.collector.Window(request.Window))
}

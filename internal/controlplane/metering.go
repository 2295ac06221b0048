package controlplane

import (
	"net/http"

	"comethold/internal/controlplane/metering"
	"comethold/internal/controlplane/placement"
	"comethold/internal/rpc"
	"comethold/internal/storage"

	"github.com/labstack/echo/v4"
)

// usageMetering is what counts and reports what tenants use.
type usageMetering struct {
	collector *metering.Collector
	counts    *metering.CountStore
	reporter  *metering.Reporter
}

// openMetering makes what stores and reports the collected counts. The host and the lease must be made
// and not run yet.
func (r *Server) openMetering(store *storage.Store) {
	bounds := &r.settings.Bounds
	r.usage.counts = metering.NewCountStore(r.usage.collector, store, bounds.UsageWindow())
	if r.settings.ReportsUsage() {
		r.usage.counts.Restore()
	}
	r.usage.reporter = metering.NewReporter(metering.ReporterOptions{
		Collector: r.usage.collector,
		Platform: metering.NewPlatformClient(metering.PlatformClientOptions{
			Network:           r.network,
			Address:           r.settings.Platform.Address,
			NodeName:          r.settings.NodeName,
			Lease:             r.usageLease,
			LeaseDuration:     bounds.Lease(),
			MaxCallsPerSecond: r.settings.Platform.DutiesPerS / 2,
			StartedAt:         r.startedAt,
		}),
		Lease:   r.usageLease,
		State:   metaCell{r.host},
		Peers:   r.host,
		Nodes:   r.board.Nodes,
		Address: r.settings.IPAddress,
		Voters:  placement.VotersFor(r.settings.Tolerance.MachineLosses),
		Window:  bounds.UsageWindow(),
		Delay:   bounds.UsageReportDelay(),
		Log:     r.log,
	})
}

// handleUsageWindow tells another control node what this one knows of a window.
func (r *Server) handleUsageWindow(c echo.Context) error {
	var request metering.WindowRequest
	if err := rpc.DecodeRequest(c.Request().Body, &request); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	return writeCBOR(c, r.usage.collector.Window(request.Window))
}

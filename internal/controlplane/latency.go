package controlplane

import (
	"context"
	"net/http"
	"time"

	"comethold/internal/controlplane/latency"
	"comethold/internal/distribution"
	"comethold/internal/settings"

	"github.com/labstack/echo/v4"
)

// estimatesTimeout bounds an operator's request for estimates.
const estimatesTimeout = 4 * time.Second

// latencyEstimates groups the components that collect and export latency estimates.
type latencyEstimates struct {
	collector  *latency.Collector
	exportFile *latency.ExportFile
	exporter   *latency.Exporter
}

// openLatencyEstimates creates the components that collect and export latency estimates. It
// needs s.distributor.
func (s *Server) openLatencyEstimates() {
	collector := latency.NewCollector(s.distributor.Nodes, s.settings.PortOf(settings.DataPlane), s.client)
	exportFile := latency.NewExportFile(s.settings.DataDirectory, s.disk)
	s.estimates = latencyEstimates{
		collector:  collector,
		exportFile: exportFile,
		exporter:   latency.NewExporter(collector, exportFile, s.settings.AvailabilityZone, s.log),
	}
}

// handleReadEstimates answers with the estimates of all data plane nodes. The optional query
// parameters service and class select estimates, and seconds limits the age of slow lookups.
func (s *Server) handleReadEstimates(c echo.Context) error {
	request := distribution.EstimatesRequest{Service: c.QueryParam("service"), Class: c.QueryParam("class")}
	ctx, cancel := context.WithTimeout(c.Request().Context(), estimatesTimeout)
	defer cancel()
	view := s.estimates.collector.CollectAll(ctx, request)
	if age, err := time.ParseDuration(c.QueryParam("seconds") + "s"); err == nil {
		view.KeepRecent(age)
	}
	return c.JSON(http.StatusOK, view)
}

// handleReadSavedEstimates answers with the estimates that this control node has exported,
// oldest first.
func (s *Server) handleReadSavedEstimates(c echo.Context) error {
	return c.JSON(http.StatusOK, s.estimates.exportFile.Lines())
}

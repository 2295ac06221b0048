package latency

import (
	"context"
	"time"

	"comethold/internal/logging"
)

const (
	exportInterval = 2 * time.Minute // nodes keep the estimates of the last one to two minutes
	exportTimeout  = 10 * time.Second
)

// Exporter appends the estimates of the data plane nodes of a zone to an ExportFile.
type Exporter struct {
	collector *Collector
	file      *ExportFile
	zone      string
	log       *logging.Logger
}

// NewExporter returns an Exporter; Run starts it.
func NewExporter(collector *Collector, file *ExportFile, zone string, log *logging.Logger) *Exporter {
	return &Exporter{collector: collector, file: file, zone: zone, log: log}
}

// Run exports the estimates every exportInterval until the context ends.
func (e *Exporter) Run(ctx context.Context) {
	var lastExport time.Time
	for {
		select {
		case <-time.After(exportInterval):
		case <-ctx.Done():
			return
		}
		view := e.collect(ctx)
		view.dropSlowThrough(lastExport)
		lastExport = view.At
		if err := e.file.Append(view); err != nil {
			e.log.Warn(logging.EstimateExportFailed).Err(err).Msg("failed to write the latency estimates to the export file")
		}
	}
}

// collect requests the estimates of the nodes. It is not cancelled when this node stops: a cancelled
// collection would record the remaining nodes as unanswered.
func (e *Exporter) collect(ctx context.Context) View {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exportTimeout)
	defer cancel()
	return e.collector.CollectZone(ctx, e.zone)
}

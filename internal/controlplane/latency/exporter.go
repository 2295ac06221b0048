package latency

import (
	"context"
	"time"

	"comethold/internal/logging"
)

const (
	exportInterval = 2 * time.Minute // nodes keep estimates of the last one to two minutes
	exportTimeout  = 10 * time.Second
)

// Exporter writes the estimates of the data plane nodes of a zone to an ExportFile.
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

// Run exports until the context ends.
func (e *Exporter) Run(ctx context.Context) {
	var lastExport time.Time
	for {
		select {
		case <-time.After(exportInterval):
		case <-ctx.Done():
			return
		}
		view := e.collect(ctx)
		view.dropSlowUntil(lastExport)
		lastExport = view.At
		if err := e.file.Append(view); err != nil {
			e.log.Warn(logging.EstimateExportFailed).Err(err).Msg("the estimates could not be written")
		}
	}
}

// collect requests the estimates of the nodes. It is not cancelled when this node stops, since
// nodes that were not asked would be recorded as unanswered.
func (e *Exporter) collect(ctx context.Context) View {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exportTimeout)
	defer cancel()
	return e.collector.CollectZone(ctx, e.zone)
}

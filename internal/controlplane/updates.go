package controlplane

import (
	"time"

	"comethold/internal/distribution"
)

// recordNodeCall notes who calls and what they report.
func (r *Server) recordNodeCall(call *distribution.UpdateRequest) {
	if r.reports.Record(call, time.Now()) {
		r.wakeReconciler()
	}
}

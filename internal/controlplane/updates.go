package controlplane

import (
	"net/http"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/distribution"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// handleUpdates answers a switch as soon as there is news.
func (r *Server) handleUpdates(c echo.Context) error {
	var call distribution.UpdateRequest
	if err := rpc.DecodeRequest(c.Request().Body, &call); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	r.recordNodeCall(&call)
	hold := time.NewTimer(longPollTimeout)
	defer hold.Stop()
	for {
		stale := r.host.QuorumContactAge() > replicahost.StaleAfter
		news, change := r.board.Update(&call, stale)
		if stale || call.Immediate || !news.Empty {
			return c.Blob(http.StatusOK, rpc.ContentType, news.Body)
		}
		select {
		case <-change:
		case <-hold.C:
			news, _ = r.board.Update(&call, r.host.QuorumContactAge() > replicahost.StaleAfter)
			return c.Blob(http.StatusOK, rpc.ContentType, news.Body)
		case <-c.Request().Context().Done():
			return nil
		case <-r.quit:
			return c.NoContent(http.StatusServiceUnavailable)
		}
	}
}

// recordNodeCall notes who calls and what they report.
func (r *Server) recordNodeCall(call *distribution.UpdateRequest) {
	if r.reports.Record(call, time.Now()) {
		r.wakeReconciler()
	}
}

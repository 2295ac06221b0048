package controlplane

import (
	"context"
	"net/http"

	"comethold/internal/controlplane/allocation"
	"comethold/internal/controlplane/metering"
	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/placement"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// InternalHandler serves what the system's own processes call.
func (r *Server) InternalHandler() *echo.Echo {
	e := newRouter(r.log)
	e.Use(r.requireReady)
	e.POST("/cells", func(c echo.Context) error {
		var b replicahost.Batch
		if err := rpc.DecodeRequest(c.Request().Body, &b); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		r.host.Receive(&b)
		return c.NoContent(http.StatusNoContent)
	})
	decide := func(f func(context.Context, *replicahost.ProposeRequest) replicahost.ProposeResult) echo.HandlerFunc {
		return func(c echo.Context) error {
			var p replicahost.ProposeRequest
			if err := rpc.DecodeRequest(c.Request().Body, &p); err != nil {
				return c.NoContent(http.StatusBadRequest)
			}
			ctx, cancel := context.WithTimeout(c.Request().Context(), RequestTimeout)
			defer cancel()
			return writeCBOR(c, f(ctx, &p))
		}
	}
	e.POST("/propose", decide(func(ctx context.Context, p *replicahost.ProposeRequest) replicahost.ProposeResult {
		return r.host.ProposeLocal(ctx, p.Cell, p.Txn)
	}))
	e.POST("/confirm", decide(func(ctx context.Context, p *replicahost.ProposeRequest) replicahost.ProposeResult {
		return r.host.ReadIndexLocal(ctx, p.Cell)
	}))
	e.POST(allocation.LeaderPath, r.handleShareDecision)
	e.POST("/move", func(c echo.Context) error {
		var o placement.MoveRequest
		if err := rpc.DecodeRequest(c.Request().Body, &o); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), RequestTimeout)
		defer cancel()
		return writeCBOR(c, r.mover.MoveLocal(ctx, &o))
	})
	e.POST("/list", func(c echo.Context) error {
		var l distribution.EndpointList
		if err := rpc.DecodeRequest(c.Request().Body, &l); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		if l.Endpoints != nil {
			return writeCBOR(c, r.board.SetEndpoints(&l))
		}
		return writeCBOR(c, r.board.EndpointsVersion())
	})
	e.POST("/list/read", func(c echo.Context) error {
		if l := r.board.Endpoints(); l != nil {
			return writeCBOR(c, l)
		}
		return c.NoContent(http.StatusNotFound)
	})
	e.POST(metering.WindowPath, r.handleUsageWindow)
	e.POST(outboxpublisher.DeliverPath, func(c echo.Context) error {
		var list []outbox.Notification
		if err := rpc.DecodeRequest(c.Request().Body, &list); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		return writeCBOR(c, r.consumer.Receive(list))
	})
	e.POST("/feed", r.handleUpdates)
	e.POST("/ration", r.handleRateShare)
	return e
}

package controlplane

import (
	"context"
	"net/http"
	"time"

	"comethold/internal/controlplane/allocation"
	"comethold/internal/controlplane/endpointlist"
	"comethold/internal/controlplane/metering"
	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/placement"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/outbox"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// requestTimeout bounds a request between control nodes.
const requestTimeout = 1500 * time.Millisecond

// RPC paths on which other processes of the system request updates and shares of the rate limits.
const (
	updatesPath   = "/feed"
	rateSharePath = "/ration"
)

// InternalHandler returns the handler of calls from the system's own processes.
func (s *Server) InternalHandler() *echo.Echo {
	e := newRouter(s.log)
	e.Use(s.requireReady)
	s.registerPeerCalls(e)
	e.POST(updatesPath, func(c echo.Context) error { return s.longPoll.Handle(c) })
	e.POST(rateSharePath, s.handleRateShare)
	return e
}

// registerPeerCalls adds the routes of the calls between control nodes.
func (s *Server) registerPeerCalls(e *echo.Echo) {
	e.POST(replicahost.PathMessages, handleRPC(func(batch *replicahost.Batch) any {
		s.host.Receive(batch)
		return nil
	}))
	e.POST(replicahost.PathPropose, handleBoundedRPC(func(ctx context.Context, request *replicahost.ProposeRequest) any {
		return s.host.ProposeLocal(ctx, request.Cell, request.Txn)
	}))
	e.POST(replicahost.PathReadIndex, handleBoundedRPC(func(ctx context.Context, request *replicahost.ProposeRequest) any {
		return s.host.ReadIndexLocal(ctx, request.Cell)
	}))
	e.POST(placement.PathMove, handleBoundedRPC(func(ctx context.Context, request *placement.MoveRequest) any {
		return s.mover.MoveLocal(ctx, request)
	}))
	e.POST(allocation.ShareRequestPath, s.handleShareDecision)
	e.POST(endpointlist.PathPush, handleRPC(s.receiveEndpoints))
	e.POST(endpointlist.PathFetch, s.handleFetchEndpoints)
	e.POST(metering.WindowPath, s.handleUsageWindow)
	e.POST(outboxpublisher.DeliverPath, handleRPC(func(list *[]outbox.Notification) any {
		return s.consumer.Receive(*list)
	}))
}

// handleRPC returns the HTTP handler of a call whose body is a Request. It answers 400 if the body
// can't be decoded, 204 if the response is nil, otherwise 200. answer must not block: it runs
// without a time-out, to keep the cost of the frequent messages between replicas low.
func handleRPC[Request any](answer func(*Request) any) echo.HandlerFunc {
	return func(c echo.Context) error {
		var request Request
		if err := rpc.DecodeRequest(c.Request().Body, &request); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		if response := answer(&request); response != nil {
			return writeCBOR(c, response)
		}
		return c.NoContent(http.StatusNoContent)
	}
}

// handleBoundedRPC is like handleRPC, but answer may block: its context ends after
// requestTimeout. It answers 200 with the response, also if that is nil.
func handleBoundedRPC[Request any](answer func(context.Context, *Request) any) echo.HandlerFunc {
	return func(c echo.Context) error {
		var request Request
		if err := rpc.DecodeRequest(c.Request().Body, &request); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
		defer cancel()
		return writeCBOR(c, answer(ctx, &request))
	}
}

package objectcache

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"comethold/internal/rpc"
	"comethold/internal/settings"

	"github.com/labstack/echo/v4"
)

// An errand is a call that a switch itself makes to a service with a rate, on a
// route that is not cacheable. All that arrives there counts, so it waits for its
// turn under an announcer's share like the announcer's own reads.

type permitRequest struct {
	Service string `cbor:"1,keyasint"`
	WaitMs  int64  `cbor:"2,keyasint"`
}

type permitReply struct {
	Granted bool  `cbor:"1,keyasint,omitempty"`
	RetryMs int64 `cbor:"2,keyasint,omitempty"`
}

const permitRetryDelay = 300 * time.Millisecond

func (a *Server) handlePermit(c echo.Context) error {
	var e permitRequest
	if err := rpc.DecodeRequest(c.Request().Body, &e); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	b, err := rpc.Marshal(a.permit(&e))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeUncompressedBody(b))
}

func (a *Server) permit(e *permitRequest) permitReply {
	plan := a.RouteTable()
	if plan == nil || plan.Services[e.Service] == nil || a.Disconnected(disconnectedAfter) {
		return permitReply{RetryMs: permitRetryDelay.Milliseconds()}
	}
	wait := time.Duration(e.WaitMs) * time.Millisecond
	t, back := a.scheduler.admit(&queuedRead{service: e.Service, rate: plan.Services[e.Service].RatePerSecond, permitOnly: true,
		waiters: func() int { return 1 }, deadline: time.Now().Add(wait / queueTimeDivisor)})
	return permitReply{Granted: t != nil, RetryMs: back.Milliseconds()}
}

// Permit waits until a call may be made to a service; if it may not, it says when
// to come back.
func (s *Client) Permit(service string, until time.Time) (ok bool, back time.Duration) {
	plan := s.peers.control.RouteTable()
	if plan == nil || plan.Services[service] == nil || plan.Services[service].RatePerSecond <= 0 {
		return true, 0
	}
	// Each announcer has its part of the rate: the calls go round.
	for i, n := range s.peers.rankedCaches(strconv.FormatInt(s.permitRound.Add(1), 36), true) {
		left := time.Until(until) - deadlineMargin
		if i == maxCachesTried || left <= 0 {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), left)
		var l permitReply
		addr := net.JoinHostPort(n.Addr, strconv.Itoa(s.peers.control.Settings.PortOf(settings.ObjectCache)))
		err := s.peers.rpcClient.Call(ctx, addr, "/errand", &permitRequest{Service: service, WaitMs: left.Milliseconds()}, &l)
		cancel()
		if err == nil {
			return l.Granted, time.Duration(l.RetryMs) * time.Millisecond
		}
		s.peers.markFailed(n)
	}
	return false, permitRetryDelay
}

package objectcache

import (
	"context"
	"net/http"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// requestPermit asks one server for a permit to call a service.
func (c *serverClient) requestPermit(
	ctx context.Context, n distribution.Node, service string, wait time.Duration,
) (permitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	request := permitRequest{Service: service, WaitMs: wait.Milliseconds()}
	var reply permitReply
	err := c.call(ctx, n, permitPath, &request, &reply)
	return reply, err
}

func (s *Server) handlePermit(c echo.Context) error {
	var request permitRequest
	if err := rpc.DecodeRequest(c.Request().Body, &request); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	encoded, err := rpc.Marshal(s.permit(&request))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeUncompressedBody(encoded))
}

// permit waits until a call that a data plane node makes to a service may start, or is rejected.
// Such calls count against the service's rate, so they wait in the same queue as this server's reads.
func (s *Server) permit(request *permitRequest) permitReply {
	table := s.RouteTable()
	if table == nil || table.Services[request.Service] == nil || s.Disconnected(disconnectedAfter) {
		return permitReply{RetryMs: permitRetryDelay.Milliseconds()}
	}
	wait := time.Duration(request.WaitMs) * time.Millisecond
	result := s.scheduler.admit(&queuedRead{
		service:    request.Service,
		rate:       table.Services[request.Service].RatePerSecond,
		permitOnly: true,
		waiters:    func() int { return 1 },
		deadline:   time.Now().Add(wait / queueTimeDivisor),
	})
	return permitReply{Granted: result.granted, RetryMs: result.retryAfter.Milliseconds()}
}

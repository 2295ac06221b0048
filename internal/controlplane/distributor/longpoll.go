package distributor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// longPollTimeout is the time after which a request is answered even if there are no changes.
const longPollTimeout = time.Second

var errStopping = errors.New("distributor: this node is stopping")

// LongPoll answers requests for updates as soon as there are changes.
type LongPoll struct {
	Distributor *Distributor
	// IsStale reports whether this node has lost contact with the quorum. Requests are then
	// answered at once.
	IsStale func() bool
	// Record is called with each request, to record the reports that it contains.
	Record func(*distribution.UpdateRequest)
	// Stopping is closed when this node starts to stop. Pending requests are then answered
	// with 503.
	Stopping <-chan struct{}
}

// Handle handles POST /feed.
func (p *LongPoll) Handle(c echo.Context) error {
	var request distribution.UpdateRequest
	if err := rpc.DecodeRequest(c.Request().Body, &request); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	p.Record(&request)
	update, err := p.wait(c.Request().Context(), &request)
	switch {
	case errors.Is(err, errStopping):
		return c.NoContent(http.StatusServiceUnavailable)
	case err != nil:
		return nil // the client has disconnected
	}
	return c.Blob(http.StatusOK, rpc.ContentType, update.Body)
}

// wait returns the update for a request once it is not empty, or after longPollTimeout. It
// returns at once if the state is stale or the request is immediate. The error is errStopping or
// that of ctx.
func (p *LongPoll) wait(ctx context.Context, request *distribution.UpdateRequest) (*EncodedUpdate, error) {
	timeout := time.NewTimer(longPollTimeout)
	defer timeout.Stop()
	for {
		isStale := p.IsStale()
		update, changed := p.Distributor.EncodedChanges(request, isStale)
		if isStale || request.Immediate || !update.IsEmpty {
			return update, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			update, _ = p.Distributor.EncodedChanges(request, p.IsStale())
			return update, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-p.Stopping:
			return nil, errStopping
		}
	}
}

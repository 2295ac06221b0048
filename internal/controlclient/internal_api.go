package controlclient

import (
	"net"
	"net/http"
	"strconv"

	"comethold/internal/distribution"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// Paths of the internal API.
const (
	updatePath = "/feed" // the control plane serves updates at the same path
	probePath  = "/here" // the control plane probes suspects here
)

// InternalHandler returns the handler of the internal API. It serves updates to nodes that can't
// reach a control node, and responds to the control plane's probes.
func (c *Client) InternalHandler() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.POST(probePath, func(ec echo.Context) error { return ec.NoContent(http.StatusNoContent) })
	e.POST(updatePath, c.handleUpdateRequest)
	return e
}

// InternalAddress returns the address (host and port) at which this node serves the internal API.
func (c *Client) InternalAddress() string {
	return net.JoinHostPort(c.Settings.IPAddress, strconv.Itoa(c.Settings.PortOf(c.program)))
}

func (c *Client) handleUpdateRequest(ec echo.Context) error {
	var request distribution.UpdateRequest
	if err := rpc.DecodeRequest(ec.Request().Body, &request); err != nil {
		return ec.NoContent(http.StatusBadRequest)
	}
	sameZone := request.Node.Zone == c.Settings.AvailabilityZone
	encoded, err := rpc.Marshal(c.state.updateFor(request.Held, sameZone))
	if err != nil {
		return err
	}
	return ec.Blob(http.StatusOK, rpc.ContentType, rpc.EncodeBody(encoded))
}

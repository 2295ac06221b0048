package operatorapi

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"comethold/internal/logging"
	"comethold/internal/routing"

	"github.com/labstack/echo/v4"
)

// Limits of request bodies.
const (
	maxSmallBodyBytes  = 64 << 10 // of purges and redrives
	maxChangeBytes     = 8 << 20
	largeChangeBytes   = 1 << 20 // larger changes are read one at a time
	largeChangeMaxWait = 500 * time.Millisecond
	bodyReadTimeout    = 10 * time.Second
)

// baseVersionHeader is the header with the version that a change is based on.
const baseVersionHeader = "X-Comethold-Base-Version"

// change is a request to change the configuration.
type change struct {
	version uint64
	base    uint64 // the version that the change is based on
	raw     []byte // the request body
	// apply returns the next configuration and its JSON, given the JSON of the current one.
	apply func(current []byte) (next *routing.Configuration, raw []byte, err error)
}

// parseFunc parses the raw field of a change and sets its version and apply fields.
type parseFunc func(*change) error

func parseReplacement(request *change) error {
	configuration, err := routing.Parse(request.raw)
	if err != nil {
		return err
	}
	request.version = configuration.Version
	request.apply = func([]byte) (*routing.Configuration, []byte, error) {
		return configuration, request.raw, nil
	}
	return nil
}

func parseAmendment(request *change) error {
	amendment, err := routing.ParseAmendment(request.raw)
	if err != nil {
		return err
	}
	request.version = amendment.Version
	request.apply = amendment.Apply
	return nil
}

// readChange reads and parses a change. Parsing a large change takes many times its size in
// memory, so large changes are read one at a time. A body of unknown length counts as large.
func (h *Handler) readChange(c echo.Context, parse parseFunc) (*change, error) {
	if n := c.Request().ContentLength; n < 0 || n > largeChangeBytes {
		select {
		case h.largeBodySlot <- struct{}{}:
			defer func() { <-h.largeBodySlot }()
		case <-time.After(largeChangeMaxWait):
			return nil, errLargeBodyInProgress
		case <-c.Request().Context().Done():
			return nil, errClientDisconnected
		}
	}
	raw, err := readBody(c, maxChangeBytes)
	if err != nil {
		return nil, err
	}
	base, err := strconv.ParseUint(c.Request().Header.Get(baseVersionHeader), 10, 64)
	if err != nil {
		return nil, &InvalidRequestError{errNoBaseVersion}
	}
	request := &change{base: base, raw: raw}
	if err := parse(request); err != nil {
		h.log.Warn(logging.ConfigRejected).Err(err).Msg("configuration or amendment rejected")
		return nil, &InvalidRequestError{err}
	}
	return request, nil
}

// readBody reads the body of a request. If the body is truncated or takes longer than
// bodyReadTimeout, the error is errTruncatedBody, so the client may send the request again.
func readBody(c echo.Context, maxBytes int64) ([]byte, error) {
	response := http.NewResponseController(c.Response())
	_ = response.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not every connection supports deadlines
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBytes+1))
	if err != nil {
		return nil, errTruncatedBody
	}
	if int64(len(raw)) > maxBytes {
		return nil, errBodyTooLarge
	}
	_ = response.SetReadDeadline(time.Time{})
	return raw, nil
}

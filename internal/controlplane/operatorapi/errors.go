package operatorapi

import (
	"errors"
	"fmt"
	"net/http"

	"comethold/internal/controlplane/replicahost"

	"github.com/labstack/echo/v4"
)

// retryAfter is the value of the Retry-After header of a 503 response, in seconds.
const retryAfter = "0.2"

// ErrNotReady rejects all requests until this node's storage is open.
var ErrNotReady = errors.New("the disk of this node does not answer yet")

// Errors of requests that may be sent again. The texts are part of the API's responses and
// must not change.
var (
	errForming             = errors.New("the control plane is still being founded")
	errReceiptDeleted      = errors.New("the order is so old that nobody knows whether it was taken")
	errContended           = errors.New("the cell is busy")
	errLargeBodyInProgress = errors.New("another large order is being read")
	errClientDisconnected  = errors.New("the caller is gone")
	errTruncatedBody       = errors.New("the body broke off")
)

// Errors of requests that fail again if sent unchanged.
var (
	errBodyTooLarge    = errors.New("the body is too large")
	errNoConfiguration = errors.New("no configuration has been taken yet")
	errUnknownEvent    = errors.New("no notice and no case has this eventId")
	errVersionNotAbove = errors.New("the version is not above the current one")
	errNoBaseVersion   = errors.New(baseVersionHeader + " holds no version")
)

// ConflictError reports that the base version of a change is not the current version.
type ConflictError struct {
	Current uint64
	Base    uint64 // of the change
}

// Error returns a message with the current version.
func (e *ConflictError) Error() string { return fmt.Sprintf("version %d is current", e.Current) }

// VersionReusedError reports that a change with other content was committed under the same
// version and base.
type VersionReusedError struct {
	Version uint64
}

// Error returns a message with the version.
func (e *VersionReusedError) Error() string {
	return fmt.Sprintf("version %d was taken with other content", e.Version)
}

// InvalidRequestError reports that a request is invalid; Err is the reason.
type InvalidRequestError struct {
	Err error
}

// Error returns the text of Err.
func (e *InvalidRequestError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *InvalidRequestError) Unwrap() error { return e.Err }

// statusOf returns the HTTP status for an error. It returns 503 if the request itself is not
// at fault. In that case nothing was committed or the outcome is unknown.
func statusOf(err error) int {
	var conflict *ConflictError
	var reused *VersionReusedError
	var invalid *InvalidRequestError
	switch {
	case errors.As(err, &conflict), errors.As(err, &reused):
		return http.StatusPreconditionFailed
	case errors.As(err, &invalid):
		return http.StatusBadRequest
	case errors.Is(err, errTruncatedBody):
		return http.StatusRequestTimeout
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoConfiguration), errors.Is(err, errUnknownEvent):
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// messageOf returns the text that a response contains for an error.
func messageOf(err error) string {
	switch {
	case errors.Is(err, replicahost.ErrBusy):
		return "the control plane is busy"
	case errors.Is(err, replicahost.ErrOutcomeUnknown):
		return "what became of the change is not known yet; send it again"
	case errors.Is(err, replicahost.ErrNoQuorum):
		return "the control plane has no majority"
	}
	return err.Error()
}

type errorResponse struct {
	ErrorMessage string `json:"errorMessage"`
}

// WriteError answers a request with the status and the text of an error.
func WriteError(c echo.Context, err error) error {
	status := statusOf(err)
	if status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", retryAfter)
	}
	if errors.Is(err, errTruncatedBody) {
		c.Response().Header().Set("Connection", "close")
	}
	return c.JSON(status, errorResponse{messageOf(err)})
}

package operatorapi

import (
	"errors"
	"fmt"
	"net/http"

	"comethold/internal/controlplane/replicahost"

	"github.com/labstack/echo/v4"
)

// retryAfter is what the header Retry-After says on a 503, in seconds.
const retryAfter = "0.2"

// ErrNotReady rejects all requests until this node's storage is open.
var ErrNotReady = errors.New("the disk of this node does not answer yet")

// Errors of requests that may be sent again. Operators read these texts, so they stay.
var (
	errForming        = errors.New("the control plane is still being founded")
	errForgotten      = errors.New("the order is so old that nobody knows whether it was taken")
	errContended      = errors.New("the cell is busy")
	errLargeBodyQueue = errors.New("another large order is being read")
	errCallerGone     = errors.New("the caller is gone")
	errTruncatedBody  = errors.New("the body broke off")
)

// Errors of requests that fail again if sent unchanged.
var (
	errBodyTooLarge    = errors.New("the body is too large")
	errNoConfiguration = errors.New("no configuration has been taken yet")
	errUnknownEvent    = errors.New("no notice and no case has this eventId")
	errVersionNotAbove = errors.New("the version is not above the current one")
	errNoBaseVersion   = errors.New(baseVersionHeader + " holds no version")
)

// ConflictError says that the base version of a change is not the current one.
type ConflictError struct {
	Current uint64
	Base    uint64 // of the change
}

// Error names the current version.
func (e *ConflictError) Error() string { return fmt.Sprintf("version %d is current", e.Current) }

// VersionReusedError says that another change was committed under the same version.
type VersionReusedError struct {
	Version uint64
}

// Error names the version.
func (e *VersionReusedError) Error() string {
	return fmt.Sprintf("version %d was taken with other content", e.Version)
}

// InvalidRequestError says what is wrong with a request.
type InvalidRequestError struct {
	Err error
}

// Error is the text of what is wrong.
func (e *InvalidRequestError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong.
func (e *InvalidRequestError) Unwrap() error { return e.Err }

// statusOf returns the HTTP status of an error. Errors that don't fault the request mean
// that nothing was committed or that the outcome is unknown: 503.
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

// messageOf returns the text of an error in the response.
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

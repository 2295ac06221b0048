package upstream

import (
	"errors"
	"net/http"
	"time"
)

// Errors of a call. They state whether the request may have been executed.
var (
	// ErrNotSent means that no byte of the request was sent, so it was not executed.
	ErrNotSent = errors.New("upstream: connection to the endpoint failed")
	// ErrResponseLost means that no complete and valid response was received. The
	// request may have been executed.
	ErrResponseLost = errors.New("upstream: no valid response received")
	// ErrCanceled means that the caller canceled the call. The request may have been
	// executed, unless the error also wraps ErrNotSent.
	ErrCanceled = errors.New("upstream: call canceled by the caller")
	// ErrTimeout means that no complete response was received before the deadline. The
	// request may have been executed.
	ErrTimeout = errors.New("upstream: endpoint did not respond before the deadline")
)

// Request is a request to an endpoint. Its target, header and body are sent unchanged.
type Request struct {
	Method string
	Target string
	Host   string
	// Header has no hop-by-hop headers; see EndToEndHeaders.
	Header http.Header
	Body   []byte
	// HasBody is true if the request has a body, even an empty one; Content-Length is then sent.
	HasBody bool
	ID      string
	// Deadline is the time after which the response is not used.
	Deadline time.Time
	// NonIdempotent marks a request that must not be executed twice. It is not sent on a
	// connection that was idle for longer than maxIdleNonIdempotent, since the endpoint may
	// have closed it, nor on one whose last response had neither ID nor server stamp.
	NonIdempotent bool
	// FanOut is true if the response is one of several to be merged. Its server stamp
	// must then differ from that of the previous response on the connection.
	FanOut bool
}

// Retryable reports whether the request may be sent again after an attempt with the
// given outcome.
func (r *Request) Retryable(outcome Outcome) bool {
	return !r.NonIdempotent || outcome == NotSent || outcome == Rejected
}

// Response is a complete response of an endpoint.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotExecuted reports whether the response states that the request was not executed.
func (r *Response) NotExecuted() bool {
	return r.Status == http.StatusMisdirectedRequest || r.Header.Get(HeaderNotExecuted) != ""
}

// IsSuccess reports whether the response is a valid success: a 2xx status with a server
// stamp and without a content encoding.
func (r *Response) IsSuccess() bool {
	return isSuccessStatus(r.Status) && r.Header.Get(HeaderServerStamp) != "" && r.Header.Get("Content-Encoding") == ""
}

func isSuccessStatus(status int) bool { return status/100 == 2 }

// Outcome states whether a request was sent to an endpoint and executed.
type Outcome uint8

// Outcomes. Comparisons rely on their order: for NotSent and Rejected it is certain that
// the endpoint did not execute the request.
const (
	NotSent  Outcome = iota // no byte of the request was sent
	Rejected                // the response states that the request was not executed
	Executed                // any other complete response was received
	Unknown                 // no complete response was received
)

// OutcomeOf returns the outcome of a call from its response and error.
func OutcomeOf(response *Response, err error) Outcome {
	switch {
	case errors.Is(err, ErrNotSent):
		return NotSent
	case err != nil:
		return Unknown
	case response.NotExecuted():
		return Rejected
	}
	return Executed
}

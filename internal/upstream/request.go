package upstream

import (
	"errors"
	"net/http"
	"time"
)

// Errors of a call. They say whether the request may have been executed.
var (
	// ErrNotSent means that no byte of the request was sent: it was not executed.
	ErrNotSent = errors.New("upstream: the endpoint could not be reached")
	// ErrResponseLost means that the request may have been executed, but no
	// complete response was received.
	ErrResponseLost = errors.New("upstream: the response was lost")
	// ErrCanceled means that the caller gave the call up. The request may have been
	// executed, unless the error wraps ErrNotSent too.
	ErrCanceled = errors.New("upstream: the call was given up")
	// ErrTimeout means that the request may have been executed, but its deadline
	// passed.
	ErrTimeout = errors.New("upstream: the endpoint did not answer in time")
)

// Request is a request to an endpoint, with target, header and body as the client sent
// them.
type Request struct {
	Method string
	Target string
	Host   string
	// Header has no hop-by-hop headers; see EndToEndHeaders.
	Header http.Header
	Body   []byte
	// HasBody says that the client framed a body, even an empty one.
	HasBody bool
	ID      string
	// Deadline is the time after which the response is not used.
	Deadline time.Time
	// NonIdempotent says that the request must not be executed twice. It is not sent
	// on a connection that was idle for long, since the endpoint may have closed it,
	// nor on one whose last response can't be distinguished from the next one.
	NonIdempotent bool
	// FanOut says that the response is one of several to be merged: its server
	// stamp belongs to this request alone.
	FanOut bool
}

// Retryable reports whether the request may be sent to an endpoint once more
// after an attempt with the given outcome.
func (r *Request) Retryable(outcome Outcome) bool {
	return !r.NonIdempotent || outcome == NotSent || outcome == Rejected
}

// Response is an endpoint's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotExecuted reports whether the endpoint says that it did not execute the request.
func (r *Response) NotExecuted() bool {
	return r.Status == http.StatusMisdirectedRequest || r.Header.Get(HeaderNotExecuted) != ""
}

// IsSuccess reports whether this is a valid success: one with a server stamp and
// without a content encoding.
func (r *Response) IsSuccess() bool {
	return isSuccessStatus(r.Status) && r.Header.Get(HeaderServerStamp) != "" && r.Header.Get("Content-Encoding") == ""
}

func isSuccessStatus(status int) bool { return status/100 == 2 }

// Outcome says whether a request was sent to an endpoint and executed.
type Outcome uint8

// The outcomes, in an order that comparisons rely on: up to Rejected it is certain that
// the endpoint did not execute the request.
const (
	NotSent  Outcome = iota // no byte of the request was sent
	Rejected                // the endpoint says that it did not execute it
	Executed                // the endpoint answered
	Unknown                 // no complete response was received
)

// OutcomeOf returns the outcome of a call by its response and error.
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

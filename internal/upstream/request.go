package upstream

import (
	"errors"
	"net/http"
	"time"
)

// Errors of a call. They say what may have become of the request.
var (
	// ErrNotSent means that no byte of the request was sent: it was not executed.
	ErrNotSent = errors.New("upstream: the endpoint could not be reached")
	// ErrResponseLost means that the request may have been executed, but no
	// complete response came.
	ErrResponseLost = errors.New("upstream: the response was lost")
	// ErrTimeout means that the request may have been executed, but its deadline
	// passed.
	ErrTimeout = errors.New("upstream: the endpoint did not answer in time")
)

// Request is what is forwarded to an endpoint: the client's bytes as they came.
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
	// Deadline is the moment after which the response is of no use.
	Deadline time.Time
	// NonIdempotent says that the request must not be executed twice. It is sent
	// on no connection that was idle for long, since the endpoint may have closed
	// it, and on none whose last response can't be distinguished from the next one's.
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

// IsSuccess reports whether this is a success that the protocol allows to count.
func (r *Response) IsSuccess() bool {
	return isSuccessStatus(r.Status) && r.Header.Get(HeaderServerStamp) != "" && r.Header.Get("Content-Encoding") == ""
}

func isSuccessStatus(status int) bool { return status/100 == 2 }

// Outcome is what became of a request at an endpoint.
type Outcome uint8

// The outcomes, from the most harmless on: only after the first two is it
// certain that the endpoint did not execute the request.
const (
	NotSent  Outcome = iota // no byte of the request was sent
	Rejected                // the endpoint says that it did not execute it
	Executed                // the endpoint answered
	Unknown                 // no complete response came
)

// OutcomeOf derives what became of a request from how its call ended.
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

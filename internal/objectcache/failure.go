package objectcache

import (
	"net/http"
	"time"
)

// Delays after which clients may retry.
const (
	behindRetryDelay       = 100 * time.Millisecond
	purgedRetryDelay       = 100 * time.Millisecond
	originRetryDelay       = 200 * time.Millisecond
	disconnectedRetryDelay = 300 * time.Millisecond
	noServerRetryDelay     = 300 * time.Millisecond
	permitRetryDelay       = 300 * time.Millisecond
)

// Reasons of failures. They are sent to clients, so their texts must not change.
const (
	reasonBehind                = "the announcer is behind"
	reasonRouteRemoved          = "the route is no more"
	reasonDisconnected          = "the announcer is out of touch"
	reasonNoRoute               = "no route"
	reasonResponseLost          = "the origin's answer was lost"
	reasonRateExceeded          = "the origin takes no more reads now"
	reasonOriginRejects         = "the origin turns reads away"
	reasonOriginFailed          = "the origin's own failure"
	reasonOriginUnreached       = "the origin cannot be reached"
	reasonTimeout               = "the object did not come in time"
	reasonBeingPurged           = "the object is being purged"
	reasonPanic                 = "the fetch failed inside"
	reasonNoTime                = "no time is left"
	reasonUnexpectedNotModified = "an announcer vouches for nothing"
	reasonNoServer              = "no announcer answers"
)

// Failure is the reason why a request gets no object.
type Failure struct {
	// Status, Header and Body are those of the origin's response, if the origin executed the request
	// and responded with an error.
	Status     int
	Header     http.Header
	Body       []byte
	Reason     string
	RetryAfter time.Duration // with status 503: the request was not executed and may be retried

	disconnected bool // the server has no contact with the control plane; another one may be asked
}

func newFailure(status int, reason string) *Failure { return &Failure{Status: status, Reason: reason} }

// newUnavailable returns a failure with status 503, which the client may retry after retryAfter.
func newUnavailable(reason string, retryAfter time.Duration) *Failure {
	return &Failure{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
}

// failureFromReply returns the failure in a server's reply.
func failureFromReply(r *objectReply) *Failure {
	return &Failure{
		Status:     r.Status,
		Header:     r.Header,
		Body:       r.Body,
		Reason:     r.Reason,
		RetryAfter: time.Duration(r.RetryMs) * time.Millisecond,
	}
}

// reply returns the reply that reports this failure to the caller.
func (f *Failure) reply() *objectReply {
	return &objectReply{
		Status:       f.Status,
		Reason:       f.Reason,
		Header:       f.Header,
		Body:         f.Body,
		RetryMs:      f.RetryAfter.Milliseconds(),
		Disconnected: f.disconnected,
	}
}

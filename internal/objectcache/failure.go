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

// The reasons of failures. Clients see them in answers, so their wording stays.
const (
	reasonBehind           = "the announcer is behind"
	reasonRouteRemoved     = "the route is no more"
	reasonDisconnected     = "the announcer is out of touch"
	reasonNoRoute          = "no route"
	reasonAnswerLost       = "the origin's answer was lost"
	reasonRateExceeded     = "the origin takes no more reads now"
	reasonOriginRejects    = "the origin turns reads away"
	reasonOriginFailed     = "the origin's own failure"
	reasonOriginUnreached  = "the origin cannot be reached"
	reasonTimeout          = "the object did not come in time"
	reasonBeingPurged      = "the object is being purged"
	reasonPanic            = "the fetch failed inside"
	reasonNoTime           = "no time is left"
	reasonNothingToConfirm = "an announcer vouches for nothing"
	reasonNoServer         = "no announcer answers"
)

// Failure says why there is no object.
type Failure struct {
	// Status, Header and Body are the origin's own, if it has answered.
	Status     int
	Header     http.Header
	Body       []byte
	Reason     string
	RetryAfter time.Duration // with 503: the request was not executed

	disconnected bool // another server may serve
}

func newFailure(status int, reason string) *Failure { return &Failure{Status: status, Reason: reason} }

// newUnavailable returns a failure for which the client should try again.
func newUnavailable(reason string, retryAfter time.Duration) *Failure {
	return &Failure{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter}
}

// failureOf returns the failure that a server answered.
func failureOf(r *objectReply) *Failure {
	return &Failure{
		Status:     r.Status,
		Header:     r.Header,
		Body:       r.Body,
		Reason:     r.Reason,
		RetryAfter: time.Duration(r.RetryMs) * time.Millisecond,
	}
}

// reply returns the answer to a caller that gets this failure.
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

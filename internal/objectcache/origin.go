package objectcache

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comethold/internal/logging"
	"comethold/internal/responsecache"
	"comethold/internal/routing"
	"comethold/internal/upstream"
)

const (
	maxReadAttempts = 3
	// minReadTimeout is the minimum time-out of an attempt. If less time is left, no further
	// attempt is made.
	minReadTimeout = 600 * time.Millisecond
	// queueTimeDivisor divides the time left for a read; the quotient is how long the read may
	// be queued.
	queueTimeDivisor = 3
)

// Headers in requests to origins and in their responses.
const (
	headerETag        = "Etag"
	headerIfNoneMatch = "If-None-Match"
	headerLabels      = "X-Comethold-Object-Labels"
)

// originRead is the read of an object from its origin, including all attempts.
type originRead struct {
	server   *Server
	request  Request
	cached   *responsecache.Response // nil if there is none
	service  string
	rate     float64 // of the service, in requests per second; 0: no limit
	deadline time.Time

	tried    []*upstream.Endpoint
	executed bool     // an endpoint has, or may have, executed an attempt
	failure  *Failure // returned if no further attempt succeeds
}

// readOrigin reads an object from its origin. The time-out of the route sets its deadline, because
// the read serves all requests that join it, also after the deadline of the request that started it.
func (s *Server) readOrigin(r Request, cached *responsecache.Response) (*responsecache.Response, *Failure) {
	if s.Disconnected(disconnectedAfter) {
		failure := newUnavailable(reasonDisconnected, disconnectedRetryDelay)
		failure.disconnected = true
		return nil, failure
	}
	table := s.RouteTable()
	route := cacheableRoute(table, r.Host, r.Target)
	if route == nil {
		return nil, newFailure(http.StatusNotFound, reasonNoRoute)
	}
	service := route.PickService(rand.Float64())
	read := &originRead{
		server:   s,
		request:  r,
		cached:   cached,
		service:  service,
		rate:     rateOf(table, service),
		deadline: time.Now().Add(route.Timeout),
		failure:  newFailure(http.StatusBadGateway, reasonResponseLost),
	}
	for range maxReadAttempts {
		object, final := read.attempt()
		if object != nil {
			return object, nil
		}
		if final || time.Until(read.deadline) < minReadTimeout {
			break
		}
	}
	return nil, read.failure
}

// rateOf returns the rate of a service, in requests per second, or 0 if there is no limit.
func rateOf(table *routing.RouteTable, service string) float64 {
	if s := table.Services[service]; s != nil {
		return s.RatePerSecond
	}
	return 0
}

// attempt reads the origin once. It returns the object, or sets r.failure. If final is true, no
// further attempt may be made.
func (r *originRead) attempt() (object *responsecache.Response, final bool) {
	admitted := r.waitForAdmission()
	if !admitted.granted {
		if !r.executed {
			r.failure = newUnavailable(reasonRateExceeded, admitted.retryAfter)
		}
		return nil, true
	}
	request := r.newRequest()
	purgeIndex := r.server.PurgeIndex()
	startedAt := time.Now()
	timeout := max(minReadTimeout, r.server.latency.timeout(r.service))
	request.Deadline = startedAt.Add(min(r.deadline.Sub(startedAt), timeout))
	// The read serves all requests that join it, so it is not cancelled when a client disconnects.
	response, err := r.server.Upstreams.Call(context.Background(), admitted.endpoint, request)
	r.tried = append(r.tried, admitted.endpoint)
	outcome := upstream.OutcomeOf(response, err)
	if outcome == upstream.Executed {
		if object := r.objectFromResponse(request, response, startedAt, purgeIndex); object != nil {
			return object, false
		}
	}
	return nil, r.recordFailure(outcome, response)
}

// waitForAdmission waits until the read may start or is rejected, and records the waiting time.
func (r *originRead) waitForAdmission() admission {
	enqueuedAt := time.Now()
	admitted := r.server.scheduler.admit(&queuedRead{
		service:  r.service,
		rate:     r.rate,
		waiters:  r.request.allWaiters,
		tried:    r.tried,
		deadline: enqueuedAt.Add(r.deadline.Sub(enqueuedAt) / queueTimeDivisor),
	})
	r.server.statistics.recordWait(time.Since(enqueuedAt), !admitted.granted)
	return admitted
}

// newRequest returns the request of an attempt. Each attempt has a new ID, so that a late response
// to an earlier attempt is recognized.
func (r *originRead) newRequest() *upstream.Request {
	request := &upstream.Request{
		Method: http.MethodGet,
		Target: r.request.Target,
		Host:   r.request.Host,
		Header: http.Header{},
		ID:     newReadID(),
	}
	if r.cached != nil && r.cached.ETag != "" && r.cached.Service == r.service {
		request.Header[headerIfNoneMatch] = []string{r.cached.ETag}
	}
	return request
}

// objectFromResponse returns the object in the response to an executed request, or nil if it
// contains none.
func (r *originRead) objectFromResponse(
	request *upstream.Request, response *upstream.Response, startedAt time.Time, purgeIndex uint64,
) *responsecache.Response {
	duration := time.Since(startedAt)
	switch {
	case response.Status == http.StatusNotModified && request.Header[headerIfNoneMatch] != nil:
		r.server.statistics.recordRevalidation(duration)
		return revalidated(r.cached, startedAt, purgeIndex)
	case response.Status == http.StatusOK && response.IsSuccess():
		r.server.latency.observe(r.service, duration)
		r.server.statistics.recordRead(duration)
		return &responsecache.Response{
			Host:        r.request.Host,
			Target:      r.request.Target,
			Service:     r.service,
			ETag:        response.Header.Get(headerETag),
			Labels:      strings.Fields(response.Header.Get(headerLabels)),
			Header:      objectHeader(response.Header),
			Body:        response.Body,
			ValidatedAt: startedAt,
			PurgeIndex:  purgeIndex,
		}
	}
	return nil
}

// recordFailure sets the failure of an attempt. Failures of attempts that an endpoint has or
// may have executed take precedence over the others. It returns true if no further attempt may
// be made.
func (r *originRead) recordFailure(outcome upstream.Outcome, response *upstream.Response) (final bool) {
	switch {
	case outcome == upstream.Rejected:
		if response.Status == http.StatusTooManyRequests {
			r.server.Log.Warn(logging.OriginRateExceeded).
				Str("service", r.service).
				Msg("the origin rejected a read with status 429 (rate exceeded)")
		}
		if !r.executed {
			r.failure = newUnavailable(reasonOriginRejects, originRetryDelay)
		}
	case outcome == upstream.NotSent:
		if !r.executed {
			r.failure = newUnavailable(reasonOriginUnreached, originRetryDelay)
		}
	case outcome == upstream.Executed && !isSuccessOrRedirect(response.Status):
		r.executed = true
		r.failure = &Failure{
			Status: response.Status,
			Header: objectHeader(response.Header),
			Body:   response.Body,
			Reason: reasonOriginFailed,
		}
		return isClientError(response.Status) // another attempt would get the same response
	default:
		r.executed = true
		r.failure = newFailure(http.StatusBadGateway, reasonResponseLost)
	}
	return false
}

func isSuccessOrRedirect(status int) bool { return status/100 == 2 || status/100 == 3 }

func isClientError(status int) bool { return status/100 == 4 }

func newReadID() string { return "r" + strconv.FormatUint(rand.Uint64(), 36) }

// objectHeader returns the header fields of a response that are cached.
func objectHeader(h http.Header) http.Header {
	kept := upstream.EndToEndHeaders(h)
	delete(kept, upstream.HeaderInstanceID)
	return kept
}

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
	// minReadTimeout is the least time-out of an attempt. With less time left, no further
	// attempt is made.
	minReadTimeout = 600 * time.Millisecond
	// queueTimeDivisor is the divisor of a read's time that gives how long it may be queued.
	queueTimeDivisor = 3
)

// Headers of objects.
const (
	headerETag        = "Etag"
	headerIfNoneMatch = "If-None-Match"
	headerLabels      = "X-Comethold-Object-Labels"
)

// originRead is the read of an object from its origin, with all its attempts.
type originRead struct {
	server   *Server
	request  Request
	cached   *responsecache.Response // held; nil: none
	service  string
	rate     float64 // of the service
	deadline time.Time

	tried    []*upstream.Endpoint
	executed bool     // an endpoint has, or may have, executed an attempt
	failure  *Failure // of the attempts so far
}

// readOrigin reads an object from its origin. Its deadline is that of the route, since the
// read serves all requests that join it, beyond the deadline of the request that began it.
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
		failure:  newFailure(http.StatusBadGateway, reasonAnswerLost),
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

// rateOf returns the rate of a service, in requests a second; 0: no limit.
func rateOf(table *routing.RouteTable, service string) float64 {
	if s := table.Services[service]; s != nil {
		return s.RatePerSecond
	}
	return 0
}

// attempt reads the origin once. It returns the object, or sets the failure; final says that
// there must be no further attempt.
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
	begunAt := time.Now()
	timeout := max(minReadTimeout, r.server.latency.timeout(r.service))
	request.Deadline = begunAt.Add(min(r.deadline.Sub(begunAt), timeout))
	// The read serves all requests that join it, so none of their clients ends it by leaving.
	response, err := r.server.Upstreams.Call(context.Background(), admitted.endpoint, request)
	r.tried = append(r.tried, admitted.endpoint)
	outcome := upstream.OutcomeOf(response, err)
	if outcome == upstream.Executed {
		if object := r.objectOf(request, response, begunAt, purgeIndex); object != nil {
			return object, false
		}
	}
	return nil, r.recordFailure(outcome, response)
}

// waitForAdmission waits until the read may begin.
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

// newRequest returns the request of an attempt. Each attempt has its own ID, by which a late
// answer to an earlier one is recognized.
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

// objectOf returns the object of a response that was executed, or nil if it holds none.
func (r *originRead) objectOf(
	request *upstream.Request, response *upstream.Response, begunAt time.Time, purgeIndex uint64,
) *responsecache.Response {
	duration := time.Since(begunAt)
	switch {
	case response.Status == http.StatusNotModified && request.Header[headerIfNoneMatch] != nil:
		r.server.statistics.recordRevalidation(duration)
		return revalidated(r.cached, begunAt, purgeIndex)
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
			ValidatedAt: begunAt,
			PurgeIndex:  purgeIndex,
		}
	}
	return nil
}

// recordFailure sets the failure of an attempt. Failures of attempts that an endpoint has or
// may have executed take precedence over the others. It reports whether there must be no
// further attempt.
func (r *originRead) recordFailure(outcome upstream.Outcome, response *upstream.Response) (final bool) {
	switch {
	case outcome == upstream.Rejected:
		if response.Status == http.StatusTooManyRequests {
			r.server.Log.Warn(logging.OriginRateExceeded).
				Str("service", r.service).
				Msg("the origin says that its rate is exceeded")
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
		return isClientError(response.Status) // another attempt gets the same answer
	default:
		r.executed = true
		r.failure = newFailure(http.StatusBadGateway, reasonAnswerLost)
	}
	return false
}

func isSuccessOrRedirect(status int) bool { return status/100 == 2 || status/100 == 3 }

func isClientError(status int) bool { return status/100 == 4 }

func newReadID() string { return "r" + strconv.FormatUint(rand.Uint64(), 36) }

// objectHeader returns the fields of a response's header that are cached.
func objectHeader(h http.Header) http.Header {
	kept := upstream.EndToEndHeaders(h)
	delete(kept, upstream.HeaderInstanceID)
	return kept
}

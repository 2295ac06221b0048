package scatter

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"comethold/internal/upstream"
)

// Headers of the replies of fan-outs.
const (
	HeaderPartStamps   = "X-Comethold-Part-Stamps"   // the server stamps of the merged responses
	HeaderMissingParts = "X-Comethold-Missing-Parts" // the number of shards without a merged response
)

// minRetryAfter is the minimum time that a client is asked to wait before it repeats
// a request that was not executed. Jitter adds up to twice this time.
const minRetryAfter = 50 * time.Millisecond

// Reply is the reply to a client.
type Reply struct {
	Status int
	// Header is nil if this node generated the reply. Such a reply has a Reason instead
	// of a Body.
	Header http.Header
	Body   []byte
	// RetryAfter is set with status 503: the request was not executed and may be
	// repeated after this time.
	RetryAfter time.Duration
	Reason     string
}

func failureReply(status int, reason string) *Reply {
	return &Reply{Status: status, Reason: reason}
}

func responseReply(response *upstream.Response) *Reply {
	return &Reply{Status: response.Status, Header: response.Header, Body: response.Body}
}

func retryLaterReply(reason string) *Reply {
	jitter := time.Duration(rand.Int64N(int64(2 * minRetryAfter)))
	return &Reply{
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		RetryAfter: minRetryAfter + jitter,
	}
}

// retryLater returns a retryLaterReply whose RetryAfter is at least the wait that the
// rate limits returned when they cancelled attempts.
func (f *fanOut) retryLater(reason string) *Reply {
	reply := retryLaterReply(reason)
	reply.RetryAfter = max(reply.RetryAfter, f.retryAfter)
	return reply
}

// singleReply builds the reply of a route without fan-out.
func (f *fanOut) singleReply() *Reply {
	s := &f.shards[0]
	switch {
	case s.response != nil:
		return responseReply(s.response)
	case s.pendingAttempts > 0 || s.timedOut:
		return failureReply(http.StatusGatewayTimeout, "the leaf did not answer in time")
	case s.mayHaveExecuted():
		if isForwardableFailure(s.lastFailure) {
			return responseReply(s.lastFailure)
		}
		return failureReply(http.StatusBadGateway, "the leaf's answer was lost")
	case s.lastFailure != nil && s.lastFailure.Status == http.StatusBadRequest:
		return responseReply(s.lastFailure)
	}
	return f.retryLater("no leaf takes the request now")
}

// isForwardableFailure reports whether a response is an endpoint's failure that may be forwarded
// to the client. A response that implies that the request was not executed may not, because
// the client could repeat a request that was executed.
func isForwardableFailure(response *upstream.Response) bool {
	return response != nil && response.Status/100 != 2 &&
		!response.NotExecuted() && !impliesNotExecuted(response.Status)
}

// impliesNotExecuted reports whether clients take a status to mean that the
// request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests,
		http.StatusServiceUnavailable,
		http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// mergedReply builds the reply of a fan-out.
func (f *fanOut) mergedReply() *Reply {
	if f.completeShards < f.required {
		return f.incompleteReply()
	}
	bodies := make([][]byte, 0, f.completeShards)
	var stamps []byte
	for i := range f.shards {
		response := f.shards[i].response
		if response == nil {
			continue
		}
		if len(stamps) > 0 {
			stamps = append(stamps, ", "...)
		}
		stamps = append(stamps, response.Header.Get(upstream.HeaderServerStamp)...)
		bodies = append(bodies, response.Body)
	}
	header := http.Header{}
	header.Set(HeaderPartStamps, string(stamps))
	header.Set(HeaderMissingParts, strconv.Itoa(len(f.shards)-len(bodies)))
	header.Set("Content-Type", "application/octet-stream")
	body := Merge(bodies, int(f.route.ResultCount))
	return &Reply{Status: http.StatusOK, Header: header, Body: body}
}

// incompleteReply builds the reply of a fan-out with too few responses.
func (f *fanOut) incompleteReply() *Reply {
	executed := false
	pending := false
	for i := range f.shards {
		s := &f.shards[i]
		executed = executed || s.response != nil || s.mayHaveExecuted() || s.pendingAttempts > 0
		pending = pending || s.response == nil && (s.pendingAttempts > 0 || s.timedOut)
	}
	switch {
	case pending && !f.request.Deadline.After(time.Now()):
		return failureReply(http.StatusGatewayTimeout, "too few shards answered in time")
	case executed:
		return failureReply(http.StatusBadGateway, "too few shards answered")
	default:
		return f.retryLater("too few shards take the request now")
	}
}

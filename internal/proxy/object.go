package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"comethold/internal/objectcache"
	"comethold/internal/responsecache"
	"comethold/internal/scatter"
	"comethold/internal/upstream"
)

// objectReply returns the reply to a request for an object on a cacheable route.
func (x *exchange) objectReply() *scatter.Reply {
	object, failure := x.objects.Get(objectcache.Request{
		Host:     x.forwarded.Host,
		Target:   x.forwarded.Target,
		TTL:      x.route.CacheTTL(),
		Deadline: x.forwarded.Deadline,
	})
	if failure != nil {
		return &scatter.Reply{
			Status:     failure.Status,
			Header:     withRequestID(failure.Header, x.forwarded.ID),
			Body:       failure.Body,
			Reason:     failure.Reason,
			RetryAfter: failure.RetryAfter,
		}
	}
	return conditionalReply(object, x.request.Header, x.forwarded.ID)
}

// conditionalReply returns the reply to a request for an object. It evaluates If-None-Match,
// Range and If-Range, and ignores ranges that parseRange does not accept.
func conditionalReply(object *responsecache.Response, requestHeader http.Header, requestID string) *scatter.Reply {
	header := withRequestID(object.Header, requestID)
	if object.ETag != "" && etagMatches(requestHeader.Get("If-None-Match"), object.ETag) {
		return &scatter.Reply{Status: http.StatusNotModified, Header: header}
	}
	fullReply := &scatter.Reply{Status: http.StatusOK, Header: header, Body: object.Body}
	ranges := requestHeader["Range"]
	condition := requestHeader.Get("If-Range")
	if len(ranges) != 1 || condition != "" && condition != object.ETag {
		return fullReply
	}
	size := len(object.Body)
	first, last, ok := parseRange(ranges[0], size)
	if !ok {
		return fullReply
	}
	if first >= size {
		header.Set("Content-Range", "bytes */"+strconv.Itoa(size))
		return &scatter.Reply{Status: http.StatusRequestedRangeNotSatisfiable, Header: header}
	}
	header.Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, size))
	return &scatter.Reply{Status: http.StatusPartialContent, Header: header, Body: object.Body[first : last+1]}
}

// withRequestID returns a copy of cached headers with the given request ID, or nil for nil.
func withRequestID(cached http.Header, requestID string) http.Header {
	if cached == nil {
		return nil
	}
	header := cached.Clone()
	header[upstream.HeaderRequestID] = []string{requestID}
	return header
}

// parseRange parses a single byte range that states its first byte; ok is false for any other
// form. last is inclusive and less than size; first may be size or more.
func parseRange(value string, size int) (first, last int, ok bool) {
	spec, isBytes := strings.CutPrefix(strings.TrimSpace(value), "bytes=")
	firstText, lastText, isRange := strings.Cut(strings.TrimSpace(spec), "-")
	if !isBytes || !isRange {
		return 0, 0, false
	}
	first, ok = parseDigits(firstText)
	if !ok {
		return 0, 0, false
	}
	last = size - 1
	if lastText == "" {
		return first, last, true
	}
	given, ok := parseDigits(lastText)
	if !ok || given < first {
		return 0, 0, false
	}
	return first, min(last, given), true
}

// parseDigits parses a decimal number without sign or spaces.
func parseDigits(text string) (int, bool) {
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	number, err := strconv.Atoi(text)
	return number, err == nil
}

// etagMatches reports whether the value of an If-None-Match header matches the entity tag, by
// weak comparison.
func etagMatches(value, tag string) bool {
	if strings.TrimSpace(value) == "*" {
		return true
	}
	for _, listed := range strings.Split(value, ",") {
		listed = strings.TrimPrefix(strings.TrimSpace(listed), "W/")
		if listed != "" && listed == strings.TrimPrefix(tag, "W/") {
			return true
		}
	}
	return false
}

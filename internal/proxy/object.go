package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"comethold/internal/objectcache"
	"comethold/internal/routing"
	"comethold/internal/scatter"
	"comethold/internal/upstream"
)

// serveObject answers a client's request for an object of a cacheable route.
func (f *frontend) serveObject(line *routing.CompiledRoute, req *upstream.Request, h http.Header) *scatter.Reply {
	rec, no := f.objects.Get(objectcache.Request{Host: req.Host, Target: req.Target, TTL: line.CacheTTL(), Deadline: req.Deadline})
	if no != nil {
		return &scatter.Reply{Status: no.Status, Header: withRequestID(no.Header, req.ID), Body: no.Body, Reason: no.Reason, RetryAfter: no.RetryAfter}
	}
	out := withRequestID(rec.Header, req.ID)
	if rec.ETag != "" && etagMatches(h.Get("If-None-Match"), rec.ETag) {
		return &scatter.Reply{Status: http.StatusNotModified, Header: out}
	}
	reply := &scatter.Reply{Status: http.StatusOK, Header: out, Body: rec.Body}
	ranges := h["Range"]
	if len(ranges) != 1 || (h.Get("If-Range") != "" && h.Get("If-Range") != rec.ETag) {
		return reply
	}
	from, to, ok := parseRange(ranges[0], len(rec.Body))
	if !ok {
		return reply
	}
	if from >= len(rec.Body) {
		out.Set("Content-Range", "bytes */"+strconv.Itoa(len(rec.Body)))
		reply.Status, reply.Body = http.StatusRequestedRangeNotSatisfiable, nil
		return reply
	}
	out.Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", from, to, len(rec.Body)))
	reply.Status, reply.Body = http.StatusPartialContent, rec.Body[from:to+1]
	return reply
}

// withRequestID makes a kept header the answer to one request.
func withRequestID(h http.Header, id string) http.Header {
	if h == nil {
		return nil
	}
	out := h.Clone()
	out[upstream.HeaderRequestID] = []string{id}
	return out
}

// parseRange reads a single range that names its first byte; any other form is
// as if it were not there. to is inclusive and within size.
func parseRange(v string, size int) (from, to int, ok bool) {
	spec, found := strings.CutPrefix(strings.TrimSpace(v), "bytes=")
	first, last, dash := strings.Cut(strings.TrimSpace(spec), "-")
	if !found || !dash {
		return 0, 0, false
	}
	from, ok = parseDigits(first)
	if !ok {
		return 0, 0, false
	}
	to = size - 1
	if last != "" {
		n, ok := parseDigits(last)
		if !ok || n < from {
			return 0, 0, false
		}
		to = min(to, n)
	}
	return from, to, true
}

func parseDigits(s string) (int, bool) {
	if s == "" || strings.Trim(s, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.Atoi(s)
	return n, err == nil
}

// etagMatches reports whether an If-None-Match names the tag.
func etagMatches(v, tag string) bool {
	if strings.TrimSpace(v) == "*" {
		return true
	}
	for _, t := range strings.Split(v, ",") {
		if t = strings.TrimPrefix(strings.TrimSpace(t), "W/"); t != "" && t == strings.TrimPrefix(tag, "W/") {
			return true
		}
	}
	return false
}

package responsecache

import (
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"comethold/internal/distribution"
)

// Response is one version of an object. It is immutable.
type Response struct {
	Host    string
	Target  string // path and query
	Service string
	ETag    string
	Labels  []string // that purges can match
	Header  http.Header
	Body    []byte
	// ValidatedAt is the start of the last read from the origin that confirmed this version,
	// by this process's monotonic clock. It is zero if that time is not known.
	ValidatedAt time.Time
	// PurgeIndex is the log index of the newest purge known at the start of the read that
	// ValidatedAt refers to.
	PurgeIndex uint64
}

// Key returns the cache key of an object: the host in lower case without its port, and the target.
func Key(host, target string) string { return NormalizeHost(host) + " " + target }

// NormalizeHost returns the value of a Host header in lower case, without the port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Key returns the cache key of the response's object.
func (r *Response) Key() string { return Key(r.Host, r.Target) }

// unknownAge is the age of a response without ValidatedAt. It is longer than any time to live.
const unknownAge = time.Duration(math.MaxInt64/2 + 1)

// Age returns the time since ValidatedAt, or unknownAge if that is zero.
func (r *Response) Age(now time.Time) time.Duration {
	if r.ValidatedAt.IsZero() {
		return unknownAge
	}
	return now.Sub(r.ValidatedAt)
}

// MatchesPurge reports whether a purge matches the response, by label or by host and target.
func (r *Response) MatchesPurge(purge distribution.Purge) bool {
	if purge.Label != "" {
		return slices.Contains(r.Labels, purge.Label)
	}
	return PurgeMatchesTarget(purge, r.Host, r.Target)
}

// PurgeMatchesTarget reports whether a purge without a label matches an object by host and
// path. A purge path without a query matches the path with every query.
func PurgeMatchesTarget(purge distribution.Purge, host, target string) bool {
	if purge.Label != "" || NormalizeHost(host) != purge.Host {
		return false
	}
	path, _, _ := strings.Cut(target, "?")
	return purge.Path == target || purge.Path == path
}

// Bytes that memorySize adds per response and per header name, on top of strings and body.
const (
	responseOverhead = 512
	headerOverhead   = 32
)

// memorySize estimates how many bytes of memory the response takes.
func (r *Response) memorySize() int {
	// The target counts twice, because the key holds a copy of it.
	size := responseOverhead + len(r.Host) + 2*len(r.Target) + len(r.Body)
	for name, values := range r.Header {
		size += len(name) + headerOverhead
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

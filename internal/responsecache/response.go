package responsecache

import (
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"comethold/internal/distribution"
)

// Response is one version of an object. It never changes.
type Response struct {
	Host    string
	Target  string // path and query
	Service string
	ETag    string
	Labels  []string // by which purges may name it
	Header  http.Header
	Body    []byte
	// ValidatedAt is the start of the last read of the origin that confirmed this
	// version, by this process's monotonic clock. Zero: not known.
	ValidatedAt time.Time
	// PurgeIndex is the log index of the newest purge known at the start of that read.
	PurgeIndex uint64
}

// Key names an object: the host, without case or port, and the target.
func Key(host, target string) string { return NormalizeHost(host) + " " + target }

// NormalizeHost returns the host of a Host header in lower case without its port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Key names the object of the response.
func (r *Response) Key() string { return Key(r.Host, r.Target) }

// unknownAge is the age of a response without ValidatedAt: longer than any time to live.
const unknownAge = time.Duration(math.MaxInt64/2 + 1)

// Age is the time since the read that confirmed the response.
func (r *Response) Age(now time.Time) time.Duration {
	if r.ValidatedAt.IsZero() {
		return unknownAge
	}
	return now.Sub(r.ValidatedAt)
}

// MatchesPurge reports whether a purge names the response, by label or by target.
func (r *Response) MatchesPurge(purge distribution.Purge) bool {
	if purge.Label != "" {
		return slices.Contains(r.Labels, purge.Label)
	}
	return PurgeMatchesTarget(purge, r.Host, r.Target)
}

// PurgeMatchesTarget reports whether a purge names an object by host and path, with
// or without its query.
func PurgeMatchesTarget(purge distribution.Purge, host, target string) bool {
	if purge.Label != "" || NormalizeHost(host) != purge.Host {
		return false
	}
	path, _, _ := strings.Cut(target, "?")
	return purge.Path == target || purge.Path == path
}

// The memory of a response besides its strings and body, in bytes.
const (
	responseOverhead = 512
	headerOverhead   = 32
)

// memorySize estimates how many bytes of memory the response takes.
func (r *Response) memorySize() int {
	// The target is held a second time, in the key.
	size := responseOverhead + len(r.Host) + 2*len(r.Target) + len(r.Body)
	for name, values := range r.Header {
		size += len(name) + headerOverhead
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

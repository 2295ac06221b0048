// Package recorder keeps recordings: whole answers of leafs that may be given
// to other clients for a while. It does no input or output.
package responsecache

import (
	"container/list"
	"net/http"
	"strings"
	"sync"
	"time"

	"comethold/internal/distribution"
)

// Response is one version of an object. It never changes.
type Response struct {
	Host    string
	Target  string
	Service string
	ETag    string
	Labels  []string
	Header  http.Header
	Body    []byte
	// ValidatedAt is when the read of the origin began that last vouched for this
	// version, by this process's steady clock. Zero: nobody vouches for it.
	ValidatedAt time.Time
	// PurgeIndex is the position of the newest purge known before that read.
	PurgeIndex uint64
}

// Key names an object: the host, without case or port, and the target.
func Key(host, target string) string { return NormalizeHost(host) + " " + target }

// NormalizeHost is the host of a Host header.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Key names the recording's object.
func (r *Response) Key() string { return Key(r.Host, r.Target) }

// Age is the time since the read that vouches for the recording.
func (r *Response) Age(now time.Time) time.Duration {
	if r.ValidatedAt.IsZero() {
		return 1 << 62
	}
	return now.Sub(r.ValidatedAt)
}

// MatchesPurge reports whether a purge names the recording.
func (r *Response) MatchesPurge(c distribution.Purge) bool {
	if c.Label != "" {
		for _, l := range r.Labels {
			if l == c.Label {
				return true
			}
		}
		return false
	}
	return PurgeMatchesTarget(c, r.Host, r.Target)
}

// PurgeMatchesTarget reports whether a purge names the object by host and path.
func PurgeMatchesTarget(c distribution.Purge, host, target string) bool {
	if c.Label != "" || NormalizeHost(host) != c.Host {
		return false
	}
	path, _, _ := strings.Cut(target, "?")
	return c.Path == target || c.Path == path
}

func (r *Response) memorySize() int {
	n := 512 + len(r.Host) + 2*len(r.Target) + len(r.Body)
	for k, v := range r.Header {
		n += len(k) + 32
		for _, s := range v {
			n += len(s)
		}
	}
	return n
}

// Cache holds recordings up to a number of bytes; those unused for longest
// go first. It is safe for use by many goroutines.
type Cache struct {
	mu        sync.Mutex
	maxBytes  int
	usedBytes int
	entries   map[string]*list.Element
	recency   *list.List // newest use in front
}

// New makes a recorder for limit bytes.
func New(limit int) *Cache {
	return &Cache{maxBytes: limit, entries: map[string]*list.Element{}, recency: list.New()}
}

// Get returns the recording of a key, or nil.
func (r *Cache) Get(key string) *Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[key]
	if e == nil {
		return nil
	}
	r.recency.MoveToFront(e)
	return e.Value.(*Response)
}

// Put keeps a recording in place of an older one.
func (r *Cache) Put(rec *Response) {
	size := rec.memorySize()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(rec.Key())
	if size > r.maxBytes/4 {
		return
	}
	r.entries[rec.Key()] = r.recency.PushFront(rec)
	r.usedBytes += size
	for r.usedBytes > r.maxBytes {
		r.removeLocked(r.recency.Back().Value.(*Response).Key())
	}
}

func (r *Cache) removeLocked(key string) {
	if e := r.entries[key]; e != nil {
		r.usedBytes -= e.Value.(*Response).memorySize()
		r.recency.Remove(e)
		delete(r.entries, key)
	}
}

// Remove forgets a recording, if it is still this one.
func (r *Cache) Remove(rec *Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[rec.Key()]; e != nil && e.Value.(*Response) == rec {
		r.removeLocked(rec.Key())
	}
}

// ApplyPurges drops what the purges name, or everything.
func (r *Cache) ApplyPurges(c *distribution.PurgeUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Reset {
		r.entries, r.usedBytes = map[string]*list.Element{}, 0
		r.recency.Init()
		return
	}
	var gone []string
	for key, e := range r.entries {
		rec := e.Value.(*Response)
		for _, one := range c.Purges {
			if one.LogIndex > rec.PurgeIndex && rec.MatchesPurge(one) {
				gone = append(gone, key)
				break
			}
		}
	}
	for _, key := range gone {
		r.removeLocked(key)
	}
}

// Len is the number of recordings.
func (r *Cache) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

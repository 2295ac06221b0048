package objectcache

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/responsecache"
)

// maxFetchAttempts is the maximum number of fetches that one request waits for. A request waits
// for another fetch if the object of the previous one was purged before it was served.
const maxFetchAttempts = 3

// PurgeLog holds the purges that a node has received.
type PurgeLog interface {
	// PurgeIndex returns the log index of the newest purge known.
	PurgeIndex() uint64
	// PurgedSince reports whether a purge after the log index matches. It also returns true if
	// the purges since that index are no longer known.
	PurgedSince(index uint64, matches func(distribution.Purge) bool) bool
}

// Request is a request for an object.
type Request struct {
	Host     string
	Target   string        // path and query
	TTL      time.Duration // maximum age of the object
	Deadline time.Time
	// If OriginOnly is set, a fetch reads the origin and doesn't ask other servers.
	OriginOnly bool
	// Waiters is the number of requests that wait for this one, including itself; 0 counts as 1.
	Waiters int

	// allWaiters returns the number of requests that wait for the fetch that this request started.
	allWaiters func() int
}

// key returns the key of the object.
func (r *Request) key() string { return responsecache.Key(r.Host, r.Target) }

// originOnlySuffix is appended to the flight keys of requests with OriginOnly.
const originOnlySuffix = " final"

// flightKey returns the key of the fetches that a request may join. A request with OriginOnly
// joins only fetches with OriginOnly. Otherwise two servers that each rank the other one first
// would wait for each other.
func (r *Request) flightKey() string {
	if r.OriginOnly {
		return r.key() + originOnlySuffix
	}
	return r.key()
}

// FetchFunc fetches an object. cached is the object in the cache, which may be outdated, or nil.
// purgeIndex is the log index of the purges known before the fetch.
type FetchFunc func(
	r Request, cached *responsecache.Response, purgeIndex uint64,
) (*responsecache.Response, *Failure)

// pendingFetch is one fetch of an object. object and failure are set before done is closed.
type pendingFetch struct {
	key        string       // flightKey of its requests
	purgeIndex uint64       // of the purges known when the fetch started
	waiters    atomic.Int64 // number of requests that wait for it
	done       chan struct{}
	object     *responsecache.Response
	failure    *Failure
}

// Fetcher serves objects from a cache while they are fresh. Concurrent requests for an object that
// is not fresh share one fetch (singleflight). It is safe for concurrent use.
type Fetcher struct {
	cache       *responsecache.Cache
	purges      PurgeLog
	fetchObject FetchFunc
	options     FetcherOptions

	mu       sync.Mutex               // guards the field below
	inFlight map[string]*pendingFetch // by flightKey
}

// FetcherOptions configure how long a Fetcher serves and when it refreshes objects.
type FetcherOptions struct {
	// StaleSlack is how long after its TTL an object may be served. The Fetcher serves an
	// expired object only during the first half of this time, while it fetches a new one.
	StaleSlack time.Duration
	// RefreshFraction is the fraction of the TTL after which a request for an object starts
	// a refresh in the background.
	RefreshFraction float64
	// OnCached, if set, is called with each object after it is added to the cache.
	OnCached func(*responsecache.Response)
}

// NewFetcher returns a Fetcher that keeps its objects in the given cache.
func NewFetcher(cache *responsecache.Cache, purges PurgeLog, fetchObject FetchFunc, o FetcherOptions) *Fetcher {
	if o.OnCached == nil {
		o.OnCached = func(*responsecache.Response) {}
	}
	return &Fetcher{
		cache:       cache,
		purges:      purges,
		fetchObject: fetchObject,
		options:     o,
		inFlight:    map[string]*pendingFetch{},
	}
}

// ApplyPurges removes the objects that the purges match from the cache. Later requests don't join
// the fetches that are in flight now.
func (f *Fetcher) ApplyPurges(u *distribution.PurgeUpdate) {
	f.cache.ApplyPurges(u)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight = map[string]*pendingFetch{}
}

// Get returns an object that is fresh and not purged at the time of the call, or a failure.
func (f *Fetcher) Get(r Request) (*responsecache.Response, *Failure) {
	key := r.key()
	for range maxFetchAttempts {
		now := time.Now()
		purgeIndex := f.purges.PurgeIndex()
		cached := f.cache.Get(key)
		if cached != nil && r.TTL > 0 {
			age := cached.Age(now)
			if age < time.Duration(f.options.RefreshFraction*float64(r.TTL)) {
				return cached, nil
			}
			if age < r.TTL+f.options.StaleSlack/2 {
				f.startOrJoin(r, cached, purgeIndex)
				return cached, nil
			}
		}
		pending := f.startOrJoin(r, cached, purgeIndex)
		if !pending.wait(r) {
			return nil, newFailure(http.StatusGatewayTimeout, reasonTimeout)
		}
		if pending.object == nil {
			return nil, pending.failure
		}
		// The fetch may have started before a purge that was known when this request
		// arrived. Its object is used only if no such purge matches it.
		if pending.purgeIndex >= purgeIndex || !f.purged(pending.object) {
			return pending.object, nil
		}
	}
	return nil, newUnavailable(reasonBeingPurged, purgedRetryDelay)
}

// wait waits for the result of a fetch, and reports whether it is set before the deadline.
func (p *pendingFetch) wait(r Request) bool {
	p.waiters.Add(int64(max(1, r.Waiters)))
	timer := time.NewTimer(time.Until(r.Deadline))
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		return false
	}
}

// startOrJoin returns the fetch in flight that the request may join, or starts one.
func (f *Fetcher) startOrJoin(r Request, cached *responsecache.Response, purgeIndex uint64) *pendingFetch {
	key := r.flightKey()
	f.mu.Lock()
	defer f.mu.Unlock()
	if pending := f.inFlight[key]; pending != nil {
		return pending
	}
	started := &pendingFetch{key: key, purgeIndex: purgeIndex, done: make(chan struct{})}
	r.allWaiters = func() int { return int(started.waiters.Load()) }
	f.inFlight[key] = started
	go f.run(started, r, cached)
	return started
}

// run executes a fetch and caches its object. It closes done to wake the waiting requests.
func (f *Fetcher) run(pending *pendingFetch, r Request, cached *responsecache.Response) {
	defer func() {
		if p := recover(); p != nil {
			pending.object = nil
			pending.failure = newFailure(http.StatusBadGateway, reasonPanic)
		}
		f.mu.Lock()
		if f.inFlight[pending.key] == pending {
			delete(f.inFlight, pending.key)
		}
		f.mu.Unlock()
		close(pending.done)
	}()
	pending.object, pending.failure = f.fetchObject(r, cached, pending.purgeIndex)
	if pending.object != nil && r.TTL > 0 && pending.object.Age(time.Now()) < r.TTL {
		f.cacheUnlessPurged(pending.object)
	}
}

// cacheUnlessPurged caches an object unless a purge since it was read matches it. It checks before
// the insertion, so that requests don't get a purged object from the cache, and again afterwards, in
// case a purge was applied in between.
func (f *Fetcher) cacheUnlessPurged(object *responsecache.Response) {
	if f.purged(object) {
		return
	}
	f.cache.Put(object)
	if f.purged(object) {
		f.cache.Remove(object)
		return
	}
	f.options.OnCached(object)
}

// purged reports whether a purge since the object was read matches it.
func (f *Fetcher) purged(object *responsecache.Response) bool {
	return f.purges.PurgedSince(object.PurgeIndex, object.MatchesPurge)
}

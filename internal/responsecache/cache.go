package responsecache

import (
	"container/list"
	"sync"

	"comethold/internal/distribution"
)

// maxResponseDivisor limits the size of a response: the largest one that is cached has the size
// of the cache divided by maxResponseDivisor.
const maxResponseDivisor = 4

// Cache holds responses up to a number of bytes; the least recently used are evicted
// first. It is safe for concurrent use.
type Cache struct {
	maxBytes int

	mu        sync.Mutex // guards the fields below
	usedBytes int
	entries   map[string]*list.Element // by key; elements of recency
	recency   *list.List               // of *Response, most recently used first
}

// New returns an empty cache for maxBytes bytes.
func New(maxBytes int) *Cache {
	return &Cache{maxBytes: maxBytes, entries: map[string]*list.Element{}, recency: list.New()}
}

func responseOf(element *list.Element) *Response {
	response, _ := element.Value.(*Response) // the list holds nothing else
	return response
}

// Get returns the cached response for a key, or nil, and marks it as the most recently used.
func (c *Cache) Get(key string) *Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.entries[key]
	if element == nil {
		return nil
	}
	c.recency.MoveToFront(element)
	return responseOf(element)
}

// Put adds a response and removes the older version of the object. If the response is too large
// for the cache, Put only removes the older version.
func (c *Cache) Put(response *Response) {
	size := response.memorySize()
	key := response.Key()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeLocked(key)
	if size > c.maxBytes/maxResponseDivisor {
		return
	}
	c.entries[key] = c.recency.PushFront(response)
	c.usedBytes += size
	for c.usedBytes > c.maxBytes {
		c.removeLocked(responseOf(c.recency.Back()).Key())
	}
}

// Remove removes a response, unless another version has replaced it.
func (c *Cache) Remove(response *Response) {
	key := response.Key()
	c.mu.Lock()
	defer c.mu.Unlock()
	if element := c.entries[key]; element != nil && responseOf(element) == response {
		c.removeLocked(key)
	}
}

// ApplyPurges removes the responses that match a purge newer than their PurgeIndex. If Reset is
// set, it removes all responses, because the update may lack some purges.
func (c *Cache) ApplyPurges(update *distribution.PurgeUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if update.Reset {
		c.entries = map[string]*list.Element{}
		c.usedBytes = 0
		c.recency.Init()
		return
	}
	for key, element := range c.entries {
		if isPurged(responseOf(element), update.Purges) {
			c.removeLocked(key)
		}
	}
}

// isPurged reports whether the response matches a purge after its PurgeIndex.
func isPurged(response *Response, purges []distribution.Purge) bool {
	for _, purge := range purges {
		if purge.LogIndex > response.PurgeIndex && response.MatchesPurge(purge) {
			return true
		}
	}
	return false
}

// Len returns the number of cached responses.
func (c *Cache) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.entries)
}

func (c *Cache) removeLocked(key string) {
	element := c.entries[key]
	if element == nil {
		return
	}
	c.usedBytes -= responseOf(element).memorySize()
	c.recency.Remove(element)
	delete(c.entries, key)
}

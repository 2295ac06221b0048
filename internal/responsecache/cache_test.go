package responsecache

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"comethold/internal/distribution"
)

func cached(target string, bodyBytes int) *Response {
	return &Response{Host: "H:80", Target: target, Body: make([]byte, bodyBytes)}
}

// TestCacheEvictsLeastRecentlyUsed guards against the eviction of a response that was used
// recently, and against a cache that exceeds its size or that one large response fills.
func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	cache := New(10_000)
	for i := range 4 {
		cache.Put(cached(fmt.Sprint("/", i), 1500))
	}
	if cache.Get("h /0") == nil {
		t.Fatal("Get of the first of 4 responses returned nil, want it cached")
	}
	cache.Put(cached("/4", 1500))
	for i, want := range []bool{true, false, true, true, true} {
		if got := cache.Get(fmt.Sprint("h /", i)) != nil; got != want {
			t.Errorf("response /%d is cached: %v, want %v", i, got, want)
		}
	}
	if cache.usedBytes > cache.maxBytes {
		t.Errorf("the cache uses %d bytes, want at most %d", cache.usedBytes, cache.maxBytes)
	}
	cache.Put(cached("/large", 3000))
	if cache.Get("h /large") != nil || cache.Len() != 4 {
		t.Error("Put cached a response larger than a quarter of the cache, or evicted others for it")
	}
}

// TestCacheReplacesAndRemoves guards against the loss of a newer version: a caller that still
// holds the older one may remove it after the newer one has replaced it.
func TestCacheReplacesAndRemoves(t *testing.T) {
	cache := New(10_000)
	older, newer := cached("/a", 10), cached("/a", 20)
	cache.Put(older)
	cache.Put(newer)
	cache.Remove(older)
	if cache.Get("h /a") != newer || cache.Len() != 1 || cache.usedBytes != newer.memorySize() {
		t.Errorf("after Remove of the replaced version: %d responses, %d bytes; want only the newer one, %d bytes",
			cache.Len(), cache.usedBytes, newer.memorySize())
	}
	cache.Remove(newer)
	if cache.Get("h /a") != nil || cache.usedBytes != 0 {
		t.Error("after Remove of the only response it is still cached, or its bytes are counted")
	}
}

func purges(list ...distribution.Purge) distribution.PurgeUpdate {
	return distribution.PurgeUpdate{Purges: list}
}

// TestApplyPurges guards against responses that stay after a purge matches them, and against the
// removal of others, such as those that were read after the purge.
func TestApplyPurges(t *testing.T) {
	responses := []*Response{
		{Host: "h", Target: "/a", PurgeIndex: 5},
		{Host: "h", Target: "/a?q", PurgeIndex: 5},
		{Host: "h", Target: "/b", PurgeIndex: 5, Labels: []string{"x", "y"}},
		{Host: "other", Target: "/a", PurgeIndex: 5},
	}
	for _, c := range []struct {
		name   string
		update distribution.PurgeUpdate
		kept   string
	}{
		{"purge of a path", purges(distribution.Purge{LogIndex: 6, Host: "h", Path: "/a"}), "h /b, other /a"},
		{"purge of a query", purges(distribution.Purge{LogIndex: 6, Host: "h", Path: "/a?q"}), "h /a, h /b, other /a"},
		{"purge of a label", purges(distribution.Purge{LogIndex: 6, Label: "y"}), "h /a, h /a?q, other /a"},
		{
			"purge before the read",
			purges(distribution.Purge{LogIndex: 5, Host: "h", Path: "/a"}), "h /a, h /a?q, h /b, other /a",
		},
		{"reset", distribution.PurgeUpdate{Reset: true}, ""},
	} {
		cache := New(100_000)
		for _, response := range responses {
			cache.Put(response)
		}
		cache.ApplyPurges(&c.update)
		var kept []string
		bytes := 0
		for _, response := range responses {
			if cache.Get(response.Key()) != nil {
				kept = append(kept, response.Key())
				bytes += response.memorySize()
			}
		}
		if got := strings.Join(kept, ", "); got != c.kept || cache.usedBytes != bytes {
			t.Errorf("%s: kept %q, want %q; %d bytes, want %d", c.name, got, c.kept, cache.usedBytes, bytes)
		}
	}
}

// TestResponse guards against cache keys that differ by case or port of the host, against a
// response of unknown age that counts as fresh, and against header bytes that are not counted.
func TestResponse(t *testing.T) {
	for host, want := range map[string]string{
		"H.Example:80": "h.example", "h": "h", "[::1]": "[::1]", "[::1]:80": "[::1]",
	} {
		if got := NormalizeHost(host); got != want {
			t.Errorf("NormalizeHost(%q) = %q, want %q", host, got, want)
		}
	}
	now := time.Now()
	response := &Response{Host: "h", Target: "/a"}
	if response.Age(now) < 1<<61 {
		t.Errorf("Age of a response without ValidatedAt is %v, want unknownAge", response.Age(now))
	}
	response.ValidatedAt = now.Add(-time.Second)
	if response.Age(now) != time.Second {
		t.Errorf("Age of a response validated 1s ago is %v, want 1s", response.Age(now))
	}
	before := response.memorySize()
	response.Header = http.Header{"Name": {"value"}}
	if got := response.memorySize() - before; got != 32+len("Name")+len("value") {
		t.Errorf("a header of 4+5 bytes adds %d bytes, want 41", got)
	}
}

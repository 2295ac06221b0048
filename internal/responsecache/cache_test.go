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

// TestCacheEvictsLeastRecentlyUsed: what was not used for longest goes first, and
// the bytes of what is held stay within the bound.
func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	cache := New(10_000)
	for i := range 4 {
		cache.Put(cached(fmt.Sprint("/", i), 1500))
	}
	if cache.Get("h /0") == nil {
		t.Fatal("the first response was not kept")
	}
	cache.Put(cached("/4", 1500))
	for i, want := range []bool{true, false, true, true, true} {
		if got := cache.Get(fmt.Sprint("h /", i)) != nil; got != want {
			t.Errorf("response %d held: %v, want %v", i, got, want)
		}
	}
	if cache.usedBytes > cache.maxBytes {
		t.Errorf("%d bytes are used of %d", cache.usedBytes, cache.maxBytes)
	}
	cache.Put(cached("/large", 3000))
	if cache.Get("h /large") != nil || cache.Len() != 4 {
		t.Error("a response of over a quarter of the cache is kept, or evicts others")
	}
}

// TestCacheReplacesAndRemoves: a newer version takes the place of the older, which
// can then no longer be removed.
func TestCacheReplacesAndRemoves(t *testing.T) {
	cache := New(10_000)
	older, newer := cached("/a", 10), cached("/a", 20)
	cache.Put(older)
	cache.Put(newer)
	cache.Remove(older)
	if cache.Get("h /a") != newer || cache.Len() != 1 || cache.usedBytes != newer.memorySize() {
		t.Errorf("%d responses of %d bytes", cache.Len(), cache.usedBytes)
	}
	cache.Remove(newer)
	if cache.Get("h /a") != nil || cache.usedBytes != 0 {
		t.Error("a removed response is held")
	}
}

func purges(list ...distribution.Purge) distribution.PurgeUpdate {
	return distribution.PurgeUpdate{Purges: list}
}

// TestApplyPurges: a purge drops what it names and is older than it.
func TestApplyPurges(t *testing.T) {
	responses := []*Response{
		{Host: "h", Target: "/a", PurgeIndex: 5},
		{Host: "h", Target: "/a?q", PurgeIndex: 5},
		{Host: "h", Target: "/b", PurgeIndex: 5, Labels: []string{"x", "y"}},
		{Host: "other", Target: "/a", PurgeIndex: 5},
	}
	for _, c := range []struct {
		why    string
		update distribution.PurgeUpdate
		kept   string
	}{
		{"a path", purges(distribution.Purge{LogIndex: 6, Host: "h", Path: "/a"}), "h /b, other /a"},
		{"a query", purges(distribution.Purge{LogIndex: 6, Host: "h", Path: "/a?q"}), "h /a, h /b, other /a"},
		{"a label", purges(distribution.Purge{LogIndex: 6, Label: "y"}), "h /a, h /a?q, other /a"},
		{
			"an old one",
			purges(distribution.Purge{LogIndex: 5, Host: "h", Path: "/a"}), "h /a, h /a?q, h /b, other /a",
		},
		{"all", distribution.PurgeUpdate{Reset: true}, ""},
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
			t.Errorf("%s: kept %s, want %s; %d bytes, want %d", c.why, got, c.kept, cache.usedBytes, bytes)
		}
	}
}

// TestResponse: keys, ages and sizes.
func TestResponse(t *testing.T) {
	for host, want := range map[string]string{
		"H.Example:80": "h.example", "h": "h", "[::1]": "[::1]", "[::1]:80": "[::1]",
	} {
		if got := NormalizeHost(host); got != want {
			t.Errorf("%s: %s, want %s", host, got, want)
		}
	}
	now := time.Now()
	response := &Response{Host: "h", Target: "/a"}
	if response.Age(now) < 1<<61 {
		t.Errorf("an unconfirmed response is %v old", response.Age(now))
	}
	response.ValidatedAt = now.Add(-time.Second)
	if response.Age(now) != time.Second {
		t.Errorf("a confirmed response is %v old", response.Age(now))
	}
	before := response.memorySize()
	response.Header = http.Header{"Name": {"value"}}
	if got := response.memorySize() - before; got != 32+len("Name")+len("value") {
		t.Errorf("a header takes %d bytes", got)
	}
}

package upstream

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestParseKeepAlive: the first valid timeout parameter is used and all others are ignored.
func TestParseKeepAlive(t *testing.T) {
	for value, want := range map[string]string{
		"":                      "0s false",
		"timeout=5":             "5s true",
		"max=100, Timeout = 5":  "0s false",
		"max=100, TIMEOUT= 7 ":  "7s true",
		"timeout=0":             "0s true",
		"timeout=-1":            "0s false",
		"timeout=x":             "0s false",
		"timeout=99999999":      "0s false",
		"timeout=x, timeout=30": "30s true",
	} {
		keepAlive, ok := parseKeepAlive(value)
		if got := fmt.Sprint(keepAlive, " ", ok); got != want {
			t.Errorf("parseKeepAlive(%q) returned %s, want %s", value, got, want)
		}
	}
}

// TestEndToEndHeaders: hop-by-hop headers, and headers named in a Connection header, are not
// forwarded.
func TestEndToEndHeaders(t *testing.T) {
	header := http.Header{
		"X": {"1", "2"}, "Connection": {"close, x-hop", "Y"}, "X-Hop": {"3"}, "Y": {"4"}, "Te": {"5"},
		"Content-Length": {"6"}, HeaderRequestID: {"7"}, HeaderTenant: {"8"},
	}
	if got := fmt.Sprint(EndToEndHeaders(header)); got != "map[X:[1 2] X-Comethold-Tenant:[8]]" {
		t.Errorf("EndToEndHeaders returned %s, want only X and X-Comethold-Tenant", got)
	}
	if len(header) != 8 {
		t.Error("EndToEndHeaders modified its argument")
	}
}

// TestReusable: an idle connection is reused until it expires. A non-idempotent request also
// requires a short idle time and a last response with a request ID or server stamp.
func TestReusable(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name          string
		conn          connection
		idempotent    bool
		nonIdempotent bool
	}{
		{"recently used", connection{reusableUntil: now.Add(1), idleSince: now}, true, true},
		{"expired", connection{reusableUntil: now, idleSince: now}, false, false},
		{"idle for 1 s", connection{reusableUntil: now.Add(1), idleSince: now.Add(-time.Second)}, true, false},
		{"last response unidentified", connection{reusableUntil: now.Add(1), lastUnidentified: true}, true, false},
	} {
		pipe, _ := newPipeConnection(t)
		c.conn.conn = pipe.conn
		c.conn.reader = pipe.reader
		if got := c.conn.reusable(false, now); got != c.idempotent {
			t.Errorf("%s: reusable for an idempotent request is %v, want %v", c.name, got, c.idempotent)
		}
		if got := c.conn.reusable(true, now); got != c.nonIdempotent {
			t.Errorf("%s: reusable for a non-idempotent request is %v, want %v", c.name, got, c.nonIdempotent)
		}
	}
}

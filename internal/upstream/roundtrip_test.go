package upstream

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestParseKeepAlive: the stated timeout, whatever else the header says.
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
		stated, ok := parseKeepAlive(value)
		if got := fmt.Sprint(stated, " ", ok); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}

// TestEndToEndHeaders: headers of one connection, and those that connections name, are
// not forwarded.
func TestEndToEndHeaders(t *testing.T) {
	header := http.Header{
		"X": {"1", "2"}, "Connection": {"close, x-hop", "Y"}, "X-Hop": {"3"}, "Y": {"4"}, "Te": {"5"},
		"Content-Length": {"6"}, HeaderRequestID: {"7"}, HeaderTenant: {"8"},
	}
	if got := fmt.Sprint(EndToEndHeaders(header)); got != "map[X:[1 2] X-Comethold-Tenant:[8]]" {
		t.Errorf("forwarded %s", got)
	}
	if len(header) != 8 {
		t.Error("the original was changed")
	}
}

// TestReusable: which idle connections carry a request.
func TestReusable(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		why           string
		conn          connection
		idempotent    bool
		nonIdempotent bool
	}{
		{"a fresh one", connection{reusableUntil: now.Add(1), idleSince: now}, true, true},
		{"an expired one", connection{reusableUntil: now, idleSince: now}, false, false},
		{"one that was idle for long", connection{reusableUntil: now.Add(1), idleSince: now.Add(-time.Second)}, true, false},
		{"one after an unidentified response", connection{reusableUntil: now.Add(1), lastUnidentified: true}, true, false},
	} {
		pipe, _ := pooled(t)
		c.conn.conn = pipe.conn
		c.conn.reader = pipe.reader
		if got := c.conn.reusable(false, now); got != c.idempotent {
			t.Errorf("%s: reusable %v", c.why, got)
		}
		if got := c.conn.reusable(true, now); got != c.nonIdempotent {
			t.Errorf("%s, not idempotent: reusable %v", c.why, got)
		}
	}
}

package objectcache

import (
	"net/http"
	"testing"

	"comethold/internal/compat"
)

// TestCompatibleRecords guards against a change of encoding after which this version can't decode
// the object cache messages of an earlier version.
func TestCompatibleRecords(t *testing.T) {
	compat.CheckMessages(t, []compat.Message{
		{Name: "object-request", Value: objectCall{
			Host:          "h.example",
			Target:        "/a?b",
			ETag:          `"t0"`,
			PurgeIndex:    30,
			ConfigVersion: 8,
			WaitMs:        900,
			OriginOnly:    true,
			Waiters:       5,
		}},
		{Name: "object-answer", Value: objectReply{
			NotModified:  true,
			Service:      "s",
			ETag:         `"t1"`,
			Labels:       []string{"l1", "l2"},
			Header:       http.Header{"Content-Type": {"text/plain"}, "X-A": {"1", "2"}},
			Body:         []byte("body"),
			AgeUs:        1500,
			PurgeIndex:   31,
			Status:       503,
			Reason:       "no time is left",
			RetryMs:      300,
			Disconnected: true,
		}},
		{Name: "rate-request", Value: permitRequest{Service: "s", WaitMs: 800}},
		{Name: "rate-answer", Value: permitReply{Granted: true, RetryMs: 250}},
	})
}

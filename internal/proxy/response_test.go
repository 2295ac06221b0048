package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"comethold/internal/scatter"
	"comethold/internal/upstream"
)

// TestWriteReply: what a client gets of a reply.
func TestWriteReply(t *testing.T) {
	for _, c := range []struct {
		why    string
		method string
		reply  scatter.Reply
		want   string // status, body, and the headers that were set
	}{
		{
			"one of this node's own", http.MethodGet,
			scatter.Reply{Status: 503, Reason: "later", RetryAfter: 60 * time.Millisecond},
			"503 later\n map[Content-Length:[6] Content-Type:[text/plain; charset=utf-8] Retry-After:[0.060]]",
		},
		{
			"an endpoint's, without hop-by-hop headers", http.MethodGet,
			scatter.Reply{Status: 200, Body: []byte("b"), Header: http.Header{
				"X": {"y"}, "Connection": {"z"}, "Z": {"1"}, upstream.HeaderRequestID: {"q"},
			}},
			"200 b map[Content-Length:[1] Content-Type:[] X:[y] X-Comethold-Request-Id:[q]]",
		},
		{
			"to HEAD", http.MethodHead,
			scatter.Reply{Status: 200, Header: http.Header{"Content-Length": {"7"}}},
			"200  map[Content-Length:[7] Content-Type:[]]",
		},
		{
			"not modified", http.MethodGet,
			scatter.Reply{Status: 304, Header: http.Header{}},
			"304  map[Content-Type:[]]",
		},
	} {
		recorder := httptest.NewRecorder()
		writeReply(recorder, c.method, &c.reply)
		if got := fmt.Sprint(recorder.Code, " ", recorder.Body, " ", recorder.Header()); got != c.want {
			t.Errorf("%s: got %q, want %q", c.why, got, c.want)
		}
	}
}

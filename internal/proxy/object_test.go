package proxy

import (
	"fmt"
	"net/http"
	"testing"

	"comethold/internal/responsecache"
	"comethold/internal/upstream"
)

// TestConditionalReply guards against a reply with the wrong status, bytes or Content-Range for
// a conditional or range request, and against a request ID that is stored in the cached header.
func TestConditionalReply(t *testing.T) {
	object := &responsecache.Response{ETag: `"v1"`, Header: http.Header{"Etag": {`"v1"`}}, Body: []byte("0123456789")}
	for _, c := range []struct {
		header http.Header
		want   string // status, body, content range
	}{
		{http.Header{}, "200 0123456789 "},
		{http.Header{"If-None-Match": {`"v1"`}}, "304  "},
		{http.Header{"If-None-Match": {`"v0", W/"v1"`}}, "304  "},
		{http.Header{"If-None-Match": {"*"}}, "304  "},
		{http.Header{"If-None-Match": {`"v2"`}}, "200 0123456789 "},
		{http.Header{"Range": {"bytes=2-4"}}, "206 234 bytes 2-4/10"},
		{http.Header{"Range": {"bytes=8-"}}, "206 89 bytes 8-9/10"},
		{http.Header{"Range": {" bytes= 0-99 "}}, "206 0123456789 bytes 0-9/10"},
		{http.Header{"Range": {"bytes=10-"}}, "416  bytes */10"},
		{http.Header{"Range": {"bytes=4-2"}}, "200 0123456789 "},
		{http.Header{"Range": {"bytes=-2"}}, "200 0123456789 "},
		{http.Header{"Range": {"bytes=0-1,3-4"}}, "200 0123456789 "},
		{http.Header{"Range": {"items=0-1"}}, "200 0123456789 "},
		{http.Header{"Range": {"bytes=0-1", "bytes=3-4"}}, "200 0123456789 "},
		{http.Header{"Range": {"bytes=0-1"}, "If-Range": {`"v1"`}}, "206 01 bytes 0-1/10"},
		{http.Header{"Range": {"bytes=0-1"}, "If-Range": {`"v2"`}}, "200 0123456789 "},
	} {
		reply := conditionalReply(object, c.header, "q")
		got := fmt.Sprintf("%d %s %s", reply.Status, reply.Body, reply.Header.Get("Content-Range"))
		if got != c.want {
			t.Errorf("request with headers %v: got %q, want %q", c.header, got, c.want)
		}
		if reply.Header.Get(upstream.HeaderRequestID) != "q" || object.Header.Get(upstream.HeaderRequestID) != "" {
			t.Errorf("request with headers %v: the reply lacks the request ID, or the cached header has it", c.header)
		}
	}
}

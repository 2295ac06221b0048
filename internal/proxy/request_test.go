package proxy

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"comethold/internal/routing"
	"comethold/internal/upstream"
)

// TestRequestTarget guards against a target that is decoded or normalized on its way to the
// endpoint, or that keeps the host of an absolute URI.
func TestRequestTarget(t *testing.T) {
	for _, c := range []struct{ method, uri, target, path string }{
		{http.MethodGet, "/a/b?x=%20", "/a/b?x=%20", "/a/b"},
		{http.MethodGet, "//a", "//a", "//a"},
		{http.MethodGet, "http://h/a?b", "/a?b", "/a"},
		{http.MethodOptions, "*", "*", "*"},
		{http.MethodConnect, "h:80", "h:80", ""},
	} {
		request := httptest.NewRequestWithContext(t.Context(), c.method, c.uri, nil)
		if c.method == http.MethodOptions {
			c.path = "" // an OPTIONS request for the whole server has no path
			request.URL.Path = ""
		}
		if target, path := requestTarget(request); target != c.target || path != c.path {
			t.Errorf("requestTarget of %s %s: target %q and path %q, want %q and %q",
				c.method, c.uri, target, path, c.target, c.path)
		}
	}
}

// TestReadRequest guards against forwarding a request that exceeds a limit, lacks an ID or has an
// incomplete body, and against forwarding a request with an empty body as one without a body.
func TestReadRequest(t *testing.T) {
	limits := routing.Limits{MaxHeaderBytes: 200, MaxBodyBytes: 10}
	noID := http.Header{}
	id := http.Header{upstream.HeaderRequestID: {"q"}}
	for _, c := range []struct {
		name    string
		method  string
		header  http.Header
		body    io.Reader
		status  int
		hasBody bool
	}{
		{"no id", http.MethodGet, noID, nil, http.StatusBadRequest, false},
		{"two ids", http.MethodGet, http.Header{upstream.HeaderRequestID: {"q", "r"}}, nil, http.StatusBadRequest, false},
		{"no body", http.MethodGet, id, nil, 0, false},
		{"an empty body", http.MethodPost, id, nil, 0, true},
		{"a body", http.MethodGet, id, strings.NewReader("0123456789"), 0, true},
		{"a long body", http.MethodPut, id, strings.NewReader("0123456789x"), http.StatusRequestEntityTooLarge, false},
		{
			"a long body of unknown length", http.MethodPut, id,
			io.MultiReader(strings.NewReader("0123456789x")), http.StatusRequestEntityTooLarge, false,
		},
		{"a body that breaks off", http.MethodPut, id, iotest.ErrReader(errors.New("x")), http.StatusBadRequest, false},
		{
			"a long header", http.MethodGet,
			http.Header{upstream.HeaderRequestID: {"q"}, "X": {strings.Repeat("x", 200)}},
			nil, http.StatusRequestHeaderFieldsTooLarge, false,
		},
	} {
		request := httptest.NewRequestWithContext(t.Context(), c.method, "/a", c.body)
		request.Header = c.header
		read, rejected := readRequest(httptest.NewRecorder(), request, limits, "/a")
		if c.status != 0 {
			if rejected == nil || rejected.status != c.status {
				t.Errorf("request with %s: rejection %+v, want status %d", c.name, rejected, c.status)
			}
			continue
		}
		if rejected != nil || read.HasBody != c.hasBody || read.ID != "q" || read.Target != "/a" {
			t.Errorf("request with %s: read %+v, rejection %+v; want HasBody %v, ID q, target /a and no rejection",
				c.name, read, rejected, c.hasBody)
		}
	}
}

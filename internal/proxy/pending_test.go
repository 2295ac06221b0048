package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestAbortPending guards against open requests that get no answer, two answers or the wrong
// status at a shutdown. A request gets 502 if an endpoint may have received it, otherwise 503. Later
// requests get 503 at once. A client that gets 503 for an executed request may repeat it, so that
// it is executed twice.
func TestAbortPending(t *testing.T) {
	requests := newPendingRequests()
	register := func() (*pendingRequest, *httptest.ResponseRecorder, bool) {
		recorder := httptest.NewRecorder()
		pending, ok := requests.register(recorder)
		return pending, recorder, ok
	}
	waiting, waitingRecorder, _ := register()
	dispatched, dispatchedRecorder, _ := register()
	answered, answeredRecorder, _ := register()
	unregistered, unregisteredRecorder, _ := register()
	if !dispatched.markDispatched() || !answered.claimAnswer() {
		t.Fatal("markDispatched or claimAnswer of an open request returned false, want true")
	}
	requests.unregister(unregistered)
	requests.abortAll()
	_, lateRecorder, ok := register()
	if ok {
		t.Error("register after abortAll returned ok, want false")
	}
	unreadyRecorder := httptest.NewRecorder()
	unavailable("why", unreadyRetryAfter).write(unreadyRecorder)
	for name, c := range map[string]struct {
		recorder   *httptest.ResponseRecorder
		status     int
		retryAfter string
		connection string
		text       string
	}{
		"waiting":    {waitingRecorder, http.StatusServiceUnavailable, "0.05", "close", "this node ends\n"},
		"dispatched": {dispatchedRecorder, http.StatusBadGateway, "", "close", "this node ends before the answer\n"},
		"late":       {lateRecorder, http.StatusServiceUnavailable, "0.05", "close", "this node ends\n"},
		"unready":    {unreadyRecorder, http.StatusServiceUnavailable, "0.5", "", "why\n"},
	} {
		header := c.recorder.Header()
		if c.recorder.Code != c.status || c.recorder.Body.String() != c.text ||
			header.Get("Retry-After") != c.retryAfter || header.Get("Connection") != c.connection {
			t.Errorf("%s: got status %d, headers %v, body %q; want status %d, Retry-After %q, Connection %q, body %q",
				name, c.recorder.Code, header, c.recorder.Body, c.status, c.retryAfter, c.connection, c.text)
		}
	}
	if answeredRecorder.Body.Len() != 0 || unregisteredRecorder.Body.Len() != 0 {
		t.Error("abortAll answered a request that was already answered or unregistered")
	}
	if waiting.markDispatched() || dispatched.claimAnswer() {
		t.Error("markDispatched or claimAnswer of an aborted request returned true, want false")
	}
}

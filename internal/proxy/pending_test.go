package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestAbortPending: when a node ends, each open request is answered once: one that an
// endpoint may have got by 502, another by 503, and what comes later at once. A
// rejection of another kind is written by the same code, with its own header and text.
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
	gone, goneRecorder, _ := register()
	if !dispatched.markDispatched() || !answered.claimAnswer() {
		t.Fatal("an open request can't be dispatched or answered")
	}
	requests.unregister(gone)
	requests.abortAll()
	_, lateRecorder, ok := register()
	if ok {
		t.Error("a request is begun after the end")
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
			t.Errorf("%s: %d %v %q", name, c.recorder.Code, header, c.recorder.Body)
		}
	}
	if answeredRecorder.Body.Len() != 0 || goneRecorder.Body.Len() != 0 {
		t.Error("a request was answered twice, or after it was done")
	}
	if waiting.markDispatched() || dispatched.claimAnswer() {
		t.Error("an aborted request can still be dispatched or answered")
	}
}

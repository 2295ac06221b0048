package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestAbortPending: when a node ends, each open request is answered once: one that an
// endpoint may have got by 502, another by 503, and what comes later at once.
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
	for name, c := range map[string]struct {
		recorder   *httptest.ResponseRecorder
		status     int
		retryAfter string
	}{
		"waiting":    {waitingRecorder, http.StatusServiceUnavailable, "0.05"},
		"dispatched": {dispatchedRecorder, http.StatusBadGateway, ""},
		"late":       {lateRecorder, http.StatusServiceUnavailable, "0.05"},
	} {
		header := c.recorder.Header()
		if c.recorder.Code != c.status || header.Get("Retry-After") != c.retryAfter || header.Get("Connection") != "close" {
			t.Errorf("%s: %d %v", name, c.recorder.Code, header)
		}
	}
	if answeredRecorder.Body.Len() != 0 || goneRecorder.Body.Len() != 0 {
		t.Error("a request was answered twice, or after it was done")
	}
	if waiting.markDispatched() || dispatched.claimAnswer() {
		t.Error("an aborted request can still be dispatched or answered")
	}
}

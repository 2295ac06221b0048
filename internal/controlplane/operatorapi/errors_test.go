package operatorapi

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"comethold/internal/controlplane/replicahost"

	"github.com/labstack/echo/v4"
)

// TestWriteError checks the status, text and headers of the response to each error: only a
// 503 has Retry-After, and only a truncated body closes the connection.
func TestWriteError(t *testing.T) {
	const mayRetry = http.StatusServiceUnavailable
	for _, c := range []struct {
		err    error
		status int
		text   string
	}{
		{ErrNotReady, mayRetry, "the disk of this node does not answer yet"},
		{errForming, mayRetry, "the control plane is still being founded"},
		{fmt.Errorf("%w: behind", replicahost.ErrNoQuorum), mayRetry, "the control plane has no majority"},
		{replicahost.ErrBusy, mayRetry, "the control plane is busy"},
		{replicahost.ErrOutcomeUnknown, mayRetry, "what became of the change is not known yet; send it again"},
		{&ConflictError{Current: 7, Base: 5}, http.StatusPreconditionFailed, "version 7 is current"},
		{&VersionReusedError{Version: 9}, http.StatusPreconditionFailed, "version 9 was taken with other content"},
		{&InvalidRequestError{errors.New("no routes")}, http.StatusBadRequest, "no routes"},
		{&InvalidRequestError{errNoBaseVersion}, http.StatusBadRequest, "X-Comethold-Base-Version holds no version"},
		{errNoConfiguration, http.StatusNotFound, "no configuration has been taken yet"},
		{errUnknownEvent, http.StatusNotFound, "no notice and no case has this eventId"},
		{errBodyTooLarge, http.StatusRequestEntityTooLarge, "the body is too large"},
		{errTruncatedBody, http.StatusRequestTimeout, "the body broke off"},
	} {
		w := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
		if err := WriteError(echo.New().NewContext(request, w), c.err); err != nil {
			t.Fatalf("WriteError(%v) returned %v, want nil", c.err, err)
		}
		want := fmt.Sprintf("{\"errorMessage\":%q}\n", c.text)
		if w.Code != c.status || w.Body.String() != want {
			t.Errorf("WriteError(%v) responded with %d %s, want %d %s", c.err, w.Code, w.Body, c.status, want)
		}
		if hasHeader := w.Header().Get("Retry-After") != ""; hasHeader != (c.status == mayRetry) {
			t.Errorf("WriteError(%v) set Retry-After: %v, want it only with status 503", c.err, hasHeader)
		}
		if isClosed := w.Header().Get("Connection") == "close"; isClosed != errors.Is(c.err, errTruncatedBody) {
			t.Errorf("WriteError(%v) set Connection to close: %v, want it only for a truncated body", c.err, isClosed)
		}
	}
}

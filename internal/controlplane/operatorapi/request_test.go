package operatorapi

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"comethold/internal/logging"

	"github.com/labstack/echo/v4"
)

// TestLargeChangesAreReadOneAtATime checks that a large change waits while another one is read,
// instead of being rejected, and releases the slot afterwards.
func TestLargeChangesAreReadOneAtATime(t *testing.T) {
	h := New(Options{Log: logging.Nop()})
	h.largeBodySlot <- struct{}{}
	time.AfterFunc(largeChangeMaxWait/5, func() { <-h.largeBodySlot })
	body := io.LimitReader(zeros{}, largeChangeBytes+1)
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", body)
	request.ContentLength = largeChangeBytes + 1
	request.Header.Set(baseVersionHeader, "0")
	context := echo.New().NewContext(request, httptest.NewRecorder())
	if _, err := h.readChange(context, func(*change) error { return nil }); err != nil {
		t.Errorf("readChange returned %v after the slot for large bodies was released, want nil", err)
	}
	if len(h.largeBodySlot) != 0 {
		t.Error("the slot for large bodies is still taken after readChange returned, want it released")
	}
}

// zeros reads an endless sequence of zero bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// TestParsePurge checks that a purge is accepted only with a host and an absolute path, or with
// a label. An empty expectation stands for an error.
func TestParsePurge(t *testing.T) {
	for body, want := range map[string]string{
		`{"hostname":"A.example","path":"/x"}`: "a.example /x ",
		`{"label":"t1"}`:                       "  t1",
		`{}`:                                   "",
		`{"hostname":"a"}`:                     "",
		`{"path":"/x"}`:                        "",
		`{"hostname":"a","path":"x"}`:          "",
		`{"hostname":"a","path":"/x","label":"t"}`: "",
		`{"label":"t1`: "",
		`{"label":7}`:  "",
		`[]`:           "",
	} {
		r, err := parsePurge([]byte(body))
		got := ""
		if err == nil {
			got = fmt.Sprint(r.Host, " ", r.Path, " ", r.Label)
		}
		if got != want {
			t.Errorf("parsePurge(%s) returned %q and error %v, want %q", body, got, err, want)
		}
	}
}

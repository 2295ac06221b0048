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

// TestLargeChangesWaitInTurn: large changes that come at once are read one after another.
func TestLargeChangesWaitInTurn(t *testing.T) {
	h := New(Options{Log: logging.Nop()})
	h.largeBodySlot <- struct{}{}
	time.AfterFunc(largeChangeMaxWait/5, func() { <-h.largeBodySlot })
	body := io.LimitReader(zeros{}, largeChangeBytes+1)
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", body)
	request.ContentLength = largeChangeBytes + 1
	request.Header.Set(baseVersionHeader, "0")
	context := echo.New().NewContext(request, httptest.NewRecorder())
	if _, err := h.readChange(context, func(*change) error { return nil }); err != nil {
		t.Error(err)
	}
	if len(h.largeBodySlot) != 0 {
		t.Error("the slot is not given back")
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

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
			t.Errorf("%s: %q %v", body, got, err)
		}
	}
}

package controlplane

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// replaceConfiguration sends a configuration to the operator API and returns the HTTP status.
func replaceConfiguration(t *testing.T, s *Server, body string) int {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(body))
	request.Header.Set("X-Comethold-Base-Version", "0")
	w := httptest.NewRecorder()
	if err := s.operator.Replace(echo.New().NewContext(request, w)); err != nil {
		t.Fatal(err)
	}
	return w.Code
}

// TestContradictionDuringStop guards against the loss of a change that contradicts a committed
// one and arrives while the node stops: it must be quarantined as long as the replicas run.
func TestContradictionDuringStop(t *testing.T) {
	s := newTestServer(t, rpc.TCPNetwork, "10.0.0.1", "10.0.0.1:1")
	s.openStorage()
	go func() { _ = s.host.Run() }()
	defer s.Stop()
	const body = `{"version":3,"limits":{},"services":[],"routes":[]}`
	waitUntil(t, "the configuration is committed", func() bool {
		return replaceConfiguration(t, s, body) == http.StatusOK
	})
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	s.operator.Run(stopped) // this loop ends before the replicas when the node stops
	if status := replaceConfiguration(t, s, body+" "); status != http.StatusPreconditionFailed {
		t.Errorf("Replace with contradicting content answered %d, want 412", status)
	}
	waitUntil(t, "the change is in quarantine", func() bool {
		var keys []string
		s.host.View(schema.MetaCell, func(replica *paxos.Replica) {
			keys = replica.KeysWithPrefix(schema.QuarantineKeyPrefix, schema.QuarantineKeyPrefix)
		})
		return len(keys) == 1
	})
}

func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 30 s: %s", condition)
		}
	}
}

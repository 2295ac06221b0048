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

// replaceConfiguration sends a configuration as an operator does, and returns the status.
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

// TestContradictionWhileStopping: a change that contradicts a committed one is put in
// quarantine also if it comes while the node stops, as long as its replicas run.
func TestContradictionWhileStopping(t *testing.T) {
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
	s.operator.Run(stopped) // what ends first when the node stops
	if status := replaceConfiguration(t, s, body+" "); status != http.StatusPreconditionFailed {
		t.Errorf("the status is %d", status)
	}
	waitUntil(t, "the change is in quarantine", func() bool {
		var keys []string
		s.host.View(schema.MetaCell, func(replica *paxos.Replica) {
			keys = replica.KeysWithPrefix(schema.QuarantineKeyPrefix, schema.QuarantineKeyPrefix)
		})
		return len(keys) == 1
	})
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not so: %s", what)
		}
	}
}

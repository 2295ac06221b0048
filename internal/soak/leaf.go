package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// Names in the configuration.
const (
	hostname    = "soak.example"
	serviceName = "echo"
	safePath    = "/safe/"
	unsafePath  = "/unsafe/"
)

// Headers of the protocol between proxies and leafs.
const (
	requestIDHeader = "X-Comethold-Request-Id"
	stampHeader     = "X-Comethold-Server-Stamp"
	instanceHeader  = "X-Comethold-Expected-Instance"
)

const maxLeafDelay = 25 * time.Millisecond

// leaf simulates a leaf. It records each execution of a request and answers after a random delay.
type leaf struct {
	id       string
	recorder *recorder
	stamps   atomic.Int64
}

func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(instanceHeader); expected != "" && expected != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(requestIDHeader)
	if id == "" { // health check
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the body is incomplete, so the request is not executed
	}
	unchanged := r.Method == http.MethodGet && r.URL.Path == safePath+id ||
		r.Method == http.MethodPost && r.URL.Path == unsafePath+id && string(body) == requestBody(id)
	l.recorder.requestExecuted(id, unchanged)
	time.Sleep(rand.N(maxLeafDelay))
	w.Header().Set(stampHeader, fmt.Sprintf("%s-%d", l.id, l.stamps.Add(1)))
	_, _ = io.WriteString(w, responseBody(id)) // fails if the caller has disconnected
}

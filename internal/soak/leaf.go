package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// Names of what the configuration holds.
const (
	hostname    = "soak.example"
	serviceName = "echo"
	safePath    = "/safe/"
	unsafePath  = "/unsafe/"
)

// Headers of the protocol.
const (
	requestIDHeader = "X-Comethold-Request-Id"
	stampHeader     = "X-Comethold-Server-Stamp"
	instanceHeader  = "X-Comethold-Expected-Instance"
)

const maxLeafWork = 25 * time.Millisecond

// leaf is a stand-in for a leaf.
type leaf struct {
	id     string
	record *record
	stamps atomic.Int64
}

func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(instanceHeader); expected != "" && expected != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(requestIDHeader)
	if id == "" { // a health check
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the rest of the request didn't come: it isn't run
	}
	unchanged := r.Method == http.MethodGet && r.URL.Path == safePath+id ||
		r.Method == http.MethodPost && r.URL.Path == unsafePath+id && string(body) == requestBody(id)
	l.record.ran(id, unchanged)
	time.Sleep(rand.N(maxLeafWork))
	w.Header().Set(stampHeader, fmt.Sprintf("%s-%d", l.id, l.stamps.Add(1)))
	_, _ = io.WriteString(w, answerBody(id)) // the caller may have left
}

package proxy

import (
	"maps"
	"net/http"
	"slices"
	"sync"
)

// abortRetryAfter is the Retry-After, in seconds, of a request that was not forwarded because
// the node shuts down.
const abortRetryAfter = "0.05"

// pendingRequest is a request whose response has not been started.
type pendingRequest struct {
	mu         sync.Mutex // guards the fields below, and the writer until it is answered
	writer     http.ResponseWriter
	dispatched bool // an endpoint may have received the request
	answered   bool // claimAnswer or abort was called; no other call may answer
}

// markDispatched must be called before the request is sent to an endpoint. If it
// returns false, the request is already answered and must not be sent.
func (p *pendingRequest) markDispatched() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatched = true
	return !p.answered
}

// claimAnswer reports whether the caller may answer the request: only the first call
// returns true.
func (p *pendingRequest) claimAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isFirst := !p.answered
	p.answered = true
	return isFirst
}

// abort answers the request because the node shuts down. It holds the lock until the
// response is written, so that the request's handler can't return before that.
func (p *pendingRequest) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answered {
		return
	}
	p.answered = true
	header := p.writer.Header()
	header.Set("Connection", "close")
	if p.dispatched {
		writeText(p.writer, http.StatusBadGateway, "this node ends before the answer")
	} else {
		unavailable("this node ends", abortRetryAfter).write(p.writer)
	}
	_ = http.NewResponseController(p.writer).Flush() // fails if the client has disconnected
}

// pendingRequests is the set of requests whose responses have not been started. It is safe
// for concurrent use.
type pendingRequests struct {
	mu     sync.Mutex // guards the fields below
	open   map[*pendingRequest]struct{}
	closed bool // abortAll was called; new requests are answered at once
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{open: map[*pendingRequest]struct{}{}}
}

// register adds a request that has been read. After abortAll it answers the request at once
// and ok is false. The caller must unregister the request in both cases.
func (r *pendingRequests) register(writer http.ResponseWriter) (pending *pendingRequest, ok bool) {
	pending = &pendingRequest{writer: writer}
	r.mu.Lock()
	r.open[pending] = struct{}{}
	closed := r.closed
	r.mu.Unlock()
	if closed {
		pending.abort()
	}
	return pending, !closed
}

func (r *pendingRequests) unregister(pending *pendingRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, pending)
}

// abortAll answers all open requests at the end of a shutdown, because a client whose
// connection closes without a response can't know whether its request was executed.
func (r *pendingRequests) abortAll() {
	r.mu.Lock()
	r.closed = true
	open := slices.Collect(maps.Keys(r.open))
	r.mu.Unlock()
	for _, pending := range open {
		pending.abort()
	}
}

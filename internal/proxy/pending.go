package proxy

import (
	"maps"
	"net/http"
	"slices"
	"sync"
)

// abortRetryAfter is for how long a client waits whose request a node that ends did
// not forward, in seconds.
const abortRetryAfter = "0.05"

// pendingRequest is a request whose response was not begun.
type pendingRequest struct {
	mu         sync.Mutex // guards the fields below, and the writer until it is answered
	writer     http.ResponseWriter
	dispatched bool // an endpoint may have got it
	answered   bool // somebody has the right to answer
}

// markDispatched is called before an endpoint gets the request, which must not
// happen if it returns false: the request is answered already.
func (p *pendingRequest) markDispatched() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatched = true
	return !p.answered
}

// claimAnswer gives the right to answer to the first who calls it.
func (p *pendingRequest) claimAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isFirst := !p.answered
	p.answered = true
	return isFirst
}

// abort answers the request because the node ends. It holds the lock until the
// response is written: whoever handles the request waits for that.
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
	_ = http.NewResponseController(p.writer).Flush() // a client that went away needs no response
}

// pendingRequests are the requests whose responses were not begun. It is safe for
// concurrent use.
type pendingRequests struct {
	mu     sync.Mutex // guards the fields below
	open   map[*pendingRequest]struct{}
	closed bool // what was open is answered; nothing is begun any more
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{open: map[*pendingRequest]struct{}{}}
}

// register adds a request that was read. After abortAll it is answered at once and
// ok is false. The caller unregisters it either way.
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

// abortAll answers what is open when the node must end: a connection that ends
// without a response leaves the client in doubt whether its request was executed.
func (r *pendingRequests) abortAll() {
	r.mu.Lock()
	r.closed = true
	open := slices.Collect(maps.Keys(r.open))
	r.mu.Unlock()
	for _, pending := range open {
		pending.abort()
	}
}

package soak

import "net/http"

// request is one request of a client, as observed by the client and the leafs.
type request struct {
	repeatable bool
	executions int // on all leafs
	status     int // HTTP status of the response; 0 if there is none
}

// requestSent records a request. The client calls it before it sends the request.
func (r *recorder) requestSent(id string, repeatable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[id] = &request{repeatable: repeatable}
}

// requestExecuted records that a leaf executed a request. It checks rules UNASKED (leafs execute only requests that a
// client sent, with unchanged method, path and body), TWICE (a non-repeatable request is executed at most once) and,
// for a request that is executed after its response, REFUSED.
func (r *recorder) requestExecuted(id string, unchanged bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil || !unchanged {
		r.addViolationLocked(ruleUnasked, "leaf executed request %q, sent by a client: %t, unchanged: %t",
			id, q != nil, unchanged)
		return
	}
	q.executions++
	if !q.repeatable && q.executions > 1 {
		r.addViolationLocked(ruleTwice, "non-repeatable request %s was executed %d times", id, q.executions)
	}
	r.checkRefusedLocked(id, q)
}

// responseReceived records the response that a client received. It checks rules MIXED (a response with status 200 has a
// server stamp and the body of a leaf's response to this request, which a leaf has executed) and REFUSED.
func (r *recorder) responseReceived(id string, status int, stamped bool, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	q.status = status
	if status == http.StatusOK && (!stamped || body != responseBody(id) || q.executions == 0) {
		r.addViolationLocked(ruleMixed, "request %s, executed %d times, got status 200, server stamp: %t, body %q",
			id, q.executions, stamped, body)
	}
	r.checkRefusedLocked(id, q)
}

// checkRefusedLocked checks rule REFUSED: a non-repeatable request that is answered with 408, 421, 429 or 503 is never
// executed, neither before nor after the response.
func (r *recorder) checkRefusedLocked(id string, q *request) {
	switch q.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if !q.repeatable && q.executions > 0 {
			r.addViolationLocked(ruleRefused, "request %s was answered with status %d and executed %d times",
				id, q.status, q.executions)
		}
	}
}

// responseBody returns the body of a leaf's response to a request.
func responseBody(id string) string { return "answer to " + id }

// requestBody returns the body of an unsafe request.
func requestBody(id string) string { return "body of " + id }

package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"comethold/internal/scatter"
	"comethold/internal/upstream"
)

const headerRetryAfter = "Retry-After"

// rejection is the response to a request that is not forwarded. reason is the body.
type rejection struct {
	status int
	reason string
	// The name and value of an additional header; header is empty if there is none.
	header string
	value  string
}

// unavailable returns a rejection with status 503; retryAfter is in seconds.
func unavailable(reason, retryAfter string) *rejection {
	return &rejection{
		status: http.StatusServiceUnavailable,
		reason: reason,
		header: headerRetryAfter,
		value:  retryAfter,
	}
}

// closingRejection returns a rejection that closes the connection. It is for a request that was
// not read completely: no other request can follow on that connection.
func closingRejection(status int, reason string) *rejection {
	return &rejection{status: status, reason: reason, header: "Connection", value: "close"}
}

func (r *rejection) write(writer http.ResponseWriter) {
	if r.header != "" {
		writer.Header().Set(r.header, r.value)
	}
	writeText(writer, r.status, r.reason)
}

// formatSeconds formats a duration for Retry-After, in seconds with three decimals.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// writeText writes a plain-text response that this node generates.
func writeText(writer http.ResponseWriter, status int, text string) {
	header := writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)+1))
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, text+"\n") // fails if the client has disconnected
}

// writeReply writes a reply to a request of the given method. A reply without headers comes from
// this node: its reason becomes the body.
func writeReply(writer http.ResponseWriter, method string, reply *scatter.Reply) {
	header := writer.Header()
	if reply.Header == nil {
		if reply.RetryAfter > 0 {
			header.Set(headerRetryAfter, formatSeconds(reply.RetryAfter))
		}
		writeText(writer, reply.Status, reply.Reason)
		return
	}
	for name, values := range upstream.EndToEndHeaders(reply.Header) {
		header[name] = values
	}
	if ids := reply.Header[upstream.HeaderRequestID]; ids != nil {
		header[upstream.HeaderRequestID] = ids
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from adding a detected type
	}
	setContentLength(header, method, reply)
	writer.WriteHeader(reply.Status)
	if len(reply.Body) > 0 {
		_, _ = writer.Write(reply.Body) // fails if the client has disconnected
	}
}

// setContentLength sets Content-Length to the length of the reply's body, or for HEAD to the
// length that the endpoint stated. It sets none for the statuses 204 and 304.
func setContentLength(header http.Header, method string, reply *scatter.Reply) {
	switch {
	case method == http.MethodHead:
		if length := reply.Header["Content-Length"]; length != nil {
			header["Content-Length"] = length
		}
	case reply.Status == http.StatusNoContent, reply.Status == http.StatusNotModified:
	default:
		header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
}

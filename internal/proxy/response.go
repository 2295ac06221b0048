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

// rejection is why a request is not forwarded, and the response to its client.
type rejection struct {
	status int
	reason string
	// A header that goes with it, if there is one.
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

// closingRejection returns a rejection that closes the connection: the request was not read
// completely, so that no other one can follow it.
func closingRejection(status int, reason string) *rejection {
	return &rejection{status: status, reason: reason, header: "Connection", value: "close"}
}

func (r *rejection) write(writer http.ResponseWriter) {
	if r.header != "" {
		writer.Header().Set(r.header, r.value)
	}
	writeText(writer, r.status, r.reason)
}

// formatSeconds formats a time for Retry-After.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// writeText writes a response of this node's own.
func writeText(writer http.ResponseWriter, status int, text string) {
	header := writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(text)+1))
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, text+"\n") // a client that went away needs no response
}

// writeReply writes a reply to a request of the given method.
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
		header["Content-Type"] = nil // so that net/http adds none
	}
	setContentLength(header, method, reply)
	writer.WriteHeader(reply.Status)
	if len(reply.Body) > 0 {
		_, _ = writer.Write(reply.Body) // a client that went away needs no response
	}
}

// setContentLength sets the length of a reply to that of its body; for HEAD it is the
// one that the endpoint stated.
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

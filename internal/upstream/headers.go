package upstream

import (
	"net/http"
	"strings"
)

// Headers of the protocol between clients, nodes and leaf servers.
const (
	HeaderRequestID         = "X-Comethold-Request-Id"
	HeaderDeadlineRemaining = "X-Comethold-Deadline-Remaining" // milliseconds
	HeaderExpectedInstance  = "X-Comethold-Expected-Instance"
	HeaderServerStamp       = "X-Comethold-Server-Stamp"
	HeaderNotExecuted       = "X-Comethold-Not-Executed"
	HeaderInstanceID        = "X-Comethold-Instance-Id"
	HeaderTenant            = "X-Comethold-Tenant"
)

// hopByHopHeaders contains the headers that apply to a single connection, and those
// that this package writes itself.
var hopByHopHeaders = map[string]bool{
	"Connection":            true,
	"Keep-Alive":            true,
	"Proxy-Connection":      true,
	"Proxy-Authenticate":    true,
	"Proxy-Authorization":   true,
	"Te":                    true,
	"Trailer":               true,
	"Transfer-Encoding":     true,
	"Upgrade":               true,
	"Content-Length":        true,
	"Host":                  true,
	"Expect":                true,
	HeaderRequestID:         true,
	HeaderDeadlineRemaining: true,
	HeaderExpectedInstance:  true,
}

// EndToEndHeaders returns the headers of a message that are forwarded to the
// next hop. The values are shared with the given headers, not copied.
func EndToEndHeaders(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHopHeaders[name] {
			forwarded[name] = values
		}
	}
	for _, options := range header["Connection"] {
		for _, name := range strings.Split(options, ",") {
			delete(forwarded, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return forwarded
}

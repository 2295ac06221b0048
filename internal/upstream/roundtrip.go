package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"comethold/internal/boundedio"
)

const (
	maxResponseBytes = 32 << 20
	// maxResponseHeadBytes bounds the status line and headers of a response, together with
	// all informational responses before it.
	maxResponseHeadBytes = 64 << 10

	// defaultIdleTimeout is the reuse time of an idle connection, counted from the start
	// of the request, if the response has no Keep-Alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the Keep-Alive timeout, so that a connection
	// is not reused when the endpoint is about to close it.
	idleTimeoutMargin = 600 * time.Millisecond
	// maxKeepAliveSeconds is the value from which a Keep-Alive timeout is ignored.
	maxKeepAliveSeconds = 1 << 20
)

// roundTrip sends the request and reads the complete response. A non-empty
// expectedInstance is sent in a header, so that another endpoint at the same address
// rejects the request. reuse reports whether the connection may carry another request.
// Errors wrap ErrTimeout or ErrResponseLost.
func (c *connection) roundTrip(
	request *Request, expectedInstance string, bodies *boundedio.Budget,
) (response *Response, reuse bool, err error) {
	start := time.Now()
	_ = c.conn.SetDeadline(request.Deadline) // fails only if the write below fails too
	if err := c.writeRequest(request, expectedInstance, request.Deadline.Sub(start)); err != nil {
		return nil, false, wrapIOError(err)
	}
	received, err := c.readHead(request.Method)
	if err != nil {
		return nil, false, err
	}
	body, err := readBody(received, request.Method, bodies)
	if err != nil {
		return nil, false, err
	}
	response = &Response{Status: received.StatusCode, Header: received.Header, Body: body}
	if !c.belongsTo(request, response) {
		return nil, false, fmt.Errorf("%w: response belongs to another request", ErrResponseLost)
	}
	if c.reader.Buffered() > 0 {
		c.unexpectedBytes = true
	}
	c.reusableUntil = start.Add(defaultIdleTimeout)
	if keepAlive, ok := parseKeepAlive(received.Header.Get("Keep-Alive")); ok {
		c.reusableUntil = time.Now().Add(keepAlive - min(idleTimeoutMargin, keepAlive/2))
	}
	identified := c.recordIdentity(response.Header)
	return response, !received.Close && !c.unexpectedBytes && identified, nil
}

// writeRequest sends the request. Flush returns the first error of the buffered writer.
func (c *connection) writeRequest(request *Request, expectedInstance string, remaining time.Duration) error {
	w := c.writer
	_, _ = w.WriteString(request.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(request.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\n")
	writeHeaderField(w, "Host", request.Host)
	_ = request.Header.Write(w)
	if request.ID != "" {
		writeHeaderField(w, HeaderRequestID, request.ID)
		writeHeaderField(w, HeaderDeadlineRemaining, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	}
	if expectedInstance != "" {
		writeHeaderField(w, HeaderExpectedInstance, expectedInstance)
	}
	if request.HasBody || len(request.Body) > 0 {
		writeHeaderField(w, "Content-Length", strconv.Itoa(len(request.Body)))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(request.Body)
	return w.Flush()
}

func writeHeaderField(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

// readHead reads the status line and headers of the final response and skips
// informational responses. It reads at most maxResponseHeadBytes, since
// http.ReadResponse bounds neither the length of a line nor that of all headers.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.source.Bound(maxResponseHeadBytes)
	defer c.source.Unbound()
	request := &http.Request{Method: method}
	for {
		received, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, wrapIOError(err)
		}
		if received.StatusCode >= http.StatusOK {
			return received, nil
		}
		if received.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: unexpected status 101 (Switching Protocols)", ErrResponseLost)
		}
	}
}

// readBody reads the whole body. A body with neither Content-Length nor chunked encoding
// is an error.
func readBody(received *http.Response, method string, bodies *boundedio.Budget) ([]byte, error) {
	bodiless := method == http.MethodHead ||
		received.StatusCode == http.StatusNoContent ||
		received.StatusCode == http.StatusNotModified
	expected := int(min(received.ContentLength, maxResponseBytes)) + 1 // one more, to detect the end
	body, err := bodies.ReadAll(received.Body, expected, maxResponseBytes)
	if err == nil {
		err = received.Body.Close()
	}
	if err != nil {
		return nil, wrapIOError(err)
	}
	chunked := len(received.TransferEncoding) > 0
	if received.ContentLength < 0 && !chunked && !bodiless {
		// The body ends when the connection closes: a truncated one would seem complete.
		return nil, fmt.Errorf("%w: response body has neither Content-Length nor chunked encoding", ErrResponseLost)
	}
	return body, nil
}

// wrapIOError wraps an error of the connection as ErrTimeout or ErrResponseLost.
func wrapIOError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return fmt.Errorf("%w: %w", ErrTimeout, err)
	}
	return fmt.Errorf("%w: %w", ErrResponseLost, err)
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header.
func parseKeepAlive(value string) (time.Duration, bool) {
	for _, parameter := range strings.Split(value, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(parameter), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(text))
		if err == nil && seconds >= 0 && seconds < maxKeepAliveSeconds {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

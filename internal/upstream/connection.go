package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"comethold/internal/boundedio"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 2 << 10

	// maxIdleNonIdempotent is the longest idle time after which a connection may carry
	// a request that must not be executed twice.
	maxIdleNonIdempotent = 200 * time.Millisecond
)

// connection is one connection to an endpoint. It carries one request at a time
// and is used by one goroutine at a time.
type connection struct {
	conn   net.Conn
	source *boundedio.Reader // reads from conn
	reader *bufio.Reader     // reads from source
	writer *bufio.Writer

	reusableUntil time.Time // the endpoint may close it after this time
	idleSince     time.Time
	// unexpectedBytes is set if bytes followed a complete response. They belong to no
	// request, so the connection is closed.
	unexpectedBytes bool

	// The fields below distinguish a response to the current request from a late
	// response to an earlier request; see belongsTo.

	lastUnidentified   bool   // the last response had neither a request ID nor a server stamp
	kindsWithRequestID []int  // kinds of responses that had a request ID; see responseKind
	lastStamp          string // server stamp of the last response
}

func newConnection(conn net.Conn) *connection {
	source := &boundedio.Reader{Source: conn}
	return &connection{
		conn:   conn,
		source: source,
		reader: bufio.NewReaderSize(source, readBufferBytes),
		writer: bufio.NewWriterSize(conn, writeBufferBytes),
	}
}

func (c *connection) close() { _ = c.conn.Close() }

// reusable reports whether an idle connection may carry a request now.
func (c *connection) reusable(nonIdempotent bool, now time.Time) bool {
	if !now.Before(c.reusableUntil) {
		return false
	}
	if nonIdempotent && (c.lastUnidentified || now.Sub(c.idleSince) > maxIdleNonIdempotent) {
		return false
	}
	return c.isIdleAndOpen()
}

// isIdleAndOpen reports whether the connection is open and has no bytes to read. It
// sets unexpectedBytes if there are any.
func (c *connection) isIdleAndOpen() bool {
	if c.reader.Buffered() > 0 {
		c.unexpectedBytes = true
		return false
	}
	socket, ok := c.conn.(syscall.Conn)
	if !ok {
		return true // simulated connections have no socket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, readErr := unix.Read(int(fd), buf[:])
		open = n < 0 && (errors.Is(readErr, unix.EAGAIN) || errors.Is(readErr, unix.EWOULDBLOCK))
		c.unexpectedBytes = n > 0
		return true
	})
	return err == nil && open
}

// responseKind returns the kind of a response: its status, negative for a fan-out. An
// endpoint sets the request ID either in all responses of a kind or in none.
func responseKind(request *Request, response *Response) int {
	if request.FanOut {
		return -response.Status
	}
	return response.Status
}

// belongsTo reports whether a response belongs to the request. An extra response to
// an earlier request can arrive after the next request was sent. It has the ID of the
// earlier request, or no ID although responses of its kind on this connection have one,
// or, for a fan-out, the server stamp of the earlier response.
func (c *connection) belongsTo(request *Request, response *Response) bool {
	if request.ID != "" && !c.hasExpectedIDs(request, response) {
		return false
	}
	stamp := response.Header.Get(HeaderServerStamp)
	if request.FanOut && stamp != "" && stamp == c.lastStamp {
		return false
	}
	c.lastStamp = stamp
	return true
}

// hasExpectedIDs reports whether a response has the ID of the request, or no ID if no
// earlier response of its kind had one. It records the kinds of responses that have IDs.
func (c *connection) hasExpectedIDs(request *Request, response *Response) bool {
	kind := responseKind(request, response)
	ids := response.Header[HeaderRequestID]
	echoed := slices.Contains(c.kindsWithRequestID, kind)
	if echoed && len(ids) == 0 {
		return false
	}
	if slices.ContainsFunc(ids, func(id string) bool { return id != request.ID }) {
		return false
	}
	if !echoed && len(ids) > 0 {
		c.kindsWithRequestID = append(c.kindsWithRequestID, kind)
	}
	return true
}

// recordIdentity records whether the response has a request ID or a server stamp, and
// reports whether the connection may be reused. Two responses in a row with neither may
// be the same response sent twice: the next request would then get the response to an
// earlier one.
func (c *connection) recordIdentity(header http.Header) bool {
	before := c.lastUnidentified
	c.lastUnidentified = header.Get(HeaderRequestID) == "" && header.Get(HeaderServerStamp) == ""
	return !before || !c.lastUnidentified
}

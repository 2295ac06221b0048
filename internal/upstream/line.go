package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Errors of this layer.
var (
	// ErrNotSent: no byte of the request has left; it has not run.
	ErrNotSent = errors.New("trunk: the leaf could not be reached")
	// ErrResponseLost: the request may have run; no whole answer came.
	ErrResponseLost = errors.New("trunk: the answer was lost")
	// ErrTimeout: the request may have run; the time is up.
	ErrTimeout = errors.New("trunk: the leaf did not answer in time")
)

// Headers of the protocol.
const (
	HeaderRequestID         = "X-Comethold-Request-Id"
	HeaderDeadlineRemaining = "X-Comethold-Deadline-Remaining"
	HeaderExpectedInstance  = "X-Comethold-Expected-Instance"
	HeaderServerStamp       = "X-Comethold-Server-Stamp"
	HeaderNotExecuted       = "X-Comethold-Not-Executed"
	HeaderInstanceID        = "X-Comethold-Instance-Id"
	HeaderTenant            = "X-Comethold-Tenant"
)

// Request is what is passed to a leaf: the client's bytes as they came.
type Request struct {
	Method   string
	Target   string
	Host     string
	Header   http.Header // without those of one connection
	Body     []byte
	HasBody  bool // the client gave a length or chunks, be they empty
	ID       string
	Deadline time.Time
	// NonIdempotent says that the request may not be repeated: it goes on no connection
	// that rested for long, since the leaf may have forgotten it, and on none
	// whose last answer can't be told from the next one's.
	NonIdempotent bool
	// FanOut says that the answer is one of several to be joined: its stamp is this
	// request's alone.
	FanOut bool
}

// Outcome is what became of a request at a leaf.
type Outcome uint8

// Outcomes: only after the first two has the leaf surely not run the request.
const (
	NotSent  Outcome = iota // no byte of it left
	Rejected                // the leaf says that it has not run it
	Executed                // the leaf answered
	Unknown                 // no whole answer came
)

// OutcomeOf tells what became of a request by how its call ended.
func OutcomeOf(a *Response, err error) Outcome {
	switch {
	case errors.Is(err, ErrNotSent):
		return NotSent
	case err != nil:
		return Unknown
	case a.NotExecuted():
		return Rejected
	}
	return Executed
}

// Retryable reports whether the request may go to a leaf once more after such an outcome.
func (r *Request) Retryable(f Outcome) bool { return !r.NonIdempotent || f == NotSent || f == Rejected }

// Response is a leaf's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotExecuted reports whether the leaf says that it has not run the request.
func (a *Response) NotExecuted() bool {
	return a.Status == http.StatusMisdirectedRequest || a.Header.Get(HeaderNotExecuted) != ""
}

// IsSuccess reports whether this is a success that the protocol allows to count.
func (a *Response) IsSuccess() bool {
	return a.Status/100 == 2 && a.Header.Get(HeaderServerStamp) != "" && a.Header.Get("Content-Encoding") == ""
}

const (
	maxResponseBytes     = 32 << 20
	defaultIdleTimeout   = 3 * time.Second // how long to trust an idle line of a leaf that names no time
	idleTimeoutMargin    = 600 * time.Millisecond
	maxIdleNonIdempotent = 200 * time.Millisecond // of rest, for requests that may not be repeated
)

// connection is one connection to a leaf. It carries one request at a time.
type connection struct {
	conn             net.Conn
	reader           *bufio.Reader
	writer           *bufio.Writer
	reusableUntil    time.Time // after this the leaf may close it
	idleSince        time.Time // since when it is idle
	unexpectedBytes  bool
	lastUnidentified bool   // the last answer named no request and had no stamp
	echoedKinds      []int  // statuses of answers that named their request; of parts below 0
	lastStamp        string // of the last answer
}

func newConnection(c net.Conn) *connection {
	return &connection{conn: c, reader: bufio.NewReaderSize(c, 4<<10), writer: bufio.NewWriterSize(c, 2<<10)}
}

// isIdleAndOpen reports whether an idle line is still open with nothing to read: bytes
// that came after a whole answer belong to no request.
func (l *connection) isIdleAndOpen() bool {
	if l.reader.Buffered() > 0 {
		l.unexpectedBytes = true
		return false
	}
	sc, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var buf [1]byte
	if err := rc.Read(func(fd uintptr) bool {
		n, err := unix.Read(int(fd), buf[:])
		open = n < 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
		l.unexpectedBytes = n > 0
		return true
	}); err != nil {
		return false
	}
	return open
}

// roundTrip sends the request and reads the whole answer. reuse says whether the
// line may serve another request.
func (l *connection) roundTrip(r *Request, expected string) (a *Response, reuse bool, err error) {
	now := time.Now()
	_ = l.conn.SetDeadline(r.Deadline)
	left := r.Deadline.Sub(now).Milliseconds()
	if left < 1 {
		left = 1
	}
	w := l.writer
	w.WriteString(r.Method)
	w.WriteByte(' ')
	w.WriteString(r.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(r.Host)
	w.WriteString("\r\n")
	_ = r.Header.Write(w)
	if r.ID != "" {
		writeHeaderField(w, HeaderRequestID, r.ID)
		writeHeaderField(w, HeaderDeadlineRemaining, strconv.FormatInt(left, 10))
	}
	if expected != "" {
		writeHeaderField(w, HeaderExpectedInstance, expected)
	}
	if r.HasBody || len(r.Body) > 0 {
		writeHeaderField(w, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteString("\r\n")
	w.Write(r.Body)
	if err := w.Flush(); err != nil {
		return nil, false, wrapIOError(err)
	}
	req := &http.Request{Method: r.Method}
	var resp *http.Response
	for {
		resp, err = http.ReadResponse(l.reader, req)
		if err != nil {
			return nil, false, wrapIOError(err)
		}
		if resp.StatusCode >= 200 {
			break
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, fmt.Errorf("%w: it switched protocols unasked", ErrResponseLost)
		}
	}
	bodiless := r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	var body []byte
	if !bodiless && resp.ContentLength > 0 && resp.ContentLength <= maxResponseBytes {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	}
	if err == nil {
		err = resp.Body.Close()
	}
	if err != nil {
		return nil, false, wrapIOError(err)
	}
	if len(body) > maxResponseBytes {
		return nil, false, fmt.Errorf("%w: it is too large", ErrResponseLost)
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && !bodiless {
		// Only the close ends it: a cut would look complete.
		return nil, false, fmt.Errorf("%w: its end is not marked", ErrResponseLost)
	}
	a = &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if !l.belongsTo(r, a) {
		return nil, false, fmt.Errorf("%w: it belongs to another request", ErrResponseLost)
	}
	if l.reader.Buffered() > 0 {
		l.unexpectedBytes = true
	}
	l.reusableUntil = now.Add(defaultIdleTimeout)
	if s, ok := parseKeepAlive(resp.Header.Get("Keep-Alive")); ok {
		l.reusableUntil = time.Now().Add(s - min(idleTimeoutMargin, s/2))
	}
	// Two nameless ones may be one that came twice; then the next would get an answer
	// that isn't its own.
	was := l.lastUnidentified
	l.lastUnidentified = a.Header.Get(HeaderRequestID) == "" && a.Header.Get(HeaderServerStamp) == ""
	return a, !resp.Close && !l.unexpectedBytes && !(was && l.lastUnidentified), nil
}

// belongsTo reports whether an answer is one to the request. What a leaf sent after an
// earlier answer can arrive when the next request is already out: it names that
// earlier request, or nobody where such answers of the leaf name theirs, or has its
// stamp.
func (l *connection) belongsTo(r *Request, a *Response) bool {
	if r.ID != "" {
		kind := a.Status
		if r.FanOut {
			kind = -kind
		}
		ids, named := a.Header[HeaderRequestID], slices.Contains(l.echoedKinds, kind)
		if named && len(ids) == 0 || slices.ContainsFunc(ids, func(id string) bool { return id != r.ID }) {
			return false
		}
		if !named && len(ids) > 0 {
			l.echoedKinds = append(l.echoedKinds, kind)
		}
	}
	stamp := a.Header.Get(HeaderServerStamp)
	if r.FanOut && stamp != "" && stamp == l.lastStamp {
		return false
	}
	l.lastStamp = stamp
	return true
}

func writeHeaderField(w *bufio.Writer, name, value string) {
	w.WriteString(name)
	w.WriteString(": ")
	w.WriteString(value)
	w.WriteString("\r\n")
}

func wrapIOError(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return fmt.Errorf("%w: %v", ErrTimeout, err)
	}
	return fmt.Errorf("%w: %v", ErrResponseLost, err)
}

// parseKeepAlive reads the time of a Keep-Alive header.
func parseKeepAlive(v string) (time.Duration, bool) {
	for _, p := range strings.Split(v, ",") {
		if k, s, ok := strings.Cut(strings.TrimSpace(p), "="); ok && strings.EqualFold(k, "timeout") {
			if n, err := strconv.Atoi(strings.TrimSpace(s)); err == nil && n >= 0 && n < 1<<20 {
				return time.Duration(n) * time.Second, true
			}
		}
	}
	return 0, false
}

// hopByHopHeaders are the headers that concern one connection only, and those that
// this layer writes itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
	HeaderRequestID: true, HeaderDeadlineRemaining: true, HeaderExpectedInstance: true,
}

// EndToEndHeaders returns the headers of a message that go on to the next hop.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !hopByHopHeaders[k] {
			out[k] = v
		}
	}
	for _, c := range h["Connection"] {
		for _, name := range strings.Split(c, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

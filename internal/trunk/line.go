package trunk

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
	// ErrLost: the request may have run; no whole answer came.
	ErrLost = errors.New("trunk: the answer was lost")
	// ErrLate: the request may have run; the time is up.
	ErrLate = errors.New("trunk: the leaf did not answer in time")
)

// Headers of the protocol.
const (
	HeaderID       = "X-Comethold-Request-Id"
	HeaderDeadline = "X-Comethold-Deadline-Remaining"
	HeaderExpected = "X-Comethold-Expected-Instance"
	HeaderStamp    = "X-Comethold-Server-Stamp"
	HeaderNotRun   = "X-Comethold-Not-Executed"
	HeaderInstance = "X-Comethold-Instance-Id"
	HeaderTenant   = "X-Comethold-Tenant"
)

// Request is what is passed to a leaf: the client's bytes as they came.
type Request struct {
	Method   string
	Target   string
	Host     string
	Header   http.Header // without those of one connection
	Body     []byte
	Sized    bool // the client gave a length or chunks, be they empty
	ID       string
	Deadline time.Time
	// Once says that the request may not be repeated: it goes on no connection
	// that rested for long, since the leaf may have forgotten it, and on none
	// whose last answer can't be told from the next one's.
	Once bool
	// Part says that the answer is one of several to be joined: its stamp is this
	// request's alone.
	Part bool
}

// Outcome is what became of a request at a leaf.
type Outcome uint8

// Outcomes: only after the first two has the leaf surely not run the request.
const (
	Unsent  Outcome = iota // no byte of it left
	Refused                // the leaf says that it has not run it
	Ran                    // the leaf answered
	Unclear                // no whole answer came
)

// OutcomeOf tells what became of a request by how its call ended.
func OutcomeOf(a *Answer, err error) Outcome {
	switch {
	case errors.Is(err, ErrNotSent):
		return Unsent
	case err != nil:
		return Unclear
	case a.NotRun():
		return Refused
	}
	return Ran
}

// Retriable reports whether the request may go to a leaf once more after such an outcome.
func (r *Request) Retriable(f Outcome) bool { return !r.Once || f == Unsent || f == Refused }

// Answer is a leaf's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// NotRun reports whether the leaf says that it has not run the request.
func (a *Answer) NotRun() bool {
	return a.Status == http.StatusMisdirectedRequest || a.Header.Get(HeaderNotRun) != ""
}

// Good reports whether this is a success that the protocol allows to count.
func (a *Answer) Good() bool {
	return a.Status/100 == 2 && a.Header.Get(HeaderStamp) != "" && a.Header.Get("Content-Encoding") == ""
}

const (
	maxAnswer    = 32 << 20
	idleUnstated = 3 * time.Second // how long to trust an idle line of a leaf that names no time
	idleMargin   = 600 * time.Millisecond
	doubtAfter   = 200 * time.Millisecond // of rest, for requests that may not be repeated
)

// line is one connection to a leaf. It carries one request at a time.
type line struct {
	conn     net.Conn
	br       *bufio.Reader
	bw       *bufio.Writer
	until    time.Time // after this the leaf may close it
	rested   time.Time // since when it is idle
	surplus  bool
	nameless bool   // the last answer named no request and had no stamp
	echoes   []int  // statuses of answers that named their request; of parts below 0
	stamp    string // of the last answer
}

func newLine(c net.Conn) *line {
	return &line{conn: c, br: bufio.NewReaderSize(c, 4<<10), bw: bufio.NewWriterSize(c, 2<<10)}
}

// quiet reports whether an idle line is still open with nothing to read: bytes
// that came after a whole answer belong to no request.
func (l *line) quiet() bool {
	if l.br.Buffered() > 0 {
		l.surplus = true
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
		l.surplus = n > 0
		return true
	}); err != nil {
		return false
	}
	return open
}

// call sends the request and reads the whole answer. reuse says whether the
// line may serve another request.
func (l *line) call(r *Request, expected string) (a *Answer, reuse bool, err error) {
	now := time.Now()
	_ = l.conn.SetDeadline(r.Deadline)
	left := r.Deadline.Sub(now).Milliseconds()
	if left < 1 {
		left = 1
	}
	w := l.bw
	w.WriteString(r.Method)
	w.WriteByte(' ')
	w.WriteString(r.Target)
	w.WriteString(" HTTP/1.1\r\nHost: ")
	w.WriteString(r.Host)
	w.WriteString("\r\n")
	_ = r.Header.Write(w)
	if r.ID != "" {
		writeField(w, HeaderID, r.ID)
		writeField(w, HeaderDeadline, strconv.FormatInt(left, 10))
	}
	if expected != "" {
		writeField(w, HeaderExpected, expected)
	}
	if r.Sized || len(r.Body) > 0 {
		writeField(w, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteString("\r\n")
	w.Write(r.Body)
	if err := w.Flush(); err != nil {
		return nil, false, lost(err)
	}
	req := &http.Request{Method: r.Method}
	var resp *http.Response
	for {
		resp, err = http.ReadResponse(l.br, req)
		if err != nil {
			return nil, false, lost(err)
		}
		if resp.StatusCode >= 200 {
			break
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, fmt.Errorf("%w: it switched protocols unasked", ErrLost)
		}
	}
	bodiless := r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	var body []byte
	if !bodiless && resp.ContentLength > 0 && resp.ContentLength <= maxAnswer {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	}
	if err == nil {
		err = resp.Body.Close()
	}
	if err != nil {
		return nil, false, lost(err)
	}
	if len(body) > maxAnswer {
		return nil, false, fmt.Errorf("%w: it is too large", ErrLost)
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && !bodiless {
		// Only the close ends it: a cut would look complete.
		return nil, false, fmt.Errorf("%w: its end is not marked", ErrLost)
	}
	a = &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if !l.owns(r, a) {
		return nil, false, fmt.Errorf("%w: it belongs to another request", ErrLost)
	}
	if l.br.Buffered() > 0 {
		l.surplus = true
	}
	l.until = now.Add(idleUnstated)
	if s, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		l.until = time.Now().Add(s - min(idleMargin, s/2))
	}
	// Two nameless ones may be one that came twice; then the next would get an answer
	// that isn't its own.
	was := l.nameless
	l.nameless = a.Header.Get(HeaderID) == "" && a.Header.Get(HeaderStamp) == ""
	return a, !resp.Close && !l.surplus && !(was && l.nameless), nil
}

// owns reports whether an answer is one to the request. What a leaf sent after an
// earlier answer can arrive when the next request is already out: it names that
// earlier request, or nobody where such answers of the leaf name theirs, or has its
// stamp.
func (l *line) owns(r *Request, a *Answer) bool {
	if r.ID != "" {
		kind := a.Status
		if r.Part {
			kind = -kind
		}
		ids, named := a.Header[HeaderID], slices.Contains(l.echoes, kind)
		if named && len(ids) == 0 || slices.ContainsFunc(ids, func(id string) bool { return id != r.ID }) {
			return false
		}
		if !named && len(ids) > 0 {
			l.echoes = append(l.echoes, kind)
		}
	}
	stamp := a.Header.Get(HeaderStamp)
	if r.Part && stamp != "" && stamp == l.stamp {
		return false
	}
	l.stamp = stamp
	return true
}

func writeField(w *bufio.Writer, name, value string) {
	w.WriteString(name)
	w.WriteString(": ")
	w.WriteString(value)
	w.WriteString("\r\n")
}

func lost(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return fmt.Errorf("%w: %v", ErrLate, err)
	}
	return fmt.Errorf("%w: %v", ErrLost, err)
}

// keepAlive reads the time of a Keep-Alive header.
func keepAlive(v string) (time.Duration, bool) {
	for _, p := range strings.Split(v, ",") {
		if k, s, ok := strings.Cut(strings.TrimSpace(p), "="); ok && strings.EqualFold(k, "timeout") {
			if n, err := strconv.Atoi(strings.TrimSpace(s)); err == nil && n >= 0 && n < 1<<20 {
				return time.Duration(n) * time.Second, true
			}
		}
	}
	return 0, false
}

// hopByHop are the headers that concern one connection only, and those that
// this layer writes itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
	HeaderID: true, HeaderDeadline: true, HeaderExpected: true,
}

// PassedOn returns the headers of a message that go on to the next hop.
func PassedOn(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !hopByHop[k] {
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

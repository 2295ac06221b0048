package simulation_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"comethold/internal/distribution"
)

// adversary is a set of leafs on real sockets. They end each call with one of callEndings, which include the
// faults of leafs and networks, and record the requests that they ran.
type adversary struct {
	t         *testing.T
	seed      int
	listeners []net.Listener

	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	runs      map[string]int // by request ID
	lastRun   string         // ID of the request that a leaf ran last, or ""
	lastStamp int
}

// mildEndings are the endings of most calls. They do not cause the ejection of the leaf. "well", a correct answer,
// is listed twice to be drawn more often.
var mildEndings = []string{"well", "well", "twice-late", "bye", "closing", "hints"}

// callEndings are all endings of a call. answer and answerAndClose implement them.
var callEndings = append(append([]string(nil), mildEndings...),
	"twice", "alien", "reset-early", "reset", "end", "cut", "stall", "silent", "shed", "shed-twice", "shed-early",
	"421", "error", "unstamped", "encoded", "unmarked", "garbage", "unrun-503", "unrun-429", "unrun-408")

// shedAnswer is a rejection by a full leaf, which states that the request has not run.
const shedAnswer = "HTTP/1.1 503 Full\r\nX-Comethold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func newAdversary(t *testing.T, seed int) *adversary {
	t.Helper()
	return &adversary{t: t, seed: seed, rng: rand.New(rand.NewSource(int64(seed))), runs: map[string]int{}}
}

// close closes the listeners of all leafs.
func (a *adversary) close() {
	for _, listener := range a.listeners {
		_ = listener.Close()
	}
}

func (a *adversary) drawEnding() string {
	if a.draw(8) > 0 {
		return mildEndings[a.draw(len(mildEndings))]
	}
	return callEndings[a.draw(len(callEndings))]
}

// draw returns a random number in [0,n).
func (a *adversary) draw(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rng.Intn(n)
}

// sleepRandomly sleeps for a random number of microseconds in [0,limitMicroseconds).
func (a *adversary) sleepRandomly(limitMicroseconds int) {
	time.Sleep(time.Duration(a.draw(limitMicroseconds)) * time.Microsecond)
}

// startLeaf starts a leaf of a service. Leafs of services whose names begin with "g" are shards, which answer
// with a part of the result of a scattered request.
func (a *adversary) startLeaf(id, service string) distribution.Endpoint {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		a.t.Fatal(err)
	}
	a.listeners = append(a.listeners, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c := &adversaryConn{
				adversary: a, leaf: id, isPart: strings.HasPrefix(service, "g"), Conn: conn, reader: bufio.NewReader(conn),
			}
			go c.serve()
		}
	}()
	return distribution.Endpoint{ID: id, Service: service, Addr: listener.Addr().String(), Zone: "a", Slots: 8}
}

// bodyOf returns n records that hold a request ID: the body of a request with that ID, and of its answer.
func bodyOf(id string, n int) string { return strings.Repeat(fmt.Sprintf("%-*s", recordBytes, id), n) }

// adversaryConn is a leaf's side of one connection.
type adversaryConn struct {
	net.Conn
	adversary *adversary
	leaf      string
	isPart    bool // its answers are parts, which carry no request ID
	reader    *bufio.Reader
}

// adversaryCall is one request at a leaf.
type adversaryCall struct {
	id     string
	ending string
	isHead bool
	other  string // ID of the request that a leaf ran before, or ""
	stamp  string // the X-Comethold-Server-Stamp header line of the answer
}

// serve answers calls until one of them closes the connection.
func (c *adversaryConn) serve() {
	defer func() { _ = c.Close() }()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Comethold-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", c.leaf))
			continue
		}
		call, ok := c.readCall(request)
		if !ok {
			return
		}
		c.adversary.sleepRandomly(1500)
		if !c.answer(call) {
			return
		}
	}
}

func (c *adversaryConn) write(text string) {
	_, _ = io.WriteString(c, text) // the caller may have closed the connection, for example at its deadline
}

// readCall draws the ending of a request, reads the body, checks that it is complete, and counts the request if
// it runs. It returns false if the connection closes at once.
func (c *adversaryConn) readCall(request *http.Request) (adversaryCall, bool) {
	a := c.adversary
	call := adversaryCall{
		id:     request.Header.Get("X-Comethold-Request-Id"),
		ending: a.drawEnding(),
		isHead: request.Method == http.MethodHead,
	}
	if call.ending == "shed-early" {
		c.write(shedAnswer)
		return call, false
	}
	if call.ending != "reset-early" {
		raw, err := io.ReadAll(request.Body)
		if err != nil {
			return call, false
		}
		n, _ := strconv.Atoi(request.URL.Query().Get("n"))
		if string(raw) != bodyOf(call.id, n) || request.URL.Path != "/"+call.id {
			a.t.Errorf("seed %d: leaf %s received request %s with path %s and body %.80q, want its own path and %d records",
				a.seed, c.leaf, call.id, request.URL.Path, raw, n)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	call.other = a.lastRun
	if !strings.HasPrefix(call.ending, "shed") && call.ending != "421" {
		a.runs[call.id]++
		a.lastRun = call.id
	}
	a.lastStamp++
	call.stamp = fmt.Sprintf("X-Comethold-Server-Stamp: %s.%s.%d\r\n", call.id, c.leaf, a.lastStamp)
	return call, true
}

// formatAnswer returns an answer with the body for a request ID and, unless it is a part, the ID as a header.
func (c *adversaryConn) formatAnswer(call adversaryCall, status, id, header string) string {
	body := bodyOf(id, 2)
	size := len(body)
	if call.isHead {
		body = ""
	}
	if !c.isPart {
		header += "X-Comethold-Request-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, size, body)
}

// answer answers a request with the ending that was drawn. It returns false if the connection must be closed.
func (c *adversaryConn) answer(call adversaryCall) (keepOpen bool) {
	const ok = "200 OK"
	correct := c.formatAnswer(call, ok, call.id, call.stamp)
	switch call.ending {
	case "hints":
		c.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + correct)
	case "twice": // a second answer that belongs to no request
		c.write(correct + correct)
	case "twice-late":
		c.write(correct)
		c.adversary.sleepRandomly(1200)
		c.write(correct)
	case "alien": // the answer to another request
		other := call.other
		if c.isPart || other == "" {
			other = call.id
		}
		c.write(c.formatAnswer(call, ok, other, call.stamp))
	case "shed":
		c.write(shedAnswer)
	case "shed-twice":
		c.write(shedAnswer)
		c.adversary.sleepRandomly(1200)
		c.write(shedAnswer)
	case "421": // as from a leaf of another service at the address
		c.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	case "error":
		c.write(c.formatAnswer(call, "500 Failed", call.id, call.stamp))
	case "unstamped": // without a server stamp
		c.write(c.formatAnswer(call, ok, call.id, ""))
	case "encoded": // with a Content-Encoding, although the body is not compressed
		c.write(c.formatAnswer(call, ok, call.id, call.stamp+"Content-Encoding: gzip\r\n"))
	case "garbage":
		c.write("ZZZZ\r\n\r\n")
	case "unrun-503", "unrun-429", "unrun-408": // a status that suggests that the request has not run, although it has
		c.write(c.formatAnswer(call, strings.TrimPrefix(call.ending, "unrun-")+" No", call.id, call.stamp))
	case "bye", "closing", "reset-early", "reset", "end", "cut", "stall", "silent", "unmarked":
		c.answerAndClose(call, correct)
		return false
	default:
		c.write(correct)
	}
	return true
}

// answerAndClose answers a request with one of the endings that end the connection. serve then closes it.
func (c *adversaryConn) answerAndClose(call adversaryCall, correct string) {
	switch call.ending {
	case "bye": // the connection closes while the next request may be in transit
		c.write(correct)
		c.adversary.sleepRandomly(800)
	case "closing": // a correct answer that announces the close
		c.write(c.formatAnswer(call, "200 OK", call.id, call.stamp+"Connection: close\r\n"))
	case "reset-early", "reset": // closed with a TCP reset instead of an answer
		if conn, ok := c.Conn.(*net.TCPConn); ok {
			_ = conn.SetLinger(0)
		}
	case "cut": // a truncated answer
		c.write(correct[:1+c.adversary.draw(len(correct)-1)])
	case "stall": // a truncated answer; the connection stays open
		c.write(correct[:1+c.adversary.draw(len(correct)-1)])
		_, _ = c.reader.ReadByte()
	case "silent": // no answer; the connection stays open
		_, _ = c.reader.ReadByte()
	case "unmarked": // a body that ends with the connection, without a Content-Length
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n%s", call.stamp, bodyOf(call.id, 1)))
	case "end": // closed without an answer
	}
}

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// leaf is a stand-in for one server of a service. It works on slots requests at once and
// queues a few more, and drops a request once its connection closes.
type leaf struct {
	record  *recorder
	service string
	id      string
	addr    string
	zone    string
	work    func() time.Duration // of one request
	body    int                  // bytes of an answer
	slots   chan struct{}
	queued  atomic.Int32
	// onAnswer, if set, may write the answer itself; it reports whether it did.
	onAnswer func(conn net.Conn, run *run) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	runs     []*run
}

// run is one request that a leaf began to work on.
type run struct {
	id       string
	service  string
	leaf     string
	target   string
	arrived  time.Time
	begun    time.Time
	planned  time.Duration // of work
	ended    time.Time
	dropped  bool // its connection closed before the answer
	answered int  // status; 0: none
}

const maxQueued = 16

func (l *leaf) start() error {
	listener, err := net.Listen("tcp4", l.addr)
	if err != nil {
		return err
	}
	l.listener = listener
	l.conns = map[net.Conn]bool{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.conns[conn] = true
			l.mu.Unlock()
			go l.serve(conn)
		}
	}()
	return nil
}

func (l *leaf) stop() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *leaf) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		l.mu.Lock()
		delete(l.conns, conn)
		l.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second)) // idle connections are closed
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		if !l.handle(conn, reader, request) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays.
func (l *leaf) handle(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	arrived := time.Now()
	id := request.Header.Get("X-Comethold-Request-Id")
	expected := request.Header.Get("X-Comethold-Expected-Instance")
	if request.URL.Path == "/health" && id == "" {
		return l.answer(conn, 200, "X-Comethold-Instance-Id: "+l.id+"\r\n", nil)
	}
	if expected != "" && expected != l.id {
		return l.turnAway(conn, 421, id)
	}
	if id == "" {
		return l.turnAway(conn, 400, id)
	}
	if l.queued.Add(1) > maxQueued {
		l.queued.Add(-1)
		return l.turnAway(conn, 503, id)
	}
	l.slots <- struct{}{}
	l.queued.Add(-1)
	defer func() { <-l.slots }()
	current := &run{id: id, service: l.service, leaf: l.id, target: request.RequestURI, arrived: arrived,
		begun: time.Now(), planned: l.work()}
	l.mu.Lock()
	l.runs = append(l.runs, current)
	l.mu.Unlock()
	if !worked(conn, reader, current.planned) {
		l.finish(current, 0, true)
		return false
	}
	if l.onAnswer != nil && l.onAnswer(conn, current) {
		l.finish(current, 0, false)
		return false
	}
	l.finish(current, 200, false)
	stamp := fmt.Sprintf("%08x.%s", rand.Uint32(), l.id)
	header := "X-Comethold-Request-Id: " + id + "\r\nX-Comethold-Server-Stamp: " + stamp + "\r\n"
	return l.answer(conn, 200, header, make([]byte, l.body))
}

// worked works on a request; it reports false if the connection closed meanwhile.
func worked(conn net.Conn, reader *bufio.Reader, span time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(span))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

func (l *leaf) finish(r *run, status int, dropped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended = time.Now()
	r.answered = status
	r.dropped = dropped
}

func (l *leaf) turnAway(conn net.Conn, status int, id string) bool {
	header := "X-Comethold-Not-Executed: 1\r\n"
	if id != "" {
		header += "X-Comethold-Request-Id: " + id + "\r\n"
	}
	return l.answer(conn, status, header, nil)
}

func (l *leaf) answer(conn net.Conn, status int, header string, body []byte) bool {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + header +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\nKeep-Alive: timeout=15\r\n\r\n"
	_, err := conn.Write(append([]byte(head), body...))
	return err == nil
}

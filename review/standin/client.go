package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sent is one try of a client, with what became of it.
type sent struct {
	id       string
	machine  string
	at       time.Time
	status   int // 0: none
	err      string
	stamp    string
	left     time.Time // when the client closed its connection before an answer; zero: it did not
	finished time.Time
}

// traffic sends requests at a steady rate, each on a connection of its own.
type traffic struct {
	record   *recorder
	platform *platform
	port     int
	method   string
	host     string
	path     string
	deadline time.Duration
	rate     float64
	// patience, if set, returns after how long the client gives a try up; 0: it does not.
	patience func() time.Duration

	mu    sync.Mutex
	tries []*sent
	wait  sync.WaitGroup
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// run sends requests for a time and waits for their answers.
func (t *traffic) run(span time.Duration) {
	interval := time.Duration(float64(time.Second) / t.rate)
	next := time.Now()
	for end := next.Add(span); next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		t.wait.Go(t.request)
	}
	t.wait.Wait()
}

// request sends one request, once more after a failure, within the client's deadline.
func (t *traffic) request() {
	end := time.Now().Add(t.deadline)
	for range 2 {
		in := t.platform.inUse()
		try := t.send(in[rand.IntN(len(in))], time.Until(end))
		if try.status/100 == 2 || !try.left.IsZero() || time.Until(end) < 200*time.Millisecond {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (t *traffic) send(m *machine, remaining time.Duration) *sent {
	try := &sent{id: newID(), machine: m.name, at: time.Now()}
	t.mu.Lock()
	t.tries = append(t.tries, try)
	t.mu.Unlock()
	t.exchange(try, m, remaining)
	try.finished = time.Now()
	t.record.line("client: %s %s at %s sent %.3f -> status %d %s", t.method, try.id, m.name,
		try.at.Sub(t.record.start).Seconds(), try.status, try.err)
	return try
}

func (t *traffic) exchange(try *sent, m *machine, remaining time.Duration) {
	conn, err := net.DialTimeout("tcp4", m.at(t.port), time.Second)
	if err != nil {
		try.err = err.Error()
		return
	}
	defer func() { _ = conn.Close() }()
	giveUp := remaining
	if t.patience != nil {
		if patience := t.patience(); patience > 0 && patience < remaining {
			giveUp = patience
		}
	}
	_ = conn.SetDeadline(try.at.Add(giveUp))
	head := t.method + " " + t.path + try.id + " HTTP/1.1\r\nHost: " + t.host +
		"\r\nX-Comethold-Request-Id: " + try.id +
		"\r\nX-Comethold-Deadline-Remaining: " + strconv.FormatInt(remaining.Milliseconds(), 10) + "\r\n"
	if t.method == http.MethodPost {
		head += "Content-Length: 0\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		try.err = err.Error()
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: t.method})
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	if err != nil {
		try.err = err.Error()
		if giveUp < remaining && time.Since(try.at) >= giveUp {
			try.left = time.Now()
		}
		return
	}
	try.status = response.StatusCode
	try.stamp = response.Header.Get("X-Comethold-Server-Stamp")
}

// counts returns how many tries ended with each status.
func (t *traffic) counts() map[int]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[int]int{}
	for _, try := range t.tries {
		counts[try.status]++
	}
	return counts
}

package objectcache

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/settings"
)

// originMode is how the stand-in for an origin answers.
type originMode string

const (
	modeOK       originMode = "ok"
	modeReject   originMode = "reject"   // without executing the request
	modeError    originMode = "error"    // a failure of its own
	modeTruncate originMode = "truncate" // the answer ends too early
	modeRepeat   originMode = "repeat"   // each answer twice, the second one late
)

// originObject is an object as its origin holds it.
type originObject struct {
	tag   string
	label string
}

// cacheWorld is one server in front of a stand-in for an origin, on simulated time.
type cacheWorld struct {
	server     *Server
	purgeIndex uint64
	calls      sync.WaitGroup // those in the background

	mu            sync.Mutex // guards the fields below
	objects       map[string]originObject
	mode          originMode
	work          time.Duration // that a read takes
	reads         []time.Time   // since the last check: when each began
	revalidations int           // of the reads, those that named the current object
	answers       map[string]int
	slowest       time.Duration // since the last check
	connections   []net.Conn
}

func newCacheWorld(t *testing.T) *cacheWorld {
	t.Helper()
	w := &cacheWorld{
		objects: map[string]originObject{},
		mode:    modeOK,
		work:    50 * time.Millisecond,
		answers: map[string]int{},
	}
	set := &settings.Settings{
		NodeName:          "a1",
		IPAddress:         "10.0.0.1",
		AvailabilityZone:  "a",
		RegionName:        "r",
		InternalPortRange: []int{7000, 7010},
		SeedNodes:         []string{"10.0.0.2:80"},
		Bounds:            settings.Bounds{StaleSlackS: 1},
	}
	w.server = New(set, logging.Nop(), w.network)
	t.Cleanup(w.close)
	return w
}

// close removes the endpoints, lets the server end its work and closes what is open.
func (w *cacheWorld) close() {
	w.server.Apply(&distribution.Update{
		Endpoints: &distribution.EndpointList{Revision: distribution.Revision{Term: 9, Sequence: 9}},
	})
	time.Sleep(time.Minute)
	for _, connection := range w.connections {
		_ = connection.Close()
	}
}

// network connects the server with the origin, whatever the address.
func (w *cacheWorld) network(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		w.mu.Lock()
		w.connections = append(w.connections, ours)
		w.mu.Unlock()
		go w.serveOrigin(theirs)
		return ours, nil
	}
}

// serveOrigin answers the requests on a connection.
func (w *cacheWorld) serveOrigin(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	in := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(in)
		if err != nil || !w.answerRead(connection, request) {
			return
		}
	}
}

// answerRead answers a read. The object is that of the moment at which the work began. It
// reports whether the connection goes on.
func (w *cacheWorld) answerRead(out net.Conn, request *http.Request) bool {
	w.mu.Lock()
	w.reads = append(w.reads, time.Now())
	object, mode, work := w.objects[request.URL.Path], w.mode, w.work
	notModified := object.tag != "" && request.Header.Get(headerIfNoneMatch) == object.tag
	if notModified {
		w.revalidations++
	}
	w.mu.Unlock()
	if mode == modeReject {
		fmt.Fprint(out, "HTTP/1.1 503 Service Unavailable\r\nX-Comethold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	time.Sleep(work)
	header := fmt.Sprintf("X-Comethold-Server-Stamp: s\r\nETag: %s\r\nX-Comethold-Object-Labels: %s\r\n",
		object.tag, object.label)
	if id := request.Header.Get("X-Comethold-Request-Id"); id != "" {
		header += "X-Comethold-Request-Id: " + id + "\r\n"
	}
	switch {
	case mode == modeError:
		fmt.Fprint(out, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case mode == modeTruncate:
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%sContent-Length: 99\r\n\r\n%s", header, object.tag)
		return false
	case object.tag == "":
		fmt.Fprint(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	case notModified:
		fmt.Fprintf(out, "HTTP/1.1 304 Not Modified\r\n%s\r\n", header)
	default:
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(object.tag), object.tag)
		fmt.Fprint(out, answer)
		if mode == modeRepeat { // the second one arrives when the next read is sent
			go fmt.Fprint(out, answer)
		}
	}
	return true
}

// get calls the server for an object and counts the answer by its body, or its status.
func (w *cacheWorld) get(path string, wait time.Duration) {
	start := time.Now()
	reply := w.server.serveObject(&objectCall{
		Host:       "h.example",
		Target:     path,
		PurgeIndex: w.purgeIndex,
		WaitMs:     wait.Milliseconds(),
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowest = max(w.slowest, time.Since(start))
	switch {
	case reply.Disconnected:
		w.answers["disconnected"]++
	case reply.Status != 0:
		w.answers[fmt.Sprint(reply.Status)]++
	default:
		w.answers[string(reply.Body)]++
	}
}

// requestPermit asks the server for a permit as a data plane node does. A call that is
// granted counts as a read.
func (w *cacheWorld) requestPermit(wait time.Duration) {
	reply := w.server.permit(&permitRequest{Service: "s", WaitMs: wait.Milliseconds()})
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Granted {
		w.reads = append(w.reads, time.Now())
	} else {
		w.answers["rejected"]++
	}
}

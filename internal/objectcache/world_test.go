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

// originMode selects how the simulated origin responds.
type originMode string

const (
	modeOK       originMode = "ok"
	modeReject   originMode = "reject"   // status 503, without executing the request
	modeError    originMode = "error"    // status 500
	modeTruncate originMode = "truncate" // the response body is cut short
	modeRepeat   originMode = "repeat"   // each response is sent twice, the second time late
)

// originObject is an object at the simulated origin.
type originObject struct {
	etag  string // also the body
	label string
}

// cacheWorld is one server and a simulated origin, on simulated time.
type cacheWorld struct {
	server     *Server
	purgeIndex uint64
	calls      sync.WaitGroup // calls in the background

	mu            sync.Mutex // guards the fields below
	objects       map[string]originObject
	mode          originMode
	readDuration  time.Duration
	reads         []time.Time    // start times of the reads since the last check
	revalidations int            // number of the reads whose If-None-Match is the current ETag
	replies       map[string]int // number by body or status, since the last check
	slowestReply  time.Duration  // since the last check
	connections   []net.Conn
}

func newCacheWorld(t *testing.T) *cacheWorld {
	t.Helper()
	w := &cacheWorld{
		objects:      map[string]originObject{},
		mode:         modeOK,
		readDuration: 50 * time.Millisecond,
		replies:      map[string]int{},
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

// close removes the endpoints, gives the server time to end its work and closes the connections.
func (w *cacheWorld) close() {
	w.server.Apply(&distribution.Update{
		Endpoints: &distribution.EndpointList{Revision: distribution.Revision{Term: 9, Sequence: 9}},
	})
	time.Sleep(time.Minute)
	for _, connection := range w.connections {
		_ = connection.Close()
	}
}

// network connects the server with the origin for every address.
func (w *cacheWorld) network(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		serverSide, originSide := net.Pipe()
		w.mu.Lock()
		w.connections = append(w.connections, serverSide)
		w.mu.Unlock()
		go w.serveOrigin(originSide)
		return serverSide, nil
	}
}

// serveOrigin responds to the requests on a connection.
func (w *cacheWorld) serveOrigin(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	in := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(in)
		if err != nil || !w.writeResponse(connection, request) {
			return
		}
	}
}

// writeResponse responds to a read with the object that the origin has when the read starts. It
// returns false if the connection must be closed.
func (w *cacheWorld) writeResponse(out net.Conn, request *http.Request) bool {
	w.mu.Lock()
	w.reads = append(w.reads, time.Now())
	object, mode, readDuration := w.objects[request.URL.Path], w.mode, w.readDuration
	notModified := object.etag != "" && request.Header.Get(headerIfNoneMatch) == object.etag
	if notModified {
		w.revalidations++
	}
	w.mu.Unlock()
	if mode == modeReject {
		fmt.Fprint(out, "HTTP/1.1 503 Service Unavailable\r\nX-Comethold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	time.Sleep(readDuration)
	header := fmt.Sprintf("X-Comethold-Server-Stamp: s\r\nETag: %s\r\nX-Comethold-Object-Labels: %s\r\n",
		object.etag, object.label)
	if id := request.Header.Get("X-Comethold-Request-Id"); id != "" {
		header += "X-Comethold-Request-Id: " + id + "\r\n"
	}
	switch {
	case mode == modeError:
		fmt.Fprint(out, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case mode == modeTruncate:
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%sContent-Length: 99\r\n\r\n%s", header, object.etag)
		return false
	case object.etag == "":
		fmt.Fprint(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	case notModified:
		fmt.Fprintf(out, "HTTP/1.1 304 Not Modified\r\n%s\r\n", header)
	default:
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(object.etag), object.etag)
		fmt.Fprint(out, response)
		if mode == modeRepeat { // the second copy is delivered when the next read is sent
			go fmt.Fprint(out, response)
		}
	}
	return true
}

// get requests an object from the server and counts the reply by its body or status.
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
	w.slowestReply = max(w.slowestReply, time.Since(start))
	switch {
	case reply.Disconnected:
		w.replies["disconnected"]++
	case reply.Status != 0:
		w.replies[fmt.Sprint(reply.Status)]++
	default:
		w.replies[string(reply.Body)]++
	}
}

// requestPermit requests a permit from the server as a data plane node does. A granted permit counts
// as a read.
func (w *cacheWorld) requestPermit(wait time.Duration) {
	reply := w.server.permit(&permitRequest{Service: "s", WaitMs: wait.Milliseconds()})
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Granted {
		w.reads = append(w.reads, time.Now())
	} else {
		w.replies["rejected"]++
	}
}

package metering

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/rpc"
)

const (
	maxCallDuration   = time.Second
	leaseSafetyMargin = 150 * time.Millisecond // between the end of a call and the end of the lease
	minCallBackoff    = 150 * time.Millisecond
	maxCallBackoff    = time.Second
	maxResponseBytes  = 64 << 10
)

// Headers of a call.
const (
	leaseHolderHeader  = "X-Comethold-Duty-Holder"
	fencingTokenHeader = "X-Comethold-Fence-Number"
)

// Errors of a call. ErrReportRejected also covers calls that failed before an answer arrived.
var (
	ErrLeaseExpired   = errors.New("the lease on reporting has expired")
	ErrFenced         = errors.New("another lease holder has called the platform")
	ErrReportRejected = errors.New("the platform did not accept the report")
)

// LeaseTimer provides the remaining time of the lease. Without the lease, this node must not call
// the platform.
type LeaseTimer interface {
	// Remaining returns how long this node still holds the lease under a term.
	Remaining(term uint64) time.Duration
}

// PlatformClientOptions are the dependencies and settings of a PlatformClient.
type PlatformClientOptions struct {
	Network  rpc.Network
	Address  string // of the platform, host:port
	NodeName string
	Lease    LeaseTimer
	// LeaseDuration is how long the platform keeps its record of the last caller.
	LeaseDuration time.Duration
	// MaxCallsPerSecond limits successful calls; values below 1 count as 1. The backoff limits
	// failed calls.
	MaxCallsPerSecond float64
	StartedAt         time.Time // of this incarnation of the node
}

// PlatformClient posts reports to the platform while this node holds the lease.
type PlatformClient struct {
	options PlatformClientOptions

	mu            sync.Mutex    // guards the fields below
	lastCallAt    time.Time     // latest time at which a call of this incarnation was in flight
	lastCallToken uint64        // fencing token of that call; 0 before the first call
	nextCallAt    time.Time     // earliest time of the next call
	backoff       time.Duration // after the last call; 0 if it succeeded
}

// NewPlatformClient returns a PlatformClient that has made no call yet.
func NewPlatformClient(options PlatformClientOptions) *PlatformClient {
	return &PlatformClient{options: options}
}

// MayCall reports whether the platform may be called now under a term. A node that lost the
// lease and acquired it again, or was restarted, first waits until the platform's record of the
// calls of the former term has expired, because another node may have called in between. A call
// may arrive at the platform up to leaseSafetyMargin after it has ended here.
func (p *PlatformClient) MayCall(term uint64, now time.Time) bool {
	callRecordLifetime := p.options.LeaseDuration + leaseSafetyMargin
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.nextCallAt) || now.Sub(p.options.StartedAt) < callRecordLifetime {
		return false
	}
	calledUnderOther := p.lastCallToken != 0 && p.lastCallToken != term
	return !calledUnderOther || now.Sub(p.lastCallAt) >= callRecordLifetime
}

// Post makes one call and sets the earliest time of the next one. Failed calls are followed by
// exponential backoff with jitter. The error is or wraps ErrLeaseExpired, ErrFenced or
// ErrReportRejected.
func (p *PlatformClient) Post(ctx context.Context, report []byte, term uint64) error {
	err := p.call(ctx, report, term)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.backoff = 0
		callsPerSecond := max(1, p.options.MaxCallsPerSecond)
		p.nextCallAt = time.Now().Add(time.Duration(float64(time.Second) / callsPerSecond))
		return nil
	}
	p.backoff = min(max(2*p.backoff, minCallBackoff), maxCallBackoff)
	jitter := 0.5 + rand.Float64()
	p.nextCallAt = time.Now().Add(time.Duration(jitter * float64(p.backoff)))
	return err
}

// call posts a report on a new connection. It always ends before the lease expires.
func (p *PlatformClient) call(ctx context.Context, report []byte, term uint64) error {
	remaining := p.options.Lease.Remaining(term) - leaseSafetyMargin
	if remaining <= 0 {
		return ErrLeaseExpired
	}
	timeout := min(remaining, maxCallDuration)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var written atomic.Bool
	mayWrite := func() bool {
		if p.options.Lease.Remaining(term) <= 0 {
			return false
		}
		written.Store(true)
		p.recordCall(term)
		return true
	}
	defer func() {
		if written.Load() { // the call may have been in flight until now
			p.recordCall(term)
		}
	}()
	request, err := p.newRequest(ctx, report, term)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrReportRejected, err)
	}
	response, err := p.newHTTPClient(timeout, mayWrite).Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrReportRejected, err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
	switch {
	case response.StatusCode/100 == 2:
		return nil
	case response.StatusCode == http.StatusConflict:
		return ErrFenced
	}
	return fmt.Errorf("%w: %s", ErrReportRejected, strings.TrimSpace(response.Status))
}

// recordCall records that a call under a term may be in flight.
func (p *PlatformClient) recordCall(term uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastCallAt = time.Now()
	p.lastCallToken = term
}

func (p *PlatformClient) newRequest(ctx context.Context, report []byte, term uint64) (*http.Request, error) {
	url := "http://" + p.options.Address + "/usage"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(report))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // prevents automatic retries
	request.Header["User-Agent"] = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(leaseHolderHeader, p.options.NodeName)
	request.Header.Set(fencingTokenHeader, strconv.FormatUint(term, 10))
	return request, nil
}

// newHTTPClient returns a client for one call.
func (p *PlatformClient) newHTTPClient(timeout time.Duration, mayWrite func() bool) *http.Client {
	dial := p.options.Network(timeout, timeout)
	return &http.Client{
		CheckRedirect: rpc.NoRedirect,
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,

			MaxResponseHeaderBytes: rpc.MaxResponseHeaderBytes,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return newLeasedConn(conn, mayWrite), nil
			},
		},
	}
}

// leasedConn is a connection that rejects writes unless the lease is held.
type leasedConn struct {
	net.Conn
	mayWrite func() bool
}

// newLeasedConn sets the linger time of a TCP connection to 0. The kernel then drops unsent data
// when the connection is closed, also if the process is killed, so that the data can't arrive
// after the lease has expired.
func newLeasedConn(conn net.Conn, mayWrite func() bool) leasedConn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return leasedConn{Conn: conn, mayWrite: mayWrite}
}

func (c leasedConn) Write(b []byte) (int, error) {
	if !c.mayWrite() {
		return 0, ErrLeaseExpired
	}
	return c.Conn.Write(b)
}

package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"comethold/internal/routing"
)

const (
	callTimeout      = time.Second
	operatorInterval = 300 * time.Millisecond
	maxConfigBytes   = 1 << 20
	routeTimeoutMs   = 2000
	routeLatencyMs   = 500
	connectionLimit  = 200
)

// operator changes the configuration continuously. As operators must, it repeats a request whose result is unknown:
// unchanged, and to a random control node.
type operator struct {
	fleet               *Fleet
	acknowledgedVersion atomic.Uint64 // newest acknowledged version of the configuration
	http                *http.Client
}

func newOperator(f *Fleet) *operator {
	return &operator{fleet: f, http: &http.Client{Timeout: callTimeout}}
}

// run commits one version after another until ctx is done.
func (o *operator) run(ctx context.Context) {
	defer o.http.CloseIdleConnections()
	for ctx.Err() == nil {
		o.commitNext(ctx)
		select {
		case <-time.After(rand.N(2 * operatorInterval)):
		case <-ctx.Done():
		}
	}
}

// commitNext sends the next version until it is acknowledged. It checks rule LOST: a version based on the newest
// acknowledged one must not be rejected with 412 or 400.
func (o *operator) commitNext(ctx context.Context) {
	version := o.acknowledgedVersion.Load() + 1
	raw, err := json.Marshal(configuration(version))
	if err != nil {
		o.fleet.recorder.addViolation(ruleHarness, "%v", err)
		return
	}
	for ctx.Err() == nil {
		switch status := o.post(ctx, version, raw); status {
		case http.StatusOK:
			o.acknowledgedVersion.Store(version)
			return
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			o.fleet.recorder.addViolation(ruleLost,
				"version %d, based on the newest acknowledged version, was rejected with status %d",
				version, status)
			return
		}
		time.Sleep(operatorInterval / 2)
	}
}

// post sends a configuration once and returns the HTTP status, or 0 if there is no response.
func (o *operator) post(ctx context.Context, version uint64, raw []byte) int {
	url := "http://" + o.fleet.randomControlNode() + "/Configuration.Replace"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	request.Header.Set("X-Comethold-Base-Version", strconv.FormatUint(version-1, 10))
	response, err := o.http.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status is needed
	_ = response.Body.Close()
	return response.StatusCode
}

// checkReadBack checks rule LOST: an acknowledged version must not be lost. It reads the configuration until a
// control node answers. If none answers before ctx is done, it records a violation of rule RECOVER.
func (o *operator) checkReadBack(ctx context.Context) {
	acknowledged := o.acknowledgedVersion.Load()
	for ctx.Err() == nil {
		version, ok := o.read(ctx)
		if ok && version < acknowledged {
			o.fleet.recorder.addViolation(ruleLost, "read version %d after version %d was acknowledged", version, acknowledged)
		}
		if ok {
			return
		}
		time.Sleep(operatorInterval)
	}
	o.fleet.recorder.addViolation(ruleRecover, "no control node answered a read")
}

func (o *operator) read(ctx context.Context) (version uint64, ok bool) {
	url := "http://" + o.fleet.randomControlNode() + "/Configuration.Read"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	response, err := o.http.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxConfigBytes))
	var read routing.Configuration
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(raw, &read) != nil {
		return 0, false
	}
	return read.Version, true
}

// configuration returns the configuration of a version.
func configuration(version uint64) *routing.Configuration {
	route := func(name, path, kind string) routing.Route {
		return routing.Route{
			Name: name, Hostname: hostname, PathPrefix: path, RouteKind: kind, Service: serviceName,
			TimeoutMs: routeTimeoutMs + int64(version%10), TargetLatencyMs: routeLatencyMs, MaxAttempts: 2,
		}
	}
	return &routing.Configuration{
		Version: version,
		Routes:  []routing.Route{route("safe", safePath, routing.KindSafe), route("unsafe", unsafePath, routing.KindUnsafe)},
		Services: []routing.Service{
			{Name: serviceName, HealthPath: "/health", ConnectionLimit: connectionLimit, Protocol: "h1"},
		},
	}
}

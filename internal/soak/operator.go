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
	callTimeout     = time.Second
	operatorPause   = 300 * time.Millisecond
	maxConfigBytes  = 1 << 20
	routeTimeoutMs  = 2000
	routeLatencyMs  = 500
	connectionLimit = 200
)

// operator changes the configuration all the time. It keeps to the rules: an order without a clear answer is sent again
// as it was, to any control node.
type operator struct {
	fleet *Fleet
	acked atomic.Uint64 // newest version acknowledged
	http  *http.Client
}

func newOperator(f *Fleet) *operator {
	return &operator{fleet: f, http: &http.Client{Timeout: callTimeout}}
}

// run sends one version after another until ctx is done.
func (o *operator) run(ctx context.Context) {
	defer o.http.CloseIdleConnections()
	for ctx.Err() == nil {
		o.commitNext(ctx)
		select {
		case <-time.After(rand.N(2 * operatorPause)):
		case <-ctx.Done():
		}
	}
}

// commitNext sends the next version until it is acknowledged.
func (o *operator) commitNext(ctx context.Context) {
	version := o.acked.Load() + 1
	raw, err := json.Marshal(configuration(version))
	if err != nil {
		o.fleet.record.broken(ruleHarness, "%v", err)
		return
	}
	for ctx.Err() == nil {
		switch status := o.post(ctx, version, raw); status {
		case http.StatusOK:
			o.acked.Store(version)
			return
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			o.fleet.record.broken(ruleLost, "version %d on top of the newest acknowledged was answered %d", version, status)
			return
		}
		time.Sleep(operatorPause / 2)
	}
}

// post sends a configuration once, and returns the status; 0 without an answer.
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
	_, _ = io.Copy(io.Discard, response.Body) // the status says all
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitReadBack judges LOST: what was acknowledged is gone. It reads the configuration until a control node answers.
func (o *operator) awaitReadBack(ctx context.Context) {
	acked := o.acked.Load()
	for ctx.Err() == nil {
		version, ok := o.read(ctx)
		if ok && version < acked {
			o.fleet.record.broken(ruleLost, "version %d is read back, %d was acknowledged", version, acked)
		}
		if ok {
			return
		}
		time.Sleep(operatorPause)
	}
	o.fleet.record.broken(ruleRecover, "no control node answers a read")
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

// configuration is the configuration with a version.
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

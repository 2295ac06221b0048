package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	requestTimeout   = 3 * time.Second
	earlyCancelShare = 0.05 // of requests that the client cancels early
	unsafeShare      = 0.4
	maxThinkTime     = 30 * time.Millisecond
	maxAnswerBytes   = 1 << 16
)

// client sends requests one after another over persistent connections.
type client struct {
	fleet  *Fleet
	number int
	http   *http.Client
}

func newClient(f *Fleet, number int) *client {
	return &client{fleet: f, number: number, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		id := fmt.Sprintf("%d-%d-%d", c.fleet.plan.Seed, c.number, count)
		c.send(ctx, id, rand.Float64() < unsafeShare)
		time.Sleep(rand.N(maxThinkTime))
	}
}

// send sends one request to a random proxy and reports whether it was answered with 200.
func (c *client) send(ctx context.Context, id string, isUnsafe bool) (served bool) {
	timeout := requestTimeout
	if rand.Float64() < earlyCancelShare {
		timeout = rand.N(maxLeafDelay)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	method, path, body := http.MethodGet, safePath, ""
	if isUnsafe {
		method, path, body = http.MethodPost, unsafePath, requestBody(id)
	}
	url := "http://" + c.fleet.randomProxy() + path + id
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		c.fleet.recorder.addViolation(ruleHarness, "%v", err)
		return false
	}
	q.Host = hostname
	q.GetBody = nil // prevents the HTTP client from resending the request
	q.Header.Set(requestIDHeader, id)
	c.fleet.recorder.requestSent(id, !isUnsafe)
	response, err := c.http.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return false
	}
	c.fleet.recorder.responseReceived(id, response.StatusCode, response.Header.Get(stampHeader) != "", string(answer))
	return response.StatusCode == http.StatusOK
}

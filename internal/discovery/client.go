// Package discovery reads the platform's list of instances, which are the endpoints of services.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sort"
	"time"

	"github.com/go-playground/validator/v10"

	"comethold/internal/distribution"
	"comethold/internal/rpc"
)

// Errors of this package.
var (
	// ErrUnavailable means that the platform did not respond in time, or responded with a status other than 200 and 429.
	ErrUnavailable = errors.New("discovery: the platform is unavailable")
	// ErrRateLimited means that the platform rejected a call with status 429. List returns it only after
	// maxCallsPerPage such calls for one page.
	ErrRateLimited = errors.New("discovery: the platform rejects calls with status 429")
	// ErrMalformed means that the platform's response can't be decoded or is invalid.
	ErrMalformed = errors.New("discovery: the list of instances is malformed")
)

const (
	callTimeout  = 900 * time.Millisecond
	dialTimeout  = 600 * time.Millisecond
	ackTimeout   = 1500 * time.Millisecond
	maxPages     = 400
	maxPageBytes = 8 << 20

	maxCallsPerPage = 20                     // including retries after status 429
	rateLimitDelay  = 250 * time.Millisecond // average delay after status 429

	stateReady = "ready" // accepts requests; an instance in any other state is draining
)

// instance is one server in the platform's list.
type instance struct {
	InstanceID       string `json:"instanceId" validate:"required"`
	Service          string `json:"service" validate:"required"`
	Address          string `json:"address" validate:"required,hostname_port"`
	AvailabilityZone string `json:"availabilityZone"`
	CapacitySlots    int    `json:"capacitySlots"`
	State            string `json:"state"`
	WarmupLeftMs     int64  `json:"warmupLeftMs"`
}

func (i *instance) endpoint() distribution.Endpoint {
	return distribution.Endpoint{
		ID:        i.InstanceID,
		Service:   i.Service,
		Addr:      i.Address,
		Zone:      i.AvailabilityZone,
		Slots:     max(1, i.CapacitySlots),
		Draining:  i.State != stateReady,
		WarmingUp: i.WarmupLeftMs > 0,
	}
}

type instancePage struct {
	Instances     []instance `json:"instances" validate:"dive"`
	NextPageToken *string    `json:"nextPageToken"`
}

var validate = validator.New(validator.WithRequiredStructEnabled())

// Client reads the platform's list of instances. It is not safe for concurrent use.
type Client struct {
	address    string
	httpClient *http.Client
	limiter    *rateLimiter
}

// NewClient makes a client for the list at address. ratePerS is the platform's rate limit for all nodes together, in
// calls per second; 0 if it is unknown.
func NewClient(network rpc.Network, address string, ratePerS float64) *Client {
	transport := &http.Transport{
		DialContext:         network(dialTimeout, ackTimeout),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 1,

		MaxResponseHeaderBytes: rpc.MaxResponseHeaderBytes,
	}
	return &Client{
		address:    address,
		httpClient: &http.Client{Timeout: callTimeout, Transport: transport},
		limiter:    newRateLimiter(ratePerS),
	}
}

// List reads all pages of the list and returns the endpoints sorted by ID. It returns no partial list: if a page can't
// be read, it returns an error that wraps ErrUnavailable, ErrRateLimited or ErrMalformed.
func (c *Client) List(ctx context.Context) ([]distribution.Endpoint, error) {
	var endpoints []distribution.Endpoint
	token := ""
	for range maxPages {
		page, err := c.fetchPageAtRate(ctx, token)
		if err != nil {
			return nil, err
		}
		for i := range page.Instances {
			endpoints = append(endpoints, page.Instances[i].endpoint())
		}
		if page.NextPageToken == nil || *page.NextPageToken == "" {
			sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
			return endpoints, nil
		}
		token = *page.NextPageToken
	}
	return nil, fmt.Errorf("%w: more than the maximum number of pages", ErrMalformed)
}

// fetchPageAtRate reads a page within the rate limit. If the platform still rejects the call with status 429, it
// retries the page, since starting the list again would need more calls.
func (c *Client) fetchPageAtRate(ctx context.Context, token string) (page *instancePage, err error) {
	for range maxCallsPerPage {
		if err := c.limiter.wait(ctx); err != nil {
			return nil, err
		}
		if page, err = c.fetchPage(ctx, token); !errors.Is(err, ErrRateLimited) {
			return page, err
		}
		jitter := 0.5 + rand.Float64() // so that several nodes don't retry together
		if sleep(ctx, time.Duration(jitter*float64(rateLimitDelay))) != nil {
			return nil, err
		}
	}
	return nil, err
}

func (c *Client) fetchPage(ctx context.Context, token string) (*instancePage, error) {
	target := "http://" + c.address + "/instances"
	if token != "" {
		target += "?pageToken=" + url.QueryEscape(token)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	req.Header["User-Agent"] = nil // not sent
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }() // the result does not depend on it
	if resp.StatusCode == http.StatusTooManyRequests {
		return nil, ErrRateLimited
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return decodePage(body)
}

func decodePage(body []byte) (*instancePage, error) {
	var page instancePage
	if err := json.Unmarshal(body, &page); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := validate.Struct(&page); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return &page, nil
}

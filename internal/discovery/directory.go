// Package directory reads the platform's list of leafs.
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

	"comethold/internal/distribution"
	"comethold/internal/rpc"

	"github.com/go-playground/validator/v10"
)

// Errors of this layer.
var (
	ErrUnavailable = errors.New("directory: the platform does not answer")
	ErrRateLimited = errors.New("directory: the platform refuses more calls")
	ErrMalformed   = errors.New("directory: the list cannot be read")
)

const (
	callTimeout         = 900 * time.Millisecond
	maxPages            = 400
	rateFraction        = 0.6  // of the platform's rate that one lister uses; another may follow it
	maxRateLimitRetries = 20   // refusals in a row of one page
	rateLimitDelayS     = 0.25 // of a second, after a refusal
	maxPageBytes        = 8 << 20
)

type instance struct {
	InstanceID       string `json:"instanceId" validate:"required"`
	Service          string `json:"service" validate:"required"`
	Address          string `json:"address" validate:"required,hostname_port"`
	AvailabilityZone string `json:"availabilityZone"`
	CapacitySlots    int    `json:"capacitySlots"`
	State            string `json:"state"`
	WarmupLeftMs     int64  `json:"warmupLeftMs"`
}

type instancePage struct {
	Instances     []instance `json:"instances" validate:"dive"`
	NextPageToken *string    `json:"nextPageToken"`
}

var validate = validator.New(validator.WithRequiredStructEnabled())

// Client calls the platform's list. It is not for use by several at a time.
type Client struct {
	address     string
	httpClient  *http.Client
	recentCalls []time.Time // calls of the last second, as many as its share of the rate
	oldestCall  int
}

// NewClient makes a caller of the list at addr, which takes so many calls a second from
// all nodes; 0 if that is not known.
func NewClient(n rpc.Network, addr string, ratePerS float64) *Client {
	most := 0
	if ratePerS > 0 {
		most = max(1, int(ratePerS*rateFraction))
	}
	return &Client{address: addr, recentCalls: make([]time.Time, most), httpClient: &http.Client{Timeout: callTimeout,
		Transport: &http.Transport{DialContext: n(600*time.Millisecond, 1500*time.Millisecond), DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

// List reads the whole list, page by page. It is all or an error.
func (p *Client) List(ctx context.Context) ([]distribution.Endpoint, error) {
	var out []distribution.Endpoint
	token := ""
	for range maxPages {
		pg, err := p.fetchPageAtRate(ctx, token)
		if err != nil {
			return nil, err
		}
		for _, i := range pg.Instances {
			out = append(out, distribution.Endpoint{ID: i.InstanceID, Service: i.Service, Addr: i.Address, Zone: i.AvailabilityZone,
				Slots: max(1, i.CapacitySlots), Draining: i.State != "ready", WarmingUp: i.WarmupLeftMs > 0})
		}
		if pg.NextPageToken == nil || *pg.NextPageToken == "" {
			sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
			return out, nil
		}
		token = *pg.NextPageToken
	}
	return nil, fmt.Errorf("%w: no last page", ErrMalformed)
}

// fetchPageAtRate reads a page when the rate allows it. One that is refused all the same is asked
// for again: to begin the list anew would only add calls.
func (p *Client) fetchPageAtRate(ctx context.Context, token string) (pg *instancePage, err error) {
	for range maxRateLimitRetries {
		if len(p.recentCalls) > 0 {
			if err := sleep(ctx, time.Until(p.recentCalls[p.oldestCall].Add(time.Second))); err != nil {
				return nil, err
			}
			p.recentCalls[p.oldestCall] = time.Now()
			p.oldestCall = (p.oldestCall + 1) % len(p.recentCalls)
		}
		if pg, err = p.fetchPage(ctx, token); !errors.Is(err, ErrRateLimited) {
			return pg, err
		}
		rest := time.Duration((0.5 + rand.Float64()) * rateLimitDelayS * float64(time.Second))
		if ended := sleep(ctx, rest); ended != nil {
			return nil, err
		}
	}
	return nil, err
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %v", ErrUnavailable, ctx.Err())
	}
}

func (p *Client) fetchPage(ctx context.Context, token string) (*instancePage, error) {
	u := "http://" + p.address + "/instances"
	if token != "" {
		u += "?pageToken=" + url.QueryEscape(token)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	req.Header["User-Agent"] = nil
	resp, err := p.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		return nil, ErrRateLimited
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	var pg instancePage
	if err := json.Unmarshal(body, &pg); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if err := validate.Struct(&pg); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return &pg, nil
}

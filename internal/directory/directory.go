// Package directory reads the platform's list of leafs.
package directory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"time"

	"comethold/internal/feed"
	"comethold/internal/wire"

	"github.com/go-playground/validator/v10"
)

// Errors of this layer.
var (
	ErrPlatform = errors.New("directory: the platform does not answer")
	ErrTooFast  = errors.New("directory: the platform refuses more calls")
	ErrGarbled  = errors.New("directory: the list cannot be read")
)

const (
	callTimeout = 900 * time.Millisecond
	maxPages    = 400
	maxPage     = 8 << 20
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

type page struct {
	Instances     []instance `json:"instances" validate:"dive"`
	NextPageToken *string    `json:"nextPageToken"`
}

var check = validator.New(validator.WithRequiredStructEnabled())

// Platform calls the platform's list.
type Platform struct {
	addr string
	http *http.Client
}

// NewPlatform makes a caller of the list at addr.
func NewPlatform(n wire.Net, addr string) *Platform {
	return &Platform{addr: addr, http: &http.Client{Timeout: callTimeout,
		Transport: &http.Transport{DialContext: n(600*time.Millisecond, 1500*time.Millisecond), DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

// List reads the whole list, page by page. It is all or an error.
func (p *Platform) List(ctx context.Context) ([]feed.Leaf, error) {
	var out []feed.Leaf
	token := ""
	for range maxPages {
		pg, err := p.page(ctx, token)
		if err != nil {
			return nil, err
		}
		for _, i := range pg.Instances {
			out = append(out, feed.Leaf{ID: i.InstanceID, Service: i.Service, Addr: i.Address, Zone: i.AvailabilityZone,
				Slots: max(1, i.CapacitySlots), Draining: i.State != "ready", Cold: i.WarmupLeftMs > 0})
		}
		if pg.NextPageToken == nil || *pg.NextPageToken == "" {
			sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
			return out, nil
		}
		token = *pg.NextPageToken
	}
	return nil, fmt.Errorf("%w: no last page", ErrGarbled)
}

func (p *Platform) page(ctx context.Context, token string) (*page, error) {
	u := "http://" + p.addr + "/instances"
	if token != "" {
		u += "?pageToken=" + url.QueryEscape(token)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrPlatform, err)
	}
	req.Header["User-Agent"] = nil
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrPlatform, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		return nil, ErrTooFast
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrPlatform, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPage))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrPlatform, err)
	}
	var pg page
	if err := json.Unmarshal(body, &pg); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrGarbled, err)
	}
	if err := check.Struct(&pg); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrGarbled, err)
	}
	return &pg, nil
}

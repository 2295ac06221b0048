// Package directory reads the platform's list of leafs.
package directory

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
	rateShare   = 0.6  // of the platform's rate that one lister uses; another may follow it
	tooFastMost = 20   // refusals in a row of one page
	tooFastRest = 0.25 // of a second, after a refusal
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

// Platform calls the platform's list. It is not for use by several at a time.
type Platform struct {
	addr   string
	http   *http.Client
	recent []time.Time // calls of the last second, as many as its share of the rate
	next   int
}

// NewPlatform makes a caller of the list at addr, which takes so many calls a second from
// all nodes; 0 if that is not known.
func NewPlatform(n wire.Net, addr string, ratePerS float64) *Platform {
	most := 0
	if ratePerS > 0 {
		most = max(1, int(ratePerS*rateShare))
	}
	return &Platform{addr: addr, recent: make([]time.Time, most), http: &http.Client{Timeout: callTimeout,
		Transport: &http.Transport{DialContext: n(600*time.Millisecond, 1500*time.Millisecond), DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

// List reads the whole list, page by page. It is all or an error.
func (p *Platform) List(ctx context.Context) ([]feed.Leaf, error) {
	var out []feed.Leaf
	token := ""
	for range maxPages {
		pg, err := p.turn(ctx, token)
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

// turn reads a page when the rate allows it. One that is refused all the same is asked
// for again: to begin the list anew would only add calls.
func (p *Platform) turn(ctx context.Context, token string) (pg *page, err error) {
	for range tooFastMost {
		if len(p.recent) > 0 {
			if err := sleep(ctx, time.Until(p.recent[p.next].Add(time.Second))); err != nil {
				return nil, err
			}
			p.recent[p.next] = time.Now()
			p.next = (p.next + 1) % len(p.recent)
		}
		if pg, err = p.page(ctx, token); !errors.Is(err, ErrTooFast) {
			return pg, err
		}
		rest := time.Duration((0.5 + rand.Float64()) * tooFastRest * float64(time.Second))
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
		return fmt.Errorf("%w: %v", ErrPlatform, ctx.Err())
	}
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

// Package numbering reads the operator's configuration and compiles it into an
// immutable plan that finds the route of a request.
package routing

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Errors of this layer.
var (
	ErrMalformed = errors.New("numbering: the configuration cannot be read")
	ErrInvalid   = errors.New("numbering: the configuration is invalid")
)

// The kinds of route.
const (
	KindSafe      = "safe"
	KindUnsafe    = "unsafe"
	KindCacheable = "cacheable"
)

// Configuration is one whole configuration of the operator.
type Configuration struct {
	Version  uint64    `json:"version" validate:"required,max=4611686018427387904"`
	Routes   []Route   `json:"routes" validate:"dive"`
	Services []Service `json:"services" validate:"unique=Name,dive"`
	// Tenants, if there are any, are who may send requests.
	Tenants []Tenant `json:"tenants,omitempty" validate:"dive"`
	Limits  Limits   `json:"limits"`
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service string `json:"service" validate:"required"`
	Weight  int64  `json:"weight" validate:"min=0,max=1000000000"`
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name              string            `json:"name" validate:"required"`
	Hostname          string            `json:"hostname" validate:"required"`
	PathPrefix        string            `json:"pathPrefix" validate:"required,startswith=/,endswith=/"`
	RouteKind         string            `json:"routeKind" validate:"oneof=safe unsafe cacheable"`
	TimeoutMs         int64             `json:"timeoutMs" validate:"min=1,max=86400000"`
	TargetLatencyMs   int64             `json:"targetLatencyMs" validate:"min=0"`
	Priority          int64             `json:"priority" validate:"min=0"`
	MaxAttempts       int64             `json:"maxAttempts" validate:"min=0"`
	CacheTTLSeconds   float64           `json:"cacheTtlS,omitempty" validate:"min=0,max=31536000"`
	Service           string            `json:"service,omitempty"`
	WeightedServices  []WeightedService `json:"weightedServices,omitempty" validate:"dive"`
	FanoutServices    []string          `json:"fanoutServices,omitempty" validate:"unique,dive,required"`
	ResultCount       int64             `json:"resultCount,omitempty" validate:"min=0,max=10000000"`
	MinimumShardShare float64           `json:"minimumShardShare,omitempty" validate:"min=0,max=1"`
	// LookupClass, if given, is what kind of lookups estimates keep apart.
	LookupClass string `json:"lookupClass,omitempty" validate:"omitempty,oneof=urgent bulk archive"`
	// Public: requests need no key.
	Public bool `json:"public,omitempty"`
}

// Tenant is one who may send requests, known by any of its keys. Its rate and burst
// bound what all nodes together pass on for it; a rate of 0 sets no bound.
type Tenant struct {
	Name          string   `json:"name" validate:"required"`
	APIKeys       []string `json:"apiKeys"`
	RatePerSecond float64  `json:"ratePerS,omitempty" validate:"min=0,max=1000000000"`
	BurstSize     float64  `json:"burstSize,omitempty" validate:"min=0,max=1000000000"`
	// Priority, if given, stands before that of the route.
	Priority *int64 `json:"priority,omitempty" validate:"omitempty,min=0"`
}

// CacheTTL is how long an answer on the route may stay kept.
func (r *Route) CacheTTL() time.Duration {
	return time.Duration(r.CacheTTLSeconds * float64(time.Second))
}

// Idempotent reports whether a request on the route may run more than once.
func (r *Route) Idempotent() bool { return r.RouteKind != KindUnsafe }

// Service is a set of leafs that answer alike.
type Service struct {
	Name            string `json:"name" validate:"required"`
	HealthPath      string `json:"healthPath" validate:"omitempty,startswith=/"`
	ConnectionLimit int    `json:"connectionLimit" validate:"min=0"`
	// RatePerSecond bounds the requests that all leafs of the service together get;
	// 0 sets no bound.
	RatePerSecond float64 `json:"ratePerS,omitempty" validate:"min=0"`
	Protocol      string  `json:"protocol" validate:"omitempty,oneof=h1"`
	TLSEnabled    bool    `json:"tlsEnabled" validate:"eq=false"`
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes  int64 `json:"maxHeaderBytes" validate:"min=0"`
	MaxBodyBytes    int64 `json:"maxBodyBytes" validate:"min=0"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs" validate:"min=0"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs" validate:"min=0"`
}

var structValidator = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.SplitN(f.Tag.Get("json"), ",", 2)[0]
	})
	return v
}()

// Decode reads a configuration that has been checked before.
func Decode(raw []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return c, nil
}

// Parse decodes and checks a configuration. The error names every fault found.
func Parse(raw []byte) (*Configuration, error) {
	c, err := Decode(raw)
	if err != nil {
		return nil, err
	}
	if faults := c.violations(); len(faults) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrInvalid, strings.Join(faults, "; "))
	}
	return c, nil
}

const maxViolations = 50

// Violations says in words what struct tags found, a line a field.
func Violations(err error) []string {
	var ve validator.ValidationErrors
	if !errors.As(err, &ve) {
		return []string{err.Error()}
	}
	var out []string
	for _, f := range ve {
		name := f.Namespace()
		if i := strings.IndexByte(name, '.'); i >= 0 {
			name = name[i+1:]
		}
		rule := f.Tag()
		if f.Param() != "" {
			rule += "=" + f.Param()
		}
		out = append(out, fmt.Sprintf("%s: %v breaks %q", name, f.Value(), rule))
	}
	return out
}

func (c *Configuration) violations() []string {
	var out []string
	if err := structValidator.Struct(c); err != nil {
		out = Violations(err)
	}
	known := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		known[s.Name] = true
	}
	taken := make(map[string]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		at := fmt.Sprintf("routes[%d]", i)
		key := strings.ToLower(r.Hostname) + " " + r.PathPrefix
		if other, ok := taken[key]; ok {
			out = append(out, fmt.Sprintf("%s: %q has the host and prefix of %q", at, r.Name, other))
		}
		taken[key] = r.Name
		targets, total := 0, int64(0)
		for _, s := range r.ServiceNames() {
			if !known[s] {
				out = append(out, fmt.Sprintf("%s: unknown service %q", at, s))
			}
		}
		if r.Service != "" {
			targets++
		}
		if len(r.WeightedServices) > 0 {
			targets++
			for _, w := range r.WeightedServices {
				total += w.Weight
			}
			if total <= 0 {
				out = append(out, fmt.Sprintf("%s.weightedServices: the weights add up to 0", at))
			}
		}
		if len(r.FanoutServices) > 0 {
			targets++
			if r.RouteKind != KindSafe {
				out = append(out, fmt.Sprintf("%s.routeKind: a gathered route must be safe", at))
			}
		}
		if targets != 1 {
			out = append(out, fmt.Sprintf("%s: needs exactly one of service, weightedServices and fanoutServices", at))
		}
		if len(out) > maxViolations {
			break
		}
	}
	return append(out, tenantViolations(c.Tenants)...)
}

// tenantViolations never shows a key: faults are logged.
func tenantViolations(tenants []Tenant) (out []string) {
	names, holders := map[string]bool{}, map[string]string{}
	for i, t := range tenants {
		if names[t.Name] {
			out = append(out, fmt.Sprintf("tenants[%d].name: %q stands there twice", i, t.Name))
		}
		names[t.Name] = true
		for j, k := range t.APIKeys {
			if other, ok := holders[k]; ok && other != t.Name {
				out = append(out, fmt.Sprintf("tenants[%d].apiKeys[%d]: %q shares it with %q", i, j, t.Name, other))
			}
			holders[k] = t.Name
		}
		if len(out) > maxViolations {
			break
		}
	}
	return out
}

// ServiceNames lists every service that the route may use.
func (r *Route) ServiceNames() []string {
	switch {
	case len(r.FanoutServices) > 0:
		return r.FanoutServices
	case len(r.WeightedServices) > 0:
		out := make([]string, 0, len(r.WeightedServices))
		for _, w := range r.WeightedServices {
			out = append(out, w.Service)
		}
		return out
	case r.Service != "":
		return []string{r.Service}
	}
	return nil
}

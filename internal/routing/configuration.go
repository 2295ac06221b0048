package routing

import "time"

// The kinds of route.
const (
	KindSafe      = "safe"      // requests may be executed more than once
	KindUnsafe    = "unsafe"    // requests must not be executed twice
	KindCacheable = "cacheable" // responses may be cached and served to other clients
)

// Configuration is a complete configuration, as the operator supplies it.
type Configuration struct {
	Version  uint64    `json:"version" validate:"required,max=4611686018427387904"`
	Routes   []Route   `json:"routes" validate:"dive"`
	Services []Service `json:"services" validate:"unique=Name,dive"`
	// Tenants are the only senders whose requests are accepted, except on public routes. If
	// the list is empty, requests need no API key.
	Tenants []Tenant `json:"tenants,omitempty" validate:"dive"`
	Limits  Limits   `json:"limits"`
}

// WeightedService is one of the services among which a route splits its requests by weight.
type WeightedService struct {
	Service string `json:"service" validate:"required"`
	Weight  int64  `json:"weight" validate:"min=0,max=1000000000"`
}

// Route forwards the requests for a host and path prefix: to one service, to one of
// several services chosen by weight, or to all services of a fan-out.
type Route struct {
	Name             string            `json:"name" validate:"required"`
	Hostname         string            `json:"hostname" validate:"required"`
	PathPrefix       string            `json:"pathPrefix" validate:"required,startswith=/,endswith=/"`
	RouteKind        string            `json:"routeKind" validate:"oneof=safe unsafe cacheable"`
	TimeoutMs        int64             `json:"timeoutMs" validate:"min=1,max=86400000"`
	TargetLatencyMs  int64             `json:"targetLatencyMs" validate:"min=0"`
	Priority         int64             `json:"priority" validate:"min=0"`
	MaxAttempts      int64             `json:"maxAttempts" validate:"min=0"`
	CacheTTLSeconds  float64           `json:"cacheTtlS,omitempty" validate:"min=0,max=31536000"`
	Service          string            `json:"service,omitempty"`
	WeightedServices []WeightedService `json:"weightedServices,omitempty" validate:"dive"`
	FanoutServices   []string          `json:"fanoutServices,omitempty" validate:"unique,dive,required"`
	// ResultCount is the maximum number of records in the merged response of a fan-out.
	ResultCount int64 `json:"resultCount,omitempty" validate:"min=0,max=10000000"`
	// MinimumShardShare is the least share of a fan-out's services that must succeed for the
	// request to succeed, from 0 to 1.
	MinimumShardShare float64 `json:"minimumShardShare,omitempty" validate:"min=0,max=1"`
	// LookupClass is the class of the route's lookups. Latencies are estimated separately for
	// each class, and not at all if it is empty.
	LookupClass string `json:"lookupClass,omitempty" validate:"omitempty,oneof=urgent bulk archive"`
	// Public is true if requests without an API key are accepted.
	Public bool `json:"public,omitempty"`
}

// CacheTTL returns how long a response on the route may be cached.
func (r *Route) CacheTTL() time.Duration {
	return time.Duration(r.CacheTTLSeconds * float64(time.Second))
}

// Idempotent reports whether a request on the route may be executed more than once.
func (r *Route) Idempotent() bool { return r.RouteKind != KindUnsafe }

// IsFanOut reports whether a request on the route goes to several services at once.
func (r *Route) IsFanOut() bool { return len(r.FanoutServices) > 0 }

// ServiceNames returns the names of all services that the route may use.
func (r *Route) ServiceNames() []string {
	switch {
	case r.IsFanOut():
		return r.FanoutServices
	case len(r.WeightedServices) > 0:
		names := make([]string, 0, len(r.WeightedServices))
		for _, weighted := range r.WeightedServices {
			names = append(names, weighted.Service)
		}
		return names
	case r.Service != "":
		return []string{r.Service}
	}
	return nil
}

// Tenant is a customer that may send requests. Each of its API keys identifies it.
type Tenant struct {
	Name    string   `json:"name" validate:"required"`
	APIKeys []string `json:"apiKeys"`
	// RatePerSecond and BurstSize limit the requests that all nodes together forward for
	// the tenant. A rate of 0 sets no limit.
	RatePerSecond float64 `json:"ratePerS,omitempty" validate:"min=0,max=1000000000"`
	BurstSize     float64 `json:"burstSize,omitempty" validate:"min=0,max=1000000000"`
	// Priority replaces the priority of the route, unless it is nil.
	Priority *int64 `json:"priority,omitempty" validate:"omitempty,min=0"`
}

// Service is a set of leaf servers with the same content.
type Service struct {
	Name string `json:"name" validate:"required"`
	// HealthPath is the path of health checks. If it is empty, there are no health checks.
	HealthPath string `json:"healthPath" validate:"omitempty,startswith=/"`
	// ConnectionLimit is the maximum number of connections to each leaf from all nodes
	// together; 0 sets no limit.
	ConnectionLimit int `json:"connectionLimit" validate:"min=0"`
	// RatePerSecond limits the requests that all leafs of the service together receive;
	// 0 sets no limit.
	RatePerSecond float64 `json:"ratePerS,omitempty" validate:"min=0"`
	Protocol      string  `json:"protocol" validate:"omitempty,oneof=h1"`
	TLSEnabled    bool    `json:"tlsEnabled" validate:"eq=false"`
}

// Limits are the limits on the size of clients' requests and on the time that clients may
// take. A limit of 0 means the default.
type Limits struct {
	MaxHeaderBytes  int64 `json:"maxHeaderBytes" validate:"min=0"`
	MaxBodyBytes    int64 `json:"maxBodyBytes" validate:"min=0"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs" validate:"min=0"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs" validate:"min=0"`
}

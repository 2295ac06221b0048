package routing

import (
	"net"
	"sort"
	"strings"
	"time"
)

// shareTolerance allows for rounding errors in comparisons of shares of shards.
const shareTolerance = 1e-9

// RouteTable is a compiled configuration. It is immutable. A request uses one table
// throughout, even if a newer configuration takes effect meanwhile.
type RouteTable struct {
	Version  uint64
	Config   *Configuration
	Limits   Limits
	Services map[string]*Service

	virtualHosts  map[string]*virtualHost // by host name in lower case
	tenantsByKey  map[string]*Tenant      // nil if requests need no key
	tenantsByName map[string]*Tenant
}

// CompiledRoute is one route of a table.
type CompiledRoute struct {
	Route
	Timeout       time.Duration
	TargetLatency time.Duration // 0 if there is no target
	// AttemptLimit is the maximum number of attempts of one request that may reach the
	// endpoints of each service. It is at least 1.
	AttemptLimit int
	// RequiredShards is the number of shards that must succeed for a fan-out to succeed.
	RequiredShards int

	weightSum int64 // of the weighted services
}

// virtualHost holds the routes of one host.
type virtualHost struct {
	routesByPrefix map[string]*CompiledRoute
	prefixLengths  []int // distinct, longest first
}

// Compile returns the table of a configuration, which must be valid.
func Compile(configuration *Configuration) *RouteTable {
	table := &RouteTable{
		Version:      configuration.Version,
		Config:       configuration,
		Limits:       configuration.Limits,
		Services:     make(map[string]*Service, len(configuration.Services)),
		virtualHosts: map[string]*virtualHost{},
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		table.Services[service.Name] = service
	}
	table.addTenants(configuration.Tenants)
	for i := range configuration.Routes {
		table.addRoute(&configuration.Routes[i])
	}
	for _, host := range table.virtualHosts {
		host.sortPrefixes()
	}
	return table
}

func (t *RouteTable) addTenants(tenants []Tenant) {
	if len(tenants) == 0 {
		return
	}
	t.tenantsByKey = make(map[string]*Tenant, len(tenants))
	t.tenantsByName = make(map[string]*Tenant, len(tenants))
	for i := range tenants {
		tenant := &tenants[i]
		t.tenantsByName[tenant.Name] = tenant
		for _, key := range tenant.APIKeys {
			t.tenantsByKey[key] = tenant
		}
	}
	delete(t.tenantsByKey, "") // an empty key identifies no tenant
}

func (t *RouteTable) addRoute(route *Route) {
	name := strings.ToLower(route.Hostname)
	host := t.virtualHosts[name]
	if host == nil {
		host = &virtualHost{routesByPrefix: map[string]*CompiledRoute{}}
		t.virtualHosts[name] = host
	}
	host.routesByPrefix[route.PathPrefix] = compileRoute(route)
}

func compileRoute(route *Route) *CompiledRoute {
	compiled := &CompiledRoute{
		Route:         *route,
		Timeout:       time.Duration(route.TimeoutMs) * time.Millisecond,
		TargetLatency: time.Duration(route.TargetLatencyMs) * time.Millisecond,
		AttemptLimit:  max(1, int(route.MaxAttempts)),
		weightSum:     route.totalWeight(),
	}
	if route.IsFanOut() {
		compiled.RequiredShards = requiredShards(len(route.FanoutServices), route.MinimumShardShare)
	}
	return compiled
}

// requiredShards returns the smallest number of shards, at least 1, whose share of all
// shards is not below share.
func requiredShards(shards int, share float64) int {
	required := 1
	for required < shards && float64(required)/float64(shards) < share-shareTolerance {
		required++
	}
	return required
}

func (h *virtualHost) sortPrefixes() {
	seen := map[int]bool{}
	for prefix := range h.routesByPrefix {
		if !seen[len(prefix)] {
			seen[len(prefix)] = true
			h.prefixLengths = append(h.prefixLengths, len(prefix))
		}
	}
	sort.Sort(sort.Reverse(sort.IntSlice(h.prefixLengths)))
}

// Match returns the route whose path prefix is the longest that matches path on the host of
// a Host header, or nil. It ignores the case of the host and a port.
func (t *RouteTable) Match(hostHeader, path string) *CompiledRoute {
	host := t.findHost(hostHeader)
	if host == nil {
		return nil
	}
	for _, length := range host.prefixLengths {
		if length > len(path) {
			continue
		}
		if route := host.routesByPrefix[path[:length]]; route != nil {
			return route
		}
	}
	return nil
}

func (t *RouteTable) findHost(hostHeader string) *virtualHost {
	name := hostHeader
	if strings.IndexByte(name, ':') >= 0 {
		if host, _, err := net.SplitHostPort(name); err == nil {
			name = host
		}
	}
	if host := t.virtualHosts[name]; host != nil { // most names are already in lower case
		return host
	}
	return t.virtualHosts[strings.ToLower(name)]
}

// PickService returns the service for one request on a route without fan-out. point
// is a random number in [0,1).
func (r *CompiledRoute) PickService(point float64) string {
	if len(r.WeightedServices) == 0 {
		return r.Service
	}
	remaining := int64(point * float64(r.weightSum))
	for _, weighted := range r.WeightedServices {
		remaining -= weighted.Weight
		if remaining < 0 {
			return weighted.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// ForEachRoute calls visit for every route.
func (t *RouteTable) ForEachRoute(visit func(*CompiledRoute)) {
	for _, host := range t.virtualHosts {
		for _, route := range host.routesByPrefix {
			visit(route)
		}
	}
}

package routing

import (
	"net"
	"sort"
	"strings"
	"time"
)

// RouteTable is a compiled configuration. It never changes; a request keeps the plan
// it started with.
type RouteTable struct {
	Version       uint64
	Config        *Configuration
	Limits        Limits
	Services      map[string]*Service
	virtualHosts  map[string]*virtualHost
	tenantsByKey  map[string]*Tenant // by key
	tenantsByName map[string]*Tenant // by name
}

// CompiledRoute is one compiled route.
type CompiledRoute struct {
	Route
	Timeout        time.Duration
	TargetLatency  time.Duration
	AttemptLimit   int
	RequiredShards int // parts that a gathered success needs
	totalWeight    int64
}

type virtualHost struct {
	routesByPrefix map[string]*CompiledRoute
	prefixLengths  []int // of the prefixes, longest first
}

// Compile makes a plan of a valid configuration.
func Compile(c *Configuration) *RouteTable {
	p := &RouteTable{Version: c.Version, Config: c, Limits: c.Limits, Services: make(map[string]*Service, len(c.Services)), virtualHosts: map[string]*virtualHost{}}
	for i := range c.Services {
		p.Services[c.Services[i].Name] = &c.Services[i]
	}
	if len(c.Tenants) > 0 {
		p.tenantsByKey = make(map[string]*Tenant, len(c.Tenants))
		p.tenantsByName = make(map[string]*Tenant, len(c.Tenants))
		for i := range c.Tenants {
			p.tenantsByName[c.Tenants[i].Name] = &c.Tenants[i]
			for _, k := range c.Tenants[i].APIKeys {
				p.tenantsByKey[k] = &c.Tenants[i]
			}
		}
		delete(p.tenantsByKey, "")
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		l := &CompiledRoute{Route: *r, Timeout: time.Duration(r.TimeoutMs) * time.Millisecond,
			TargetLatency: time.Duration(r.TargetLatencyMs) * time.Millisecond, AttemptLimit: int(r.MaxAttempts)}
		if l.AttemptLimit <= 0 {
			l.AttemptLimit = 1
		}
		if n := len(r.FanoutServices); n > 0 {
			l.RequiredShards = requiredShards(n, r.MinimumShardShare)
		}
		for _, w := range r.WeightedServices {
			l.totalWeight += w.Weight
		}
		name := strings.ToLower(r.Hostname)
		h := p.virtualHosts[name]
		if h == nil {
			h = &virtualHost{routesByPrefix: map[string]*CompiledRoute{}}
			p.virtualHosts[name] = h
		}
		h.routesByPrefix[r.PathPrefix] = l
	}
	for _, h := range p.virtualHosts {
		seen := map[int]bool{}
		for prefix := range h.routesByPrefix {
			if !seen[len(prefix)] {
				seen[len(prefix)] = true
				h.prefixLengths = append(h.prefixLengths, len(prefix))
			}
		}
		sort.Sort(sort.Reverse(sort.IntSlice(h.prefixLengths)))
	}
	return p
}

// requiredShards is the smallest number of n parts whose share is at least share.
func requiredShards(n int, share float64) int {
	k := 1
	for k < n && float64(k)/float64(n) < share-1e-9 {
		k++
	}
	return k
}

// Match returns the line of the longest prefix of the path within the host.
func (p *RouteTable) Match(hostHeader, path string) *CompiledRoute {
	name := hostHeader
	if strings.IndexByte(name, ':') >= 0 {
		if h, _, err := net.SplitHostPort(name); err == nil {
			name = h
		}
	}
	h := p.virtualHosts[name]
	if h == nil {
		if h = p.virtualHosts[strings.ToLower(name)]; h == nil {
			return nil
		}
	}
	for _, n := range h.prefixLengths {
		if n <= len(path) {
			if l := h.routesByPrefix[path[:n]]; l != nil {
				return l
			}
		}
	}
	return nil
}

// apiKeyScheme is the scheme of the credentials that hold a key.
const apiKeyScheme = "Token"

// Authenticate finds the tenant whose key a request bears in its credentials, which are the
// values of its Authorization header. known is false where the request may not run:
// it lacks a key that it needs, or its key is no tenant's. own says that the
// credentials hold a key of this system, which no leaf may see.
func (p *RouteTable) Authenticate(l *CompiledRoute, credentials []string) (t *Tenant, own, known bool) {
	if p.tenantsByKey == nil {
		return nil, false, true
	}
	if len(credentials) == 0 {
		return nil, false, l.Public
	}
	scheme, key, _ := strings.Cut(credentials[0], " ")
	if len(credentials) > 1 || !strings.EqualFold(scheme, apiKeyScheme) {
		return nil, !l.Public, l.Public // what a leaf of a public route makes of it is its own
	}
	t = p.tenantsByKey[strings.TrimSpace(key)]
	return t, true, t != nil
}

// RequiresKey reports whether requests need a key.
func (p *RouteTable) RequiresKey() bool { return p.tenantsByKey != nil }

// Tenant returns a tenant by name, or nil.
func (p *RouteTable) Tenant(name string) *Tenant { return p.tenantsByName[name] }

// PickService returns the service for one request to a line that is not gathered; u
// is a number in [0,1).
func (l *CompiledRoute) PickService(u float64) string {
	if len(l.WeightedServices) == 0 {
		return l.Service
	}
	at := int64(u * float64(l.totalWeight))
	for _, w := range l.WeightedServices {
		if at -= w.Weight; at < 0 {
			return w.Service
		}
	}
	return l.WeightedServices[len(l.WeightedServices)-1].Service
}

// ForEachRoute calls f for every line.
func (p *RouteTable) ForEachRoute(f func(*CompiledRoute)) {
	for _, h := range p.virtualHosts {
		for _, l := range h.routesByPrefix {
			f(l)
		}
	}
}

package numbering

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Plan is a compiled configuration. It never changes; a request keeps the plan
// it started with.
type Plan struct {
	Version  uint64
	Config   *Configuration
	Limits   Limits
	Services map[string]*Service
	hosts    map[string]*host
	holders  map[string]*Tenant // by key
	tenants  map[string]*Tenant // by name
}

// Line is one compiled route.
type Line struct {
	Route
	Timeout time.Duration
	Target  time.Duration
	Tries   int
	Least   int // parts that a gathered success needs
	weights int64
}

type host struct {
	lines   map[string]*Line
	lengths []int // of the prefixes, longest first
}

// Compile makes a plan of a valid configuration.
func Compile(c *Configuration) *Plan {
	p := &Plan{Version: c.Version, Config: c, Limits: c.Limits, Services: make(map[string]*Service, len(c.Services)), hosts: map[string]*host{}}
	for i := range c.Services {
		p.Services[c.Services[i].Name] = &c.Services[i]
	}
	if len(c.Tenants) > 0 {
		p.holders = make(map[string]*Tenant, len(c.Tenants))
		p.tenants = make(map[string]*Tenant, len(c.Tenants))
		for i := range c.Tenants {
			p.tenants[c.Tenants[i].Name] = &c.Tenants[i]
			for _, k := range c.Tenants[i].APIKeys {
				p.holders[k] = &c.Tenants[i]
			}
		}
		delete(p.holders, "")
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		l := &Line{Route: *r, Timeout: time.Duration(r.TimeoutMs) * time.Millisecond,
			Target: time.Duration(r.TargetLatencyMs) * time.Millisecond, Tries: int(r.MaxAttempts)}
		if l.Tries <= 0 {
			l.Tries = 1
		}
		if n := len(r.FanoutServices); n > 0 {
			l.Least = leastParts(n, r.MinimumShardShare)
		}
		for _, w := range r.WeightedServices {
			l.weights += w.Weight
		}
		name := strings.ToLower(r.Hostname)
		h := p.hosts[name]
		if h == nil {
			h = &host{lines: map[string]*Line{}}
			p.hosts[name] = h
		}
		h.lines[r.PathPrefix] = l
	}
	for _, h := range p.hosts {
		seen := map[int]bool{}
		for prefix := range h.lines {
			if !seen[len(prefix)] {
				seen[len(prefix)] = true
				h.lengths = append(h.lengths, len(prefix))
			}
		}
		sort.Sort(sort.Reverse(sort.IntSlice(h.lengths)))
	}
	return p
}

// leastParts is the smallest number of n parts whose share is at least share.
func leastParts(n int, share float64) int {
	k := 1
	for k < n && float64(k)/float64(n) < share-1e-9 {
		k++
	}
	return k
}

// Find returns the line of the longest prefix of the path within the host.
func (p *Plan) Find(hostHeader, path string) *Line {
	name := hostHeader
	if strings.IndexByte(name, ':') >= 0 {
		if h, _, err := net.SplitHostPort(name); err == nil {
			name = h
		}
	}
	h := p.hosts[name]
	if h == nil {
		if h = p.hosts[strings.ToLower(name)]; h == nil {
			return nil
		}
	}
	for _, n := range h.lengths {
		if n <= len(path) {
			if l := h.lines[path[:n]]; l != nil {
				return l
			}
		}
	}
	return nil
}

// keyScheme is the scheme of the credentials that hold a key.
const keyScheme = "Token"

// Holder finds the tenant whose key a request bears in its credentials, which are the
// values of its Authorization header. known is false where the request may not run:
// it lacks a key that it needs, or its key is no tenant's. own says that the
// credentials hold a key of this system, which no leaf may see.
func (p *Plan) Holder(l *Line, credentials []string) (t *Tenant, own, known bool) {
	if p.holders == nil {
		return nil, false, true
	}
	if len(credentials) == 0 {
		return nil, false, l.Public
	}
	scheme, key, _ := strings.Cut(credentials[0], " ")
	if len(credentials) > 1 || !strings.EqualFold(scheme, keyScheme) {
		return nil, !l.Public, l.Public // what a leaf of a public route makes of it is its own
	}
	t = p.holders[strings.TrimSpace(key)]
	return t, true, t != nil
}

// Keyed reports whether requests need a key.
func (p *Plan) Keyed() bool { return p.holders != nil }

// Tenant returns a tenant by name, or nil.
func (p *Plan) Tenant(name string) *Tenant { return p.tenants[name] }

// Pick returns the service for one request to a line that is not gathered; u
// is a number in [0,1).
func (l *Line) Pick(u float64) string {
	if len(l.WeightedServices) == 0 {
		return l.Service
	}
	at := int64(u * float64(l.weights))
	for _, w := range l.WeightedServices {
		if at -= w.Weight; at < 0 {
			return w.Service
		}
	}
	return l.WeightedServices[len(l.WeightedServices)-1].Service
}

// Lines calls f for every line.
func (p *Plan) Lines(f func(*Line)) {
	for _, h := range p.hosts {
		for _, l := range h.lines {
			f(l)
		}
	}
}

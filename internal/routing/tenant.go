package routing

import "strings"

// apiKeyScheme is the scheme of the credentials that hold a tenant's key.
const apiKeyScheme = "Token"

// Identity is the result of the authentication of a request.
type Identity struct {
	// Tenant is the sender of the request. It is nil if no key is required, if a request on a
	// public route has no key, or if the request must be rejected.
	Tenant *Tenant
	// StripCredentials is true if the credentials are meant for this system and must not be
	// forwarded to a leaf.
	StripCredentials bool
}

// Authenticate finds the tenant of a request by its key. credentials are the values of
// the Authorization header. ok is false if the request must be rejected: it lacks a
// required key, or no tenant has the key.
func (t *RouteTable) Authenticate(route *CompiledRoute, credentials []string) (identity Identity, ok bool) {
	if !t.RequiresKey() {
		return Identity{}, true
	}
	if len(credentials) == 0 {
		return Identity{}, route.Public
	}
	scheme, key, _ := strings.Cut(credentials[0], " ")
	if len(credentials) > 1 || !strings.EqualFold(scheme, apiKeyScheme) {
		// Other credentials may be meant for the leaf of a public route.
		return Identity{StripCredentials: !route.Public}, route.Public
	}
	tenant := t.tenantsByKey[strings.TrimSpace(key)]
	return Identity{Tenant: tenant, StripCredentials: true}, tenant != nil
}

// RequiresKey reports whether requests need a key.
func (t *RouteTable) RequiresKey() bool { return t.tenantsByKey != nil }

// Tenant returns a tenant by name, or nil.
func (t *RouteTable) Tenant(name string) *Tenant { return t.tenantsByName[name] }

package routing

import "strings"

// apiKeyScheme is the scheme of the credentials that hold a tenant's key.
const apiKeyScheme = "Token"

// Identity is who sent a request, as far as its credentials show.
type Identity struct {
	// Tenant is nil where requests need no key or the route is public.
	Tenant *Tenant
	// OwnCredentials says that the credentials are for this system, and that no
	// leaf may see them.
	OwnCredentials bool
}

// Authenticate finds the tenant whose key a request bears. credentials are the
// values of its Authorization header. ok is false where the request must be
// rejected: it lacks a key that it needs, or its key is no tenant's.
func (t *RouteTable) Authenticate(route *CompiledRoute, credentials []string) (identity Identity, ok bool) {
	if !t.RequiresKey() {
		return Identity{}, true
	}
	if len(credentials) == 0 {
		return Identity{}, route.Public
	}
	scheme, key, _ := strings.Cut(credentials[0], " ")
	if len(credentials) > 1 || !strings.EqualFold(scheme, apiKeyScheme) {
		// What a leaf of a public route makes of other credentials is its own affair.
		return Identity{OwnCredentials: !route.Public}, route.Public
	}
	tenant := t.tenantsByKey[strings.TrimSpace(key)]
	return Identity{Tenant: tenant, OwnCredentials: true}, tenant != nil
}

// RequiresKey reports whether requests need a key.
func (t *RouteTable) RequiresKey() bool { return t.tenantsByKey != nil }

// Tenant returns a tenant by name, or nil.
func (t *RouteTable) Tenant(name string) *Tenant { return t.tenantsByName[name] }
